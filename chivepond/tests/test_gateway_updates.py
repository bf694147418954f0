"""Tests how a gateway applies updates of routes and searchers."""

import asyncio
import types

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from chivepond.decisions import change_time
from chivepond.gateway import (
    header_list,
    outcome,
    peer_updates,
    replica,
    telemetry,
)
from chivepond.platform import documents, store_calls
from chivepond.settings import mechanism
from chivepond.soak import loopback_proxy
from chivepond.standins import routed_store, scripted_searcher
from chivepond.tests import gateway_bench, support
from chivepond.transport import address
from chivepond.wire import sync_message

ReceivedRequest = scripted_searcher.Got
ScriptedReply = scripted_searcher.Told


async def _echo(request: ReceivedRequest) -> ScriptedReply:
    return scripted_searcher.good(request, request.line)


def _route(service: str = 'desk', prefix: str = '/r/'):
    return gateway_bench.route('r', prefix, service=service)


async def _status(caller, path: str = '/r/') -> int:
    return gateway_bench.reply_of(await caller.get(path)).status


def test_a_newer_version_is_active_at_once_and_is_never_rolled_back():
    """Guards against a removed route that is served again.

    Version 3 removes a route. An older version that arrives later, as after
    a failed watch, is ignored.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route(), _route(prefix='/old/'))
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            assert await _status(caller, '/old/') == 200
            bench.configure(3, _route())
            await gateway_bench.until(
                lambda: gateway.counts.routes_version == 3
            )
            assert await _status(caller, '/old/') == 404
            bench.configure(2, _route(), _route(prefix='/old/'))
            bench.store.forget()
            await asyncio.sleep(0.3)
            assert await _status(caller, '/old/') == 404

    support.run(scenario())


def test_an_unreadable_version_changes_nothing():
    """After a malformed configuration the previous one stays active."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            bench.store.put('config', 'main', {'version': 'x', 'routes': []})
            await asyncio.sleep(0.2)
            assert await _status(caller) == 200

    support.run(scenario())


def test_a_gateway_without_configuration_refuses_requests():
    """It answers 503 rather than 404, and is not ready."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            bench.store.remove('config', 'main')
            unconfigured = await bench.unready_gateway(node_id='gate-2')
            caller = await bench.caller(unconfigured.client_address)
            assert await _status(caller) == 503
            assert gateway.is_ready
            assert not unconfigured.is_ready
            prober = await bench.caller(unconfigured.readiness)
            assert await _status(prober, '/api/ready') == 503

    support.run(scenario())


def test_a_leaving_searcher_gets_no_new_requests():
    """Guards against requests to a searcher that announced its shutdown."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            leaving = await bench.searcher('s-1', 'desk', _echo)
            other = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            assert await _status(caller) == 200
            assert len(leaving.got) == 1
            bench.register(
                's-1',
                'desk',
                leaving.address,
                state='draining',
                sequence=2,
            )
            await asyncio.sleep(0.2)
            for _ in range(5):
                assert await _status(caller) == 200
            assert len(leaving.got) == 1
            assert len(other.got) == 5

    support.run(scenario())


def _slow_route():
    return gateway_bench.route(
        'r', '/r/', service='desk', kind='non_idempotent', timeout_ms=4000
    )


async def _slow_echo(request: ReceivedRequest) -> ScriptedReply:
    await asyncio.sleep(0.6)
    return scripted_searcher.good(request, request.line)


async def _post_many(bench: gateway_bench.Bench, gateway, searcher):
    """Send four requests; return their replies once one is at the searcher."""
    raw = gateway_bench.request('POST', '/r/', body=b'x', left_ms=4000)
    callers = [await bench.caller(gateway.client_address) for _ in range(4)]
    replies = [caller.connection.begin(raw, b'') for caller in callers]
    await gateway_bench.until(lambda: searcher.got)
    return replies


