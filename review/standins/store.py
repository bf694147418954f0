"""A stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
import urllib.parse

import http_text


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.address = ''

    async def start(self, ip):
        """Listen on a free port of ``ip``."""
        server = await asyncio.start_server(self._serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def put(self, kind, name, spec):
        """Create or replace an object; return it."""
        self.revision += 1
        old = self.objects.get((kind, name))
        meta = {
            'name': name,
            'revision': self.revision,
            'create_rev': old['meta']['create_rev'] if old else self.revision,
            'finalizers': [],
            'deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind, name] = stored
        self._record(kind, stored, False)
        return stored

    def remove(self, kind, name):
        """Remove an object."""
        self.revision += 1
        self._record(kind, self.objects.pop((kind, name)), True)

    def _record(self, kind, stored, deleted):
        self.changes.append((self.revision, kind, stored, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http_text.read_request(reader)
                if request is None:
                    break
                status, body = await self._answer(request)
                text = b'' if body is None else json.dumps(body).encode()
                writer.write(
                    http_text.response(
                        status, {'Content-Type': 'application/json'}, text
                    )
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        path, _, query_text = request.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        _, _, rest = path.partition('/api/objects/')
        kind, _, name = rest.partition('/')
        name = urllib.parse.unquote(name)
        if request.method == 'GET':
            return await self._read(kind, name, query)
        if request.method == 'DELETE':
            return self._delete(kind, name, int(query.get('revision', 0)))
        document = json.loads(request.body)
        name = name or document['meta']['name']
        old = self.objects.get((kind, name))
        if request.method == 'POST' and old:
            return 409, old
        if request.method == 'PUT':
            if old is None:
                return 404, None
            expected = document['meta'].get('revision', 0)
            if expected and expected != old['meta']['revision']:
                return 409, old
            if old['spec'] == document['spec']:
                return 200, old
        return 200, self.put(kind, name, document['spec'])

    def _delete(self, kind, name, revision):
        old = self.objects.get((kind, name))
        if old is None:
            return 404, None
        if revision and revision != old['meta']['revision']:
            return 409, old
        self.remove(kind, name)
        return 200, None

    async def _read(self, kind, name, query):
        if name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, None)
        if 'watch' in query:
            return await self._watch(
                kind, int(query['watch']), int(query.get('wait_ms', 0)) / 1000
            )
        names = sorted(
            key[1]
            for key in self.objects
            if key[0] == kind and key[1] > query.get('after', '')
        )
        return 200, {
            'items': [self.objects[kind, key] for key in names[:500]],
            'has_more': len(names) > 500,
            'as_of': self.revision,
        }

    async def _watch(self, kind, since, wait_s):
        ends_at = asyncio.get_running_loop().time() + wait_s
        while not self._events(kind, since):
            left_s = ends_at - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                break
        return 200, {
            'events': self._events(kind, since),
            'as_of': self.revision,
        }

    def _events(self, kind, since):
        return [
            {'object': stored, 'deleted': deleted}
            for revision, changed_kind, stored, deleted in self.changes
            if changed_kind == kind and revision > since
        ]
