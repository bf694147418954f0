"""Plays any series of events against the hedge budgets of a fleet."""

import bisect
import collections
import dataclasses
import math
from collections.abc import Iterable
from unittest import mock

import hypothesis
import pytest
from hypothesis import strategies

from chivepond.decisions import (
    burst_share,
    gateway_removal,
    hedge_budget,
    list_age,
    service_locations,
)

_SPAN_S = 10.0
#: A request, and both of its sends, have arrived this long after the request.
_DEADLINE_S = 1.0
#: How long a mark stays before its entry is removed.
_MARKED_S = 15.0
_LINKS_MBPS = (20, 200, 1000)
_STEP_S = 0.25
_LAG_S = 0.5
_SERVICE = 'a'
_DATA_CENTRES = 4


@dataclasses.dataclass(slots=True)
class _Entry:
    link_mbps: float
    is_settled: bool = False
    marked_at: float | None = None


class _Process:
    """One run of a gateway, with its copies of the lists."""

    def __init__(self, limits: hedge_budget.BudgetLimits) -> None:
        self.budget = hedge_budget.HedgeBudget(limits)
        self.age = list_age.ListAge(burst_share.MAX_LIST_AGE_S)
        self.locations = service_locations.ServiceLocations()
        self.entry_by_id: dict[int, _Entry] = {}
        self.registered_at: float | None = None
        self.settled_since: float | None = None
        self.stalled_until: float = 0
        self.cut_until: float = 0


class _Fleet:
    """A store's list of gateways, and processes that lag behind it."""

    def __init__(
        self,
        gateways: int,
        limits: hedge_budget.BudgetLimits,
        is_late: bool,
    ) -> None:
        self._is_late = is_late
        self.now = 100.0
        self.limits = limits
        self.entry_by_id: dict[int, _Entry] = {}
        self.process_by_id: dict[int, _Process] = {}
        self.requests: list[float] = []
        self.arrivals: list[float] = []
        #: Data centres with a searcher.
        self.data_centres = {0, 1}
        self.serving_ids = list(range(gateways))
        self.is_hedging = True
        self.link_by_id = {
            number: _LINKS_MBPS[number % len(_LINKS_MBPS)]
            for number in range(gateways)
        }

    def start(self, node_id: int, _: float = 0) -> None:
        """Kill the process of a gateway if there is one, and start another."""
        self.process_by_id[node_id] = _Process(self.limits)

    def stop(self, node_id: int, _: float = 0) -> None:
        self.process_by_id.pop(node_id, None)

    def stall(self, node_id: int, seconds: float) -> None:
        process = self.process_by_id.get(node_id)
        if process is not None:
            process.stalled_until = self.now + seconds

    def cut(self, node_id: int, seconds: float) -> None:
        process = self.process_by_id.get(node_id)
        if process is not None:
            process.cut_until = self.now + seconds

    def mark(self, node_id: int, _: float = 0) -> None:
        entry = self.entry_by_id.get(node_id)
        if entry is not None and entry.marked_at is None:
            self.entry_by_id[node_id] = dataclasses.replace(
                entry, marked_at=self.now
            )

    def move(self, data_centres: Iterable[int]) -> None:
        """Move the searchers of the service."""
        self.data_centres = set(data_centres)

    def send_to(self, node_ids: Iterable[int]) -> None:
        """Choose the gateways that clients send their requests to."""
        self.serving_ids = list(node_ids)

    def want_hedges(self, *, is_wanted: bool) -> None:
        self.is_hedging = is_wanted

    def run(self, seconds: float, requests_per_s: float) -> None:
        """Let time pass, with requests and all hedges that are allowed."""
        steps = max(1, round(seconds / _STEP_S))
        for step in range(steps):
            self.now += seconds / steps
            self._remove_marked()
            for index, node_id in enumerate(self.serving_ids):
                share = requests_per_s * seconds / steps
                share = (share * (step + 1) + index) / len(self.serving_ids)
                before = share - requests_per_s * seconds / steps / len(
                    self.serving_ids
                )
                self._serve(node_id, int(share) - int(before))

    def sync(self, node_id: int, _: float = 0) -> None:
        """Copy the lists, which were read a moment ago, and register."""
        process = self.process_by_id.get(node_id)
        if process is None or not self._is_running(process):
            return
        if self.now < process.cut_until:
            return
        process.entry_by_id = dict(self.entry_by_id)
        for data_centre in self.data_centres:
            process.locations.put(
                f's-{data_centre}', _SERVICE, str(data_centre), self.now
            )
        process.locations.retain(
            {f's-{data_centre}' for data_centre in self.data_centres}, self.now
        )
        process.age.verify(self.now - _LAG_S, self.now)
        self._register(node_id, process)
        self._set_own_entry(process, process.entry_by_id.get(node_id))

    def check(self) -> None:
        self.arrivals.sort()
        for start in self.arrivals:
            sent = _count(self.arrivals, start)
            requests = max(
                _count(self.requests, start - back)
                for back in (0, _SPAN_S / 2, _SPAN_S)
            )
            allowed = self.limits.share * requests + self.limits.burst
            assert sent <= allowed + 1e-6, (sent, allowed, start)

    def _serve(self, node_id: int, requests: int) -> None:
        process = self.process_by_id.get(node_id)
        if process is None or not self._is_running(process):
            return
        for _ in range(requests):
            self.requests.append(self.now)
            process.budget.count_request(self.now)
        until = self.now + _DEADLINE_S
        grant = self._grant(node_id)
        while self.is_hedging and process.budget.spend(self.now, grant, until):
            # Arrives at once or as late as it may.
            is_late = self._is_late and len(self.arrivals) % 2
            self.arrivals.append(until if is_late else self.now)

    def _remove_marked(self) -> None:
        self.entry_by_id = {
            node_id: entry
            for node_id, entry in self.entry_by_id.items()
            if entry.marked_at is None or self.now < entry.marked_at + _MARKED_S
        }

    def _is_running(self, process: _Process) -> bool:
        return self.now >= process.stalled_until

    def _register(self, node_id: int, process: _Process) -> None:
        """Do what ``GatewayRegistration`` does, with writes that succeed."""
        stored = self.entry_by_id.get(node_id)
        if stored is None or stored.marked_at is not None:
            self.entry_by_id[node_id] = _Entry(self.link_by_id[node_id])
            process.registered_at = self.now
        elif process.registered_at is None:
            process.registered_at = self.now
        elif (
            not stored.is_settled
            and self.now - process.registered_at >= burst_share.MAX_LIST_AGE_S
        ):
            self.entry_by_id[node_id] = dataclasses.replace(
                stored, is_settled=True
            )

    def _set_own_entry(self, process: _Process, entry: _Entry | None) -> None:
        if entry is None or not entry.is_settled or entry.marked_at is not None:
            process.settled_since = None
        elif process.settled_since is None:
            process.settled_since = self.now

    def _grant(self, node_id: int) -> burst_share.BurstGrant:
        process = self.process_by_id[node_id]
        weights = collections.Counter()
        for other_id, entry in process.entry_by_id.items():
            weights[_data_centre(other_id)] += burst_share.link_weight(
                entry.link_mbps
            )
        return burst_share.grant(
            _SERVICE,
            burst_share.Listed(
                self.link_by_id[node_id], _data_centre(node_id), weights
            ),
            burst_share.Knowledge(
                (process.age,), process.locations, process.settled_since
            ),
            self.now,
        )