def test_requests_that_wait_for_a_draining_searcher_go_to_another_one():
    """Guards against requests sent to a searcher long after its notice.

    They waited for a connection to it when it announced its shutdown.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            leaving = await bench.searcher('s-1', 'desk', _slow_echo)
            bench.configure(1, _slow_route(), connection_cap=2)
            gateway = await bench.ready_gateway()
            replies = await _post_many(bench, gateway, leaving)
            other = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            await gateway_bench.until(
                lambda: gateway.counts.searchers_known == 2
            )
            bench.register(
                's-1', 'desk', leaving.address, state='draining', sequence=2
            )
            statuses = [
                gateway_bench.reply_of(reply).status
                for reply in await asyncio.gather(*replies)
            ]
            assert statuses == [200, 200, 200, 200]
            assert len(leaving.got) == 1
            assert len(other.got) == 3

    support.run(scenario())


@pytest.mark.parametrize('is_removed', [True, False])
def test_requests_that_wait_for_the_last_searcher_are_refused(is_removed):
    """Guards against requests that wait for a searcher that has left."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            leaving = await bench.searcher('s-1', 'desk', _slow_echo)
            bench.configure(1, _slow_route(), connection_cap=2)
            gateway = await bench.ready_gateway(
                switched_off=[mechanism.Mechanism.LAST_CHOICE]
            )
            replies = await _post_many(bench, gateway, leaving)
            if is_removed:
                bench.store.remove(store_calls.SEARCHERS, 's-1')
            else:
                bench.register(
                    's-1', 'desk', leaving.address, state='draining', sequence=2
                )
            await asyncio.sleep(0.4)
            assert [reply.done() for reply in replies].count(True) == 3
            statuses = sorted(
                gateway_bench.reply_of(reply).status
                for reply in await asyncio.gather(*replies)
            )
            assert statuses == [200, 503, 503, 503]
            assert len(leaving.got) == 1

    support.run(scenario())


def test_a_removal_that_is_read_late_takes_effect_within_the_bound():
    """Guards against requests to a searcher that left before it was read.

    The gateway that reads the store for the other one is cut off from it just
    when an entry is removed. The searcher is the last choice for a while.
    """
    arrivals = []

    async def record(request: ReceivedRequest) -> ScriptedReply:
        arrivals.append(asyncio.get_running_loop().time())
        return scripted_searcher.good(request, b'')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', record)
            bench.configure(1, _route())
            proxy = loopback_proxy.LoopbackProxy(bench.store.address)
            async with proxy:
                reader = await bench.ready_gateway(store=str(proxy.address))
                follower = await bench.ready_gateway(node_id='gate-2')
                await gateway_bench.until(
                    lambda: reader.counts.gateways_known == 2
                )
                await asyncio.sleep(2)
                bench.configure(2, _route())
                await gateway_bench.until(
                    lambda: follower.counts.routes_version == 2
                )
                proxy.apply_fault(loopback_proxy.ProxyFault.SILENT)
                bench.store.remove(store_calls.SEARCHERS, 's-1')
                removed_at = asyncio.get_running_loop().time()
                caller = await bench.caller(follower.client_address)
                statuses = []
                while asyncio.get_running_loop().time() < removed_at + 4.5:
                    statuses.append(await _status(caller))
                    await asyncio.sleep(0.05)
            assert max(arrivals) < removed_at + 3
            assert statuses[0] == 200
            assert statuses[-1] == 503

    support.run(scenario())


@hypothesis.given(
    age_s=strategies.floats(0, 20), bound_s=strategies.floats(0.1, 10)
)
def test_a_change_is_put_off_within_its_bound(age_s, bound_s):
    """Guards against a bound that begins when a change is read."""
    margin_s = bound_s / 10
    delay_s = change_time.max_delay_s(2, age_s, bound_s, margin_s)
    assert 0 <= delay_s <= 2
    if age_s >= bound_s:
        assert delay_s == 2
    elif delay_s:
        assert age_s + delay_s <= bound_s - margin_s + 1e-9


class _SlowSource:
    """Stands in for the channel to a gateway whose reply takes 0.3 s."""

    end = types.SimpleNamespace(name='gate-9')

    async def send(self, message, deadline: float) -> outcome.Outcome:
        message.progress.add_received(1)
        await asyncio.sleep(0.3)
        reply = sync_message.SyncReply({}, age_s=0, list_age_s=0)
        body = msgspec.msgpack.encode(reply)
        return outcome.Reply(200, header_list.HeaderList(), body)


