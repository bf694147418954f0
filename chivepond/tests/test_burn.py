"""The report on service-level burn, on a clock of the tests."""

import pathlib

import hypothesis
import result
from hypothesis import strategies as st

from chivepond.control import configuration, object_cache
from chivepond.errors import invalid, not_run, shed
from chivepond.observe import burn, search_trace, telemetry, time_ring
from chivepond.settings import deployment, loader, node_settings
from chivepond.tools import burn_commands
from chivepond.wire import (
    burn_line,
    coverage,
    missing_shard,
    search_answer,
    search_request,
    snapshot,
)

SERVICE = 'pass-lookup'
SETTINGS = loader.parse(
    node_settings.NodeSettings,
    b"""
{node_id: n, data_centre: d, region: r, callers: '127.0.0.1:0',
 peers: '127.0.0.1:0', operators: '127.0.0.1:0', platform: '127.0.0.1:1',
 secret: told}
""",
    'test',
).unwrap()
_DAY_S = 86400


class Told:
    """A telemetry whose clock and platform a test sets."""

    def __init__(self) -> None:
        """Start at a time when all rings have turned."""
        self.now: float = 10 * _DAY_S
        self.is_away = False
        configured = configuration.Configuration(object_cache.ObjectCache())
        configured.document = loader.parse(
            deployment.Deployment,
            b'search: {services: {pass-lookup: {}}}',
            'test',
        ).unwrap()
        self.telemetry = telemetry.Telemetry(
            SETTINGS,
            configured,
            lambda: self.is_away,
            lambda: self.now,
        )
        self._objectives = {SERVICE: configured.service(SERVICE).objectives}

    def answered(self, took_ms: float, *missing: str) -> None:
        """Count an answer of ten shards, some of them missing."""
        lost = [
            missing_shard.MissingShard(shard=f's{number}', reason=reason)
            for number, reason in enumerate(missing)
        ]
        given = search_answer.SearchAnswer(
            request_id='r',
            snapshot=snapshot.Snapshot('passes', 1),
            coverage=coverage.Coverage(10, 10 - len(lost), lost),
            hits=[],
        )
        self.done(result.Ok(given), took_ms)

    def done(
        self,
        answer: telemetry.SearchOutcome,
        took_ms: float = 1,
        service: str = SERVICE,
    ) -> None:
        """Count a search."""
        request = search_request.SearchRequest(service, 'Tenzing', 'desk')
        trace = search_trace.SearchTrace('r', 0, attempts=12)
        self.telemetry.search_done(request, answer, trace, took_ms)

    def line(self, objective: str, long_s: int) -> burn_line.BurnLine:
        """Return one line of the report."""
        node = burn.collect('n', self.telemetry, self._objectives)
        return next(
            line
            for line in burn.report([node])
            if (line.objective, line.long_s) == (objective, long_s)
        )


@hypothesis.given(
    st.lists(st.floats(0, 5000), max_size=30),
    st.sampled_from([60, 300, 600]),
)
def test_ring_counts_the_last_slots(times: list[float], window: int) -> None:
    """The ring agrees with a count over all times, whatever the gaps."""
    ring = time_ring.TimeRing(60, 10)
    for moment in sorted(times):
        ring.add('n', moment)
    now = max(times, default=0)
    first = int(now // 60) - window // 60 + 1
    expected = sum(moment // 60 >= first for moment in times)
    assert ring.total_by_name(window, now).get('n', 0) == expected


def test_ring_bounds_its_columns() -> None:
    """Names without end share one column, and none is lost."""
    ring = time_ring.TimeRing(60, 2)
    for number in range(1000):
        ring.add(f'cause {number}', 0)
    counted = ring.total_by_name(60, 0)
    assert len(counted) <= time_ring.MAX_COLUMNS + 1
    assert sum(counted.values()) == 1000


def test_burst_of_late_answers_fires_and_stops() -> None:
    """A burst of late answers fires within minutes, and stops after it.

    At the Sunday rush half of the answers come late for ten minutes.
    The fast pair must fire while it lasts; twenty minutes of good answers
    later it must not, though the hour still holds the burst.
    """
    told = Told()
    for second in range(600):
        told.answered(400 if second % 2 else 20)
        told.now += 1
    during = told.line('latency', 3600)
    for _ in range(1200):
        told.answered(20)
        told.now += 1
    after = told.line('latency', 3600)
    told.now += 4 * _DAY_S
    forgotten = told.line('latency', 3 * _DAY_S)
    assert (during.is_firing, during.short_rate) == (True, 50)
    assert during.cause == 'slow_answer'
    assert (after.is_firing, after.short_rate) == (False, 0)
    assert after.long_rate > after.threshold
    assert forgotten.requests == 0


def test_names_what_burned_most() -> None:
    """Each objective names the cause of most of its misses."""
    told = Told()
    told.answered(20, 'late', 'late', 'shed')
    told.answered(20, 'late')
    told.answered(20, 'no_replica')
    told.done(result.Err(shed.Shed('full', 'wait', 100)))
    told.is_away = True
    for _ in range(2):
        told.done(result.Err(not_run.NotRun('away', 'wait', 100)))
    told.done(result.Err(invalid.Invalid('wrong', 'mend it')))
    told.answered(400, 'late')
    told.answered(400, 'late')
    told.answered(400)
    assert told.line('latency', 3600).cause == 'late_shard'
    assert told.line('coverage', 3600).cause == 'late_shard'
    assert told.line('availability', 3600).cause == 'platform'
    assert told.line('availability', 3600).requests == 9


def test_report_adds_up_nodes() -> None:
    """Counts are added before rates are taken, not rates averaged."""
    busy, idle = Told(), Told()
    for _ in range(99):
        busy.answered(20)
    idle.answered(500)
    nodes = [
        burn.collect('n', one.telemetry, one._objectives)
        for one in (busy, idle)
    ]
    merged = burn.report(nodes)[0]
    assert merged.requests == 100
    assert merged.short_rate == 1


def test_plot_is_written(tmp_path: pathlib.Path) -> None:
    """The plot is a picture, and a bad name is told with its remedy."""
    told = Told()
    told.answered(500)
    nodes = [burn.collect('n', told.telemetry, told._objectives)]
    path = tmp_path / 'burn.png'
    assert burn_commands.plot(burn.report(nodes), path).is_ok()
    assert path.read_bytes().startswith(b'\x89PNG')
    wrong = burn_commands.plot([], tmp_path / 'none' / 'burn.png')
    assert 'folder' in wrong.unwrap_err().remedy
