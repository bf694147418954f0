"""Runs stand-ins for the searchers of shards; prints their addresses.

The bytes of an answer follow from its signature, so that who knows the
signatures of a merged answer can work out the right body.
"""

import asyncio
import hashlib
import json
import sys

import http_text

RECORD_BYTES = 16
_PART_BYTES = 96
_PAUSE_S = 0.2
_PAUSE_EVERY_S = 4.5


def body_of(signature):
    """Return the records of the answer with this signature."""
    body = b''
    while len(body) < _PART_BYTES:
        text = f'{signature}/{len(body)}'
        body += hashlib.sha256(text.encode()).digest()
    return body[:_PART_BYTES]


class Part:
    """A sound searcher of one shard that pauses for a moment now and then."""

    def __init__(self, plan):
        self.name = plan['name']
        self.service = plan['service']
        self.work_s = plan['work_s']
        self.queue = plan['queue']
        self.phase = plan['phase']
        self.slots = plan['slots']
        self.waiting = 0
        self.running = 0
        self.answers = 0
        self._free = asyncio.Semaphore(self.slots)

    async def serve(self, reader, writer):
        """Answer the requests of one connection; drop one when it closes."""
        work = None
        incoming = asyncio.create_task(http_text.read_request(reader))
        try:
            while True:
                request = await incoming
                if request is None:
                    break
                incoming = asyncio.create_task(http_text.read_request(reader))
                work = asyncio.create_task(self._answer(request))
                await asyncio.wait(
                    {work, incoming}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done() and incoming.result() is None:
                    break
                writer.write(await work)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            incoming.cancel()
            if work is not None:
                work.cancel()
            writer.close()

    async def _answer(self, request):
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            return http_text.response(421, {'X-Instance-Id': self.name})
        if self.waiting >= self.queue and self.running >= self.slots:
            return _not_run()
        left_s = float(request.headers.get('x-deadline-ms', 60000)) / 1000
        ends_at = asyncio.get_running_loop().time() + left_s
        self.waiting += 1
        try:
            async with asyncio.timeout_at(ends_at):
                await self._free.acquire()
        except TimeoutError:
            return _not_run()
        finally:
            self.waiting -= 1
        self.running += 1
        status = 200
        try:
            async with asyncio.timeout_at(ends_at):
                await self._work()
        except TimeoutError:
            status = 504
        finally:
            self.running -= 1
            self._free.release()
        request_id = request.headers['x-request-id']
        self.answers += 1
        signature = f'{self.service}.{self.name}.{request_id}.{self.answers}'
        return http_text.response(
            status,
            {
                'X-Request-Id': request_id,
                'X-Server-Stamp': signature,
                'X-Server-Load': f'{self.running},{self.waiting},{self.slots}',
                'Keep-Alive': 'timeout=15',
            },
            body_of(signature) if status == 200 else b'',
        )

    async def _work(self):
        now = asyncio.get_running_loop().time()
        into_s = (now + self.phase) % _PAUSE_EVERY_S
        if into_s < _PAUSE_S:
            await asyncio.sleep(_PAUSE_S - into_s)
        await asyncio.sleep(self.work_s)


def _not_run():
    return http_text.response(503, {'X-Not-Executed': '1'})


async def _main():
    addresses = {}
    servers = []
    for plan in json.loads(sys.argv[1]):
        server = await asyncio.start_server(Part(plan).serve, plan['ip'], 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        addresses[plan['name']] = f'{plan["ip"]}:{port}'
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_main())
