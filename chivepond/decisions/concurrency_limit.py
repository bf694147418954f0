"""Adaptive limit on the concurrent batches at a searcher.

Load pattern: a searcher serves less than its slots allow, because other work
uses them or it has a fault. Without an adaptive limit its owner keeps sending
batches that are refused, or that only slow down the other batches. The limit
never exceeds the slots and never falls below one, so that a recovery is
noticed. It adapts to two signals:

- A refusal halves it; it grows by one after a run of successful batches.
- Batches over 1.6 times as slow as the baseline start a trial with one slot
  less for twenty batches. The lower limit stays only if the searcher still did
  at least 0.9 of the work: then its slots share a resource such as a core, and
  fewer concurrent batches finish sooner. Otherwise the searcher is slow for
  another reason and a lower limit would only cost throughput, so the slot is
  restored and the next trial waits twice as long. (Latency alone, as in TCP
  Vegas, would take the slots of every slow searcher.)

The load that a searcher reports about itself is not used, because it is
delayed and misleading.
"""

from chivepond.decisions import batch_slowness

_SUCCESSES_PER_INCREASE = 10
_SLOW_FACTOR = 1.6
_MIN_THROUGHPUT_SHARE = 0.9
_HOLD_WINDOWS = 10
_INITIAL_COOLDOWN_WINDOWS = 5
_MAX_COOLDOWN_WINDOWS = 640


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, capped by the slots."""

    __slots__ = (
        '_cooldown',
        '_hold_windows',
        '_next_cooldown',
        '_slowness',
        '_slowness_before',
        '_successes',
        'current',
        'slots',
    )

    def __init__(self, slots: int) -> None:
        """Start at ``slots``, the capacity that the operators configured."""
        self.slots = slots
        self.current = slots
        self._successes = 0
        self._hold_windows = 0
        self._cooldown = 0
        self._next_cooldown = _INITIAL_COOLDOWN_WINDOWS
        self._slowness = batch_slowness.BatchSlowness()
        self._slowness_before = float(0)

    def succeeded(self, size: int, duration_s: float) -> None:
        """Record a batch of ``size`` sub-queries that was not refused.

        ``duration_s`` is the time from sending the batch to its reply, in
        seconds.
        """
        self._increase()
        slowness = self._slowness.observe(size, duration_s)
        if not slowness:
            return
        if self._slowness_before:
            self._finish_trial(slowness)
        elif (
            slowness > _SLOW_FACTOR and self.current > 1 and self._cooldown <= 0
        ):
            self._slowness_before = slowness
            self.current -= 1
        else:
            self._cooldown -= 1
            self._hold_windows -= 1

    def refused(self) -> None:
        """Record a batch that the searcher refused."""
        self.current = max(1, self.current // 2)
        self._successes = 0
        self._hold_windows = 0
        self._reset_trial()

    def resize(self, slots: int) -> None:
        """Set a new number of slots; a learned lower limit stays."""
        is_at_slots = self.current == self.slots
        self.slots = slots
        self.current = slots if is_at_slots else min(self.current, slots)
        self._reset_trial()

    def _increase(self) -> None:
        self._successes += 1
        is_held = self._slowness_before or self._hold_windows > 0
        if is_held or self._successes < _SUCCESSES_PER_INCREASE:
            return
        if self.current < self.slots:
            self.current += 1
            self._successes = 0

    def _finish_trial(self, slowness: float) -> None:
        """End a trial; undo the lower limit if throughput dropped."""
        throughput = self.current / slowness
        throughput_before = (self.current + 1) / self._slowness_before
        if throughput >= _MIN_THROUGHPUT_SHARE * throughput_before:
            self._hold_windows = _HOLD_WINDOWS
            self._next_cooldown = _INITIAL_COOLDOWN_WINDOWS
        else:
            self.current = min(self.slots, self.current + 1)
            self._cooldown = self._next_cooldown
            self._next_cooldown = min(
                _MAX_COOLDOWN_WINDOWS, self._next_cooldown * 2
            )
        self._reset_trial()

    def _reset_trial(self) -> None:
        self._slowness_before = 0
        self._slowness.reset()