def test_content_is_as_old_as_the_begin_of_a_long_reply():
    """Guards against content that counts as new after a slow transfer."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        known = replica.Replica(
            replica.Sink(lambda stored: None, lambda change: None),
            asyncio.Event(),
        )
        began_at = loop.time()
        await peer_updates.fetch(
            _SlowSource(),
            {store_calls.CONFIGURATION: known},
            0,
            0,
            telemetry.Telemetry('gate-1'),
        )
        assert began_at <= known.confirmed_at < began_at + 0.2

    support.run(scenario())


def test_a_report_of_an_earlier_process_does_not_remove_a_searcher():
    """Guards against a restarted searcher that counts as shutting down.

    The last report of the earlier process is written after the first report
    of the new one.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo, born=2000)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            bench.register(
                's-1',
                'desk',
                searcher.address,
                born=1000,
                state='draining',
                sequence=99,
            )
            await asyncio.sleep(0.2)
            assert await _status(caller) == 200

    support.run(scenario())


@pytest.mark.parametrize(
    'wrong',
    [
        {'slots': 'two'},
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'sequence': None},
        {'born': 1.5},
        {'service': 7},
        {'warmup_left_ms': 'soon'},
    ],
)
def test_a_malformed_searcher_entry_is_ignored(wrong):
    """A malformed entry does not hide the other searchers."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            entry = documents.searcher('desk', searcher.address) | wrong
            bench.store.put('servers', 's-0', entry)
            bench.store.put('servers', 's-2', 'no entry at all')
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            assert gateway.counts.searchers_known == 1
            caller = await bench.caller(gateway.client_address)
            assert await _status(caller) == 200

    support.run(scenario())


def test_a_reassigned_address_gets_only_one_request():
    """Guards against a healthy service that exhausts its second sends.

    A searcher died and its address was reassigned to a searcher of another
    service, which answered each request with 421, so that each was sent twice.
    """

    async def misdirected(request: ReceivedRequest) -> ScriptedReply:
        return ScriptedReply(b'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n')

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            wrong_searcher = await bench.searcher('s-1', 'desk', misdirected)
            await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(1, _route())
            gateway = await bench.hedging_gateway()
            caller = await bench.caller(gateway.client_address)
            for _ in range(6):
                assert await _status(caller) == 200
            assert len(wrong_searcher.got) == 1
            # Registering the same address again changes nothing.
            bench.register('s-1', 'desk', wrong_searcher.address, sequence=2)
            await asyncio.sleep(0.2)
            assert await _status(caller) == 200
            assert len(wrong_searcher.got) == 1

    support.run(scenario())


def test_the_newest_searcher_at_an_address_owns_it():
    """A dead searcher's entry remains after its address is reassigned."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-new', 'new', _echo, born=2000)
            bench.register('s-old', 'desk', searcher.address, born=1000)
            bench.configure(1, _route(), _route('new', '/new/'))
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            assert await _status(caller, '/new/') == 200
            assert await _status(caller) == 503
            assert len(searcher.got) == 1

    support.run(scenario())


def test_searchers_whose_entries_lapse_briefly_stay_usable():
    """Guards against searches that fail when the store recovers.

    All entries expired during the outage. The searchers kept serving, and
    registered again within two seconds of the recovery.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            bench.store.remove(store_calls.SEARCHERS, 's-1')
            await asyncio.sleep(0.3)
            assert await _status(caller) == 200
            bench.register('s-1', 'desk', searcher.address, sequence=2)
            await asyncio.sleep(2.2)
            assert await _status(caller) == 200
            bench.store.remove(store_calls.SEARCHERS, 's-1')
            await asyncio.sleep(2.3)
            assert await _status(caller) == 503

    support.run(scenario())


def test_a_gateway_serves_through_store_failures():
    """The store refuses calls, loses its history and closes connections.

    The gateway keeps serving from its replicas, and catches up afterwards.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            caller = await bench.caller(gateway.client_address)
            for version, status in ((2, 503), (3, 429), (4, 410), (5, 500)):
                bench.store.refuse = _refuse_with(status)
                bench.store.cut()
                bench.configure(version, _route())
                await asyncio.sleep(0.2)
                assert await _status(caller) == 200
                bench.store.refuse = _refuse_with(None)
                await _until_version(gateway, version)

    support.run(scenario())


