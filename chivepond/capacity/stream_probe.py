"""What a message between nodes costs when many share one exchange."""

from collections.abc import AsyncIterator

import aiosonic
from starlette import applications, requests, responses, routing

from chivepond.capacity import exchange_probe, meter, reading
from chivepond.transport import address, server
from chivepond.wire import codec, owner_query

_ANY_PORT = address.Address('127.0.0.1', 0)
_ROUNDS = 20
_PATH = '/internal/stream'
_MESSAGES = (1, 10, 100)


async def measure() -> reading.Reading:
    """Measure one way: encode, send as lines of one body, read, decode.

    A trial of what long exchanges between two nodes would cost; the
    service itself sends one exchange for each message.
    """
    costs = [await _measure_one(count) for count in _MESSAGES]
    return reading.Reading(
        name='messages in one streamed body, one way, both ends',
        grows_with='messages in the body',
        unit='us of processor time',
        sizes=list(_MESSAGES),
        costs=costs,
    )


async def _measure_one(count: int) -> float:
    query = exchange_probe.query()

    async def lines() -> AsyncIterator[bytes]:
        for _ in range(count):
            yield b'%b\n' % codec.encode(query)

    async with (
        server.Server(_application(), _ANY_PORT, 1) as serving,
        aiosonic.HTTPClient() as to,
    ):
        url = f'http://{serving.address}{_PATH}'

        async def work() -> None:
            response = await to.post(url, data=lines())
            await response.content()

        return await meter.cpu_us(work, _ROUNDS)


def _application() -> applications.Starlette:
    async def take(request: requests.Request) -> responses.Response:
        rest = b''
        async for part in request.stream():
            *whole, rest = (rest + part).split(b'\n')
            for line in whole:
                codec.decode(owner_query.OwnerQuery, line)
        return responses.Response()

    return applications.Starlette(
        routes=[routing.Route(_PATH, take, methods=['POST'])],
    )