def _data_centre(node_id: int) -> str:
    return str(node_id % _DATA_CENTRES)


def _count(times: list[float], start: float) -> int:
    return bisect.bisect_left(times, start + _SPAN_S) - bisect.bisect_left(
        times, start
    )


_SCOPES = strategies.one_of(
    strategies.tuples(strategies.just('one'), strategies.integers(0, 79)),
    strategies.tuples(
        strategies.sampled_from(('all', 'even', 'odd', 'most')),
        strategies.just(0),
    ),
)


@dataclasses.dataclass(slots=True, frozen=True)
class _Event:
    kind: str
    scope: tuple[str, int]
    #: How long a stall or cut lasts, in seconds.
    lasts_s: float
    #: How long the fleet runs after the event.
    seconds: float
    #: Whether gateways read their lists meanwhile.
    is_synced: bool


@dataclasses.dataclass(slots=True, frozen=True)
class _Margin:
    """The usable part of the budget, and whether sends arrive late."""

    usable_part: float
    is_late: bool


_LATE = _Margin(0.8, True)
#: Without late arrivals the whole budget may be used.
_PROMPT = _Margin(1, False)
_EVENTS = strategies.builds(
    _Event,
    kind=strategies.sampled_from(
        (
            'calm',
            'cut',
            'hedge',
            'mark',
            'move',
            'serve',
            'stall',
            'start',
            'start',
            'stop',
            'sync',
        )
    ),
    scope=_SCOPES,
    lasts_s=strategies.floats(0.1, 40),
    seconds=strategies.sampled_from((0.05, 0.5, 1, 3, 5, 9.9)),
    is_synced=strategies.sampled_from((True, True, False)),
)
_LIMITS = strategies.builds(
    hedge_budget.BudgetLimits,
    share=strategies.sampled_from((0, 0.1, 0.2, 0.5)),
    burst=strategies.sampled_from((0, 10, 54, 184, 430)),
    span_s=strategies.just(_SPAN_S),
)


def _node_ids(scope: tuple[str, int], gateways: int) -> Iterable[int]:
    name, node = scope
    return {
        'one': [node % gateways],
        'all': range(gateways),
        'even': range(0, gateways, 2),
        'odd': range(1, gateways, 2),
        'most': range(1, gateways),
    }[name]


def _play(fleet: _Fleet, event, node_ids: Iterable[int]) -> None:
    """Apply an event to some gateways."""
    if event.kind == 'move':
        fleet.move(node_id % _DATA_CENTRES for node_id in node_ids)
    elif event.kind == 'serve':
        fleet.send_to(node_ids)
    elif event.kind in {'hedge', 'calm'}:
        fleet.want_hedges(is_wanted=event.kind == 'hedge')
    else:
        for node_id in node_ids:
            getattr(fleet, event.kind)(node_id, event.lasts_s)