async def _until_version(gateway, version: int) -> None:
    await gateway_bench.until(lambda: gateway.counts.routes_version == version)


def _refuse_with(status):
    return lambda path: status


def test_a_long_list_is_read_page_by_page():
    """All searchers are known when they take more than one page."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            searcher = await bench.searcher('s-1', 'desk', _echo)
            for number in range(120):
                searcher_address = type(searcher.address)(
                    '127.0.0.9', 1000 + number
                )
                bench.register(f'x-{number:03}', 'other', searcher_address)
            bench.configure(1, _route())
            gateway = await bench.ready_gateway()
            assert gateway.counts.searchers_known == 121

    support.run(scenario())


def test_a_gateway_that_the_store_refuses_is_updated_by_peers():
    """Guards against a gateway that keeps routing by an outdated version.

    The store refuses it and serves the others. These pass on routes and
    searchers, including searchers that leave.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            leaving = await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            connected = await bench.ready_gateway(node_id='gate-2')
            async with gateway_bench.TcpProxy(
                bench.store.address
            ) as store_proxy:
                blocked = await bench.ready_gateway(
                    store=str(store_proxy.address)
                )
                await gateway_bench.until(
                    lambda: blocked.counts.gateways_known == 2
                )
            # From here on the blocked gateway can't reach the store.
            bench.store.put(
                'servers',
                's-1',
                documents.searcher('desk', leaving.address, state='draining'),
            )
            other = await bench.searcher('s-2', 'desk', _echo, zone='hub')
            bench.configure(2, _route(), _route(prefix='/new/'))
            await gateway_bench.until(
                lambda: connected.counts.routes_version == 2
            )
            await gateway_bench.until(
                lambda: blocked.counts.routes_version == 2
            )
            await gateway_bench.until(
                lambda: blocked.counts.searchers_known == 2
            )
            caller = await bench.caller(blocked.client_address)
            assert await _status(caller, '/new/') == 200
            assert not leaving.got
            assert len(other.got) == 1

    support.run(scenario())


def test_a_gateway_that_starts_without_the_store_uses_its_seeds():
    """A gateway is restarted while the store is unreachable for it."""

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            connected = await bench.ready_gateway(node_id='gate-2')
            blocked = await bench.ready_gateway(
                store='127.0.0.1:1',
                seeds=['127.0.0.1:2', str(connected.peers)],
            )
            caller = await bench.caller(blocked.client_address)
            assert await _status(caller) == 200

    support.run(scenario())


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('put', 'remove', 'list', 'follow')),
            strategies.sampled_from('abc'),
        ),
        max_size=40,
    ),
    strategies.booleans(),
)
def test_a_follower_converges_to_the_replica_it_follows(
    actions, may_omit_unchanged
):
    """Guards against a follower whose searchers differ from its source's.

    After any sequence of changes and lists between two polls, the follower
    has the same objects as its source, and it ignores an older update.
    """
    follower_pair = _FollowerPair(may_omit_unchanged=may_omit_unchanged)
    for revision, (action, name) in enumerate(actions, start=2):
        follower_pair.apply_step(action, name, revision)
    follower_pair.follow()
    assert (
        follower_pair.follower.names
        == follower_pair.source.names
        == set(follower_pair.revision_by_name)
    )
    if follower_pair.first_update is not None:
        if (
            follower_pair.first_update.as_of
            < follower_pair.follower.replica.as_of
        ):
            follower_pair.follower.replica.apply_update(
                follower_pair.first_update
            )
    assert follower_pair.follower.names == set(follower_pair.revision_by_name)


