"""A stand-in for a sound searcher, as PROTOCOL.md describes it."""

import asyncio
import itertools
import time

import http_text

_stamps = itertools.count(1)


class Searcher:
    """Runs ``slots`` requests at a time, queues ``queue`` more, sheds others.

    It drops a request whose connection closes, and registers itself in the
    store. ``journal`` is called with one line for each event.
    """

    def __init__(
        self, name, service, zone, journal, slots=3, queue=12, work_s=0.1
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.journal = journal
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = 0
        #: Number of runs by request identifier.
        self.runs = {}
        #: Loop times at which requests arrived, in order.
        self.arrivals = []
        #: Identifiers of the requests that are being worked on.
        self.at_work = {}
        self.address = ''
        self._writers = set()
        self._free = asyncio.Semaphore(slots)

    async def start(self, ip, store):
        """Listen, and register in ``store``.

        Its heartbeats would change nothing but ``sequence``, so that the store
        would report no change: they are left out.
        """
        self._store = store
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f'{ip}:{self._server.sockets[0].getsockname()[1]}'
        self.report()

    def report(self):
        """Write the entry to the store; its answer is the acknowledgement."""
        self.sequence += 1
        self._store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'warmup_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    def drain(self):
        """Report that it leaves; return the time of the acknowledgement."""
        self.state = 'draining'
        self.report()
        return asyncio.get_running_loop().time()

    def leave(self):
        """Exit: remove the entry and end all connections."""
        self._store.remove('servers', self.name)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.journal(f'{self.name} exits')

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await http_text.read_request(reader)
                if request is None:
                    break
                answer = await self._answer(request, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader):
        headers = request.headers
        if request.target == '/healthz':
            status = 200 if self.state == 'ready' else 503
            return http_text.response(status, {'X-Instance-Id': self.name})
        if headers.get('x-expect-instance', self.name) != self.name:
            return http_text.response(421, {'X-Instance-Id': self.name})
        request_id = headers['x-request-id']
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, request_id))
        self.journal(f'{self.name} receives {request_id}')
        if self.waiting >= self.queue and self.running >= self.slots:
            return self._shed(request_id)
        ends_at = now + float(headers.get('x-deadline-ms', 60000)) / 1000
        work = asyncio.create_task(self._work(request_id, ends_at))
        gone = asyncio.create_task(_wait_gone(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not work.done():
            work.cancel()
            self.journal(f'{self.name} drops {request_id}: connection closed')
            return None
        return work.result()

    def _shed(self, request_id):
        self.journal(f'{self.name} sheds {request_id}')
        return http_text.response(
            503,
            {
                'X-Not-Executed': '1',
                'X-Server-Load': self._load(),
            },
        )

    def _load(self):
        return f'{self.running},{self.waiting},{self.slots}'

    async def _work(self, request_id, ends_at):
        loop = asyncio.get_running_loop()
        self.waiting += 1
        try:
            async with asyncio.timeout_at(ends_at):
                await self._free.acquire()
        except TimeoutError:
            return self._shed(request_id)
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.at_work[request_id] = loop.time()
        self.journal(f'{self.name} runs {request_id}')
        try:
            await asyncio.sleep(min(self.work_s, max(0, ends_at - loop.time())))
        finally:
            self.running -= 1
            self.at_work.pop(request_id, None)
            self._free.release()
        status = 504 if loop.time() >= ends_at else 200
        self.journal(f'{self.name} answers {request_id} with {status}')
        return http_text.response(
            status,
            {
                'X-Request-Id': request_id,
                'X-Server-Stamp': f'{self.name}.{next(_stamps)}',
                'X-Server-Load': self._load(),
                'Keep-Alive': 'timeout=15',
            },
            b'x' * 100,
        )


async def _wait_gone(reader):
    """Return when the peer closes; a searcher gets no pipelined requests."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