@hypothesis.settings(max_examples=80, deadline=None)
@hypothesis.given(
    strategies.one_of(strategies.integers(1, 6), strategies.integers(1, 80)),
    _LIMITS,
    strategies.sampled_from((3, 30, 120)),
    strategies.lists(_EVENTS, min_size=10, max_size=30),
    strategies.sampled_from((_LATE, _PROMPT)),
)
def test_second_sends_stay_within_the_budget_in_any_series_of_events(
    gateways, limits, requests_per_s, events, margin
):
    """Guards against parts of a burst that add up, or are granted twice."""
    with mock.patch.multiple(
        hedge_budget,
        _USABLE_PART=margin.usable_part,
        _EARNED_PART=margin.usable_part / 2,
    ):
        fleet = _Fleet(gateways, limits, margin.is_late)
        _settle(fleet, gateways)
        for event in events:
            _play(fleet, event, _node_ids(event.scope, gateways))
            for _ in range(math.ceil(event.seconds)):
                fleet.run(
                    event.seconds / math.ceil(event.seconds), requests_per_s
                )
                for node_id in range(gateways if event.is_synced else 0):
                    fleet.sync(node_id)
        fleet.check()


def _settle(fleet: _Fleet, gateways: int) -> None:
    fleet.want_hedges(is_wanted=False)
    for node_id in range(gateways):
        fleet.start(node_id)
    for _ in range(12):
        for node_id in range(gateways):
            fleet.sync(node_id)
        fleet.run(2, 1)
    fleet.want_hedges(is_wanted=True)


def _restart_all_again_and_again(fleet: _Fleet) -> None:
    for _ in range(15):
        for node_id in range(4):
            fleet.start(node_id)
            fleet.sync(node_id)
        fleet.run(1.5, 40)


def _join_while_others_are_cut_off(fleet: _Fleet) -> None:
    fleet.cut(0, 60)
    fleet.cut(1, 60)
    for node_id in range(2, 8):
        fleet.start(node_id)
    for _ in range(30):
        for node_id in range(2, 8):
            fleet.sync(node_id)
        fleet.run(1, 400)


def _remove_a_gateway_that_is_cut_off(fleet: _Fleet) -> None:
    fleet.cut(0, 200)
    fleet.mark(0)
    for _ in range(40):
        for node_id in range(4):
            fleet.sync(node_id)
        fleet.run(1, 40)


def _move_the_service_while_some_lag(fleet: _Fleet) -> None:
    fleet.move([0])
    for _ in range(14):
        for node_id in range(4):
            fleet.sync(node_id)
        fleet.run(1, 40)
    fleet.move([1])
    for second in range(20):
        for node_id in range(4):
            if node_id or second > 7:
                fleet.sync(node_id)
        fleet.run(1, 40)


def _stall_searchers(fleet: _Fleet) -> None:
    for _ in range(30):
        for node_id in range(4):
            fleet.sync(node_id)
        fleet.run(1, 40)


@pytest.mark.parametrize(
    ('series', 'gateways', 'margin'),
    [
        (_restart_all_again_and_again, 4, _PROMPT),
        (_join_while_others_are_cut_off, 2, _PROMPT),
        (_remove_a_gateway_that_is_cut_off, 4, _PROMPT),
        (_move_the_service_while_some_lag, 4, _PROMPT),
        (_stall_searchers, 4, _Margin(1, True)),
    ],
)
def test_whole_burst_suffices_in_the_hardest_series(series, gateways, margin):
    """Guards against parts of a burst that add up where lists differ longest.

    There is no share of the requests, and no margin.
    """
    limits = hedge_budget.BudgetLimits(0, 184, _SPAN_S)
    with mock.patch.multiple(
        hedge_budget, _USABLE_PART=margin.usable_part, _EARNED_PART=0
    ):
        fleet = _Fleet(42, limits, margin.is_late)
        fleet.link_by_id = dict.fromkeys(range(42), 20)
        _settle(fleet, gateways)
        fleet.run(1, 40)
        series(fleet)
        assert fleet.arrivals
        fleet.check()


def test_a_settled_fleet_may_use_most_of_its_burst():
    """Guards against a budget that is kept because nothing is ever sent."""
    fleet = _Fleet(12, hedge_budget.BudgetLimits(0.2, 184, _SPAN_S), False)
    _settle(fleet, 12)
    for _ in range(10):
        for node_id in range(12):
            fleet.sync(node_id)
        fleet.run(1, 64)
    assert len(fleet.arrivals) > 150
    fleet.check()


def test_a_marked_entry_outlives_every_list_in_use():
    """Guards against a gateway whose part others use while it does, too."""
    tracker = gateway_removal.ProbeTracker()
    for probe in range(4):
        step = tracker.failed('gate-1', 100 + 10 * probe, 5)
    assert step is gateway_removal.Step.MARK
    tracker.marked('gate-1', 130)
    until = 130 + burst_share.MAX_LIST_AGE_S
    assert tracker.failed('gate-1', until, 5) is gateway_removal.Step.KEEP
