"""How many batches a searcher gets at once.

Load pattern: a searcher that carries less than its slots, because others
use them or because it is in trouble. Without a learned limit its owner
keeps sending what comes back refused, or what only slows down the batches
beside it. The limit never passes the slots, and never falls below one, so
that recovery is noticed. It learns from two signs:

- A refusal halves it; it grows by one after a row of batches that went well.
- Batches over 1.6 times as slow as usual start a trial of one slot less for
  twenty batches. It stays at that only if the searcher got through at least
  0.9 of the work: its slots share something, such as a core, and fewer at
  once end sooner. Else the searcher is slow for another reason, where one
  slot less would only cost throughput: the slot comes back, and the next
  trial waits twice as long. (Latency alone, as in Vegas, would take the
  slots of every slow searcher.)

What a searcher reports of its own load is not asked: it lags and misleads.
"""

from chivepond.decisions import batch_slowness

_GOOD_ROW = 10
_SLOW = 1.6
_KEPT_WORK = 0.9
_HOLD_WINDOWS = 10
_FIRST_REST = 5
_LONGEST_REST = 640


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, capped by the slots."""

    __slots__ = (
        '_good',
        '_hold',
        '_next_rest',
        '_rest',
        '_slowness',
        '_slowness_before',
        'current',
        'slots',
    )

    def __init__(self, slots: int) -> None:
        """Start at the slots: they are a promise of the capacity owners."""
        self.slots = slots
        self.current = slots
        self._good = 0
        self._hold = 0
        self._rest = 0
        self._next_rest = _FIRST_REST
        self._slowness = batch_slowness.BatchSlowness()
        self._slowness_before = float(0)

    def succeeded(self, size: int, taken_s: float) -> None:
        """Take a batch of ``size`` that was not refused, and its time."""
        self._grow()
        slowness = self._slowness.observe(size, taken_s)
        if not slowness:
            return
        if self._slowness_before:
            self._judge(slowness)
        elif slowness > _SLOW and self.current > 1 and self._rest <= 0:
            self._slowness_before = slowness
            self.current -= 1
        else:
            self._rest -= 1
            self._hold -= 1

    def refused(self) -> None:
        """Take a batch that the searcher shed."""
        self.current = max(1, self.current // 2)
        self._good = 0
        self._hold = 0
        self._end_trial()

    def resize(self, slots: int) -> None:
        """Take a new number of slots; a learned lower limit is kept."""
        is_full = self.current == self.slots
        self.slots = slots
        self.current = slots if is_full else min(self.current, slots)
        self._end_trial()

    def _grow(self) -> None:
        self._good += 1
        is_held = self._slowness_before or self._hold > 0
        if is_held or self._good < _GOOD_ROW:
            return
        if self.current < self.slots:
            self.current += 1
            self._good = 0

    def _judge(self, slowness: float) -> None:
        """End a trial of one slot less."""
        now_done = self.current / slowness
        before = (self.current + 1) / self._slowness_before
        if now_done >= _KEPT_WORK * before:
            self._hold = _HOLD_WINDOWS
            self._next_rest = _FIRST_REST
        else:
            self.current = min(self.slots, self.current + 1)
            self._rest = self._next_rest
            self._next_rest = min(_LONGEST_REST, self._next_rest * 2)
        self._end_trial()

    def _end_trial(self) -> None:
        self._slowness_before = 0
        self._slowness.begin()
