"""The state machine of a searcher, as seen by its owner."""

import transitions

from chivepond.decisions import slow_start
from chivepond.observe import events, journal

COLD = 'cold'
READY = 'ready'
EJECTED = 'ejected'
DRAINING = 'draining'
GONE = 'gone'

_LIVE = (COLD, READY, EJECTED)
_LISTED = (*_LIVE, DRAINING)


class SearcherState:
    """The state of one searcher.

    The machine adds ``state``, checks such as ``is_ready()`` and a method for
    each trigger, such as ``drain()``.
    A trigger costs about ten microseconds, so callers fire one only where
    the state changes, never for each sub-query.
    """

    def __init__(self, searcher_id: str, now: float) -> None:
        """Start cold: a searcher new to this owner first gets little work."""
        self.searcher_id = searcher_id
        self.warm_up_started_at = now
        self.probed_at = now
        self.serving_since = now
        _MACHINE.add_model(self)

    @property
    def is_serving(self) -> bool:
        """Whether the searcher may get work: cold, ready or ejected."""
        return self.state in _LIVE

    def weight(self, now: float) -> float:
        """Return the share of its usual work that it gets, from 0.1 to 1."""
        if self.state == READY:
            return 1
        return slow_start.weight(self.warm_up_started_at, now)

    def apply_listing(
        self, is_live: bool, is_restarted: bool, now: float
    ) -> None:
        """Apply the platform's listing of the searcher.

        Drains a searcher that is not live, and restarts slow start if
        ``is_restarted``: it has a new address, or was not live before.
        """
        if not is_live:
            if self.is_serving:
                self.begin_drain(now)
        elif is_restarted:
            self.restart(now)

    def begin_drain(self, now: float) -> None:
        """Stop new work; health probes are timed from ``now``."""
        self.probed_at = now
        self.serving_since = now
        self.drain()

    def unregister(self) -> None:
        """Remove the model from the machine, which else never frees it."""
        _MACHINE.remove_model(self)

    def told(self) -> None:
        """Log the new state; the machine calls this after each transition."""
        journal.log(
            events.SEARCHER_STATE,
            searcher=self.searcher_id,
            state=self.state,
        )

    def restart(self, now: float) -> None:
        """Restart slow start from the lowest weight."""
        self.warm_up_started_at = now
        self.warm_up()


def _machine() -> transitions.Machine:
    return transitions.Machine(
        model=None,
        states=[COLD, READY, EJECTED, DRAINING, GONE],
        initial=COLD,
        auto_transitions=False,
        after_state_change='told',
        transitions=[
            ['warmed', COLD, READY],
            ['eject', [COLD, READY], EJECTED],
            ['warm_up', [*_LISTED, GONE], COLD],
            ['drain', [*_LIVE, GONE], DRAINING],
            ['leave', _LISTED, GONE],
        ],
    )


_MACHINE = _machine()
