"""Connections between two processes: silent ones, late answers, caps."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import result

from chivepond.tests import support
from chivepond.transport import address, client

_CAP = 3
_SHORT_S = 0.2


class _Echo:
    """Answers each request with its path; may hold answers back."""

    def __init__(self) -> None:
        """Answer at once, at first."""
        self.answers = asyncio.Event()
        self.answers.set()
        self.open_now = 0
        self.most_open = 0
        self.opened = 0
        self.ends: set[asyncio.Task[None] | None] = set()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.ends.add(asyncio.current_task())
        self.opened += 1
        self.open_now += 1
        self.most_open = max(self.most_open, self.open_now)
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split(b' ')[1]
                length = head.lower().partition(b'content-length: ')[2]
                await reader.readexactly(int(length.split(b'\r')[0] or 0))
                await self.answers.wait()
                writer.write(
                    b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
                    % (len(path), path),
                )
        self.open_now -= 1
        writer.close()


@contextlib.asynccontextmanager
async def _echo() -> AsyncIterator[tuple[_Echo, client.Client]]:
    echo = _Echo()
    server = await asyncio.start_server(echo.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with (
        server,
        client.Client(address.Address('127.0.0.1', port), _CAP) as to,
    ):
        yield echo, to
    echo.answers.set()
    await asyncio.wait(echo.ends)


async def _ask(to: client.Client, path: str) -> bytes:
    return (await to.post(path, b'x', support.TIMEOUT_S)).unwrap().body


def test_whole_answer_after_a_cancelled_exchange() -> None:
    """A caller goes away, and the next one must not get its answer.

    The first exchange is cancelled on a kept connection; the library puts
    that back as if its reply had been read, and the next exchange on it
    reads the late answer of the first.
    """
    support.run(_cancelled())


async def _cancelled() -> None:
    async with _echo() as (echo, to):
        assert await _ask(to, '/1') == b'/1'
        echo.answers.clear()
        dropped = asyncio.create_task(_ask(to, '/2'))
        await asyncio.sleep(_SHORT_S)
        dropped.cancel()
        await asyncio.wait((dropped,))
        echo.answers.set()
        for path in ('/3', '/4', '/5'):
            assert await _ask(to, path) == path.encode()


def test_whole_answer_when_connections_go_silent() -> None:
    """All kept connections go silent while new ones work.

    Something between the two ends forgets them. One exchange times out;
    the next must go on a fresh one, not on a silent sibling.
    """
    support.run(_silent())


async def _silent() -> None:
    async with _echo() as (echo, to):
        paths = [f'/{number}' for number in range(_CAP)]
        echo.answers.clear()
        asked = [asyncio.create_task(_ask(to, path)) for path in paths]
        await asyncio.sleep(_SHORT_S)
        echo.answers.set()
        assert await asyncio.gather(*asked) == [path.encode() for path in paths]
        opened = echo.opened
        echo.answers.clear()
        lost = await to.post('/lost', b'x', _SHORT_S)
        assert lost.is_err()
        echo.answers.set()
        assert await _ask(to, '/next') == b'/next'
        assert echo.opened > opened


def test_at_most_once_opens_a_fresh_connection_under_the_cap() -> None:
    """A command must not go out on a connection that may be half dead.

    The server closes kept connections at any time; a command on one of
    them would end as "may have run". Each takes a new one in place of a
    kept one, so the searcher never counts more than the cap.
    """
    support.run(_fresh())


async def _fresh() -> None:
    async with _echo() as (echo, to):
        await asyncio.gather(*(_ask(to, f'/{one}') for one in range(_CAP)))
        for number in range(5):
            before = echo.opened
            told = await to.post_fresh(f'/{number}', b'x', support.TIMEOUT_S)
            match told:
                case result.Ok(got):
                    assert got.body == f'/{number}'.encode()
            assert told.is_ok()
            assert echo.opened == before + 1
            assert echo.most_open <= _CAP
