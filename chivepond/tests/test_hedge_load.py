"""Loads played on hedging alone, and what clients get."""

import random

import pytest

from chivepond.decisions import hedge_gain, hedge_timing, switches
from chivepond.tests import hedge_play, load_play


def _always(expected_s, left_s):
    return True


def _slow_copies(seed):
    rng = random.Random(seed)

    def work_s(now):
        return 8 * rng.lognormvariate(-4.26, 0.35)

    return [hedge_play.Copy(work_s), hedge_play.Copy(work_s)]


@pytest.mark.parametrize('seed', range(4))
def test_hedges_between_slow_copies_are_left_out(seed):
    """Guards against hedges that overload a shard whose copies are slow."""

    def play(is_worth):
        played = hedge_play.HedgePlay(
            _slow_copies(seed),
            due_s=0.175,
            hedge_delay_s=lambda: 0.066,
            is_worth=is_worth,
        )
        return played.run(load_play.arrivals(20, 20, seed))

    before = play(_always)
    after = play(hedge_gain.is_worth)
    assert after.in_time >= before.in_time * 1.2
    assert after.hedges < before.hedges / 2


def _paused_copies(seed):
    """Return copies that stand still for 0.2 s each 4.5 s, apart."""
    rng = random.Random(seed)

    def work_s(now):
        return rng.lognormvariate(-5.3, 0.35)

    def pause(offset_s):
        def until(now):
            into_s = (now + offset_s) % 4.5
            return now + max(0, 0.2 - into_s)

        return until

    return [hedge_play.Copy(work_s, pause(place)) for place in (0, 2)]


@pytest.mark.parametrize('seed', range(4))
def test_an_aggregator_hedges_by_the_time_that_it_has(seed):
    """Guards against hedges that come when the group is due already."""

    def play(left_s):
        late = hedge_timing.HedgeTiming()
        played = hedge_play.HedgePlay(
            _paused_copies(seed),
            due_s=0.045,
            hedge_delay_s=lambda: late.delay_s(left_s, switches.Switches()),
            is_worth=hedge_gain.is_worth,
        )
        return played.run(load_play.arrivals(6, 60, seed))

    by_target = play(0.1)
    by_due = play(0.045)
    late = by_target.requests - by_target.in_time
    assert by_due.requests - by_due.in_time <= late / 2