class _FollowerPair:
    """A source replica, its follower, and the expected objects."""

    def __init__(self, *, may_omit_unchanged: bool) -> None:
        self.may_omit_unchanged = may_omit_unchanged
        self.revision_by_name: dict[str, int] = {}
        self.source = _RecordingReplica()
        self.follower = _RecordingReplica()
        self.first_update = None

    def apply_step(self, action: str, name: str, revision: int) -> None:
        """Apply one action at a revision of the store."""
        match action:
            case 'put':
                self.revision_by_name[name] = revision
                self.source.replica.apply_changes(
                    [_change(name, revision)],
                    revision,
                )
            case 'remove' if name in self.revision_by_name:
                self.revision_by_name.pop(name)
                deletion = _change(name, revision, deleted=True)
                self.source.replica.apply_changes([deletion], revision)
            case 'list':
                stored_objects = [
                    _stored(listed_name, stored_at)
                    for listed_name, stored_at in self.revision_by_name.items()
                ]
                self.source.replica.apply_list(stored_objects, revision)
            case 'follow':
                self.follow()

    def follow(self) -> None:
        """Update the follower from the source."""
        update = self.source.replica.update_since(
            self.follower.replica.as_of,
            may_omit_unchanged=self.may_omit_unchanged,
        )
        if update is not None:
            self.follower.replica.apply_update(update)
            self.first_update = self.first_update or update


class _RecordingReplica:
    """A replica that records the names passed to its sink."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.replica = replica.Replica(
            replica.Sink(self._list, self._change),
            asyncio.Event(),
        )

    def _list(self, stored_objects) -> None:
        self.names = {stored.meta.name for stored in stored_objects}

    def _change(self, change) -> None:
        if change.deleted:
            self.names.discard(change.object.meta.name)
        else:
            self.names.add(change.object.meta.name)


def _stored(name: str, revision: int) -> store_calls.StoredObject:
    return store_calls.stored(name, revision, b'{}')


def _change(
    name: str,
    revision: int,
    *,
    deleted: bool = False,
) -> store_calls.WatchEvent:
    return store_calls.WatchEvent(_stored(name, revision), deleted=deleted)


def test_only_one_reader_retries_a_store_that_refuses_calls():
    """Guards against retries of each reader, which are charged threefold.

    The store refused a gateway for seconds, and its three readers made 16 to
    18 calls in four seconds, although a peer supplied the updates; now they
    make 5. One reader retries for all, less often while a peer supplies the
    updates; when the store recovers, all three read at once.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            refusing_store = routed_store.RoutedStore()
            await bench._open.enter_async_context(refusing_store)
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            peer = await bench.ready_gateway(node_id='gate-2')
            bench.copy_searcher('s-1', refusing_store)
            refusing_store.put(
                'config', 'main', gateway_bench.configuration(1, _route())
            )
            gateway = await bench.ready_gateway(
                store=str(refusing_store.address),
                seeds=[str(peer.peers)],
            )
            refusing_store.refuse = _refuse_with(503)
            refusing_store.cut()
            await asyncio.sleep(0.5)
            calls_before = refusing_store.calls
            await asyncio.sleep(4)
            assert refusing_store.calls - calls_before < 10
            refusing_store.refuse = lambda path: None
            bench.configure(2, _route())
            await _until_version(gateway, 2)

    support.run(scenario())


def test_a_stale_first_list_is_updated_at_once():
    """Guards against a started gateway that routes by an outdated version.

    The store may serve a cheap list from a lagging copy. The watch from the
    revision of that list returns at once what it lacked.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            bench.store.lag()
            bench.configure(2, _route())
            bench.register('s-2', 'desk', address.parse('127.0.0.1:9').unwrap())
            gateway = await bench.ready_gateway()
            await asyncio.sleep(0.6)
            assert gateway.counts.routes_version == 2
            assert gateway.counts.searchers_known == 2

    support.run(scenario())


def test_joining_gateways_see_each_other_while_the_store_lags():
    """Guards against a service that gets more second sends than its burst.

    Three gateways joined while cheap reads of the store lagged by seconds.
    None saw the others, so each divided the burst of second sends by too
    small a number of gateways.
    """

    async def scenario() -> None:
        async with gateway_bench.Bench() as bench:
            await bench.searcher('s-1', 'desk', _echo)
            bench.configure(1, _route())
            bench.store.lag()
            started = [
                await bench.ready_gateway(node_id=f'gate-{number}')
                for number in range(3)
            ]
            await asyncio.sleep(0.6)
            gateway_counts = [
                gateway.counts.gateways_known for gateway in started
            ]
            assert gateway_counts == [3, 3, 3]

    support.run(scenario())
