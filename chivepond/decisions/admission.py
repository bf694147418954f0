"""Admission control: which searches a node accepts.

Load pattern: one caller, or one request class, sends several times what the
node can serve. Without admission control per caller its searches use up the
limit, and the searches of all other callers are rejected or queue behind them.

The rule is the dynamic threshold that network switches use for shared buffers:
a caller may have at most ``ALPHA`` times as many searches in flight as the
node has free slots. A single hot caller stops at 4/5 of the limit and leaves
1/5 free; two hot callers stop at 4/9 each. Only callers with a search in
flight are tracked, so their number stays below the limit.

The threshold alone lets several hot callers fill the limit in turns, because
each newcomer takes a share of what the others left free. So an eighth of the
slots is reserved for callers with nothing in flight. Each caller can take one
of these, so a quiet caller is always admitted while fewer callers than
reserved slots are hot. (A property test found this fault: three hot callers
locked a fourth caller out.)

An eighth of a small limit rounds down to zero. So at least three slots (one
less than the limit if that is smaller) are reserved, and at small limits a
caller that sent most of the recent searches cannot use them even while it has
nothing in flight (``recent_callers``). Without this a hot caller took each
slot that became free: at a limit of three or four per node, 28% of the other
callers' searches were rejected, with it 7% to 14% (figures in
docs/design/admission.md).

A class with a lower weight than the heaviest class gets the threshold times
its share of the heaviest weight, both per caller and for the class as a whole.
So many callers of a light class cannot crowd out the heavy class.

``ALPHA`` is 4. ``python -m chivepond.tools.decision_trials`` compares values
of 1, 4 and 16 against a hot caller; docs/design/admission.md has the figures.
"""

from chivepond.decisions import admission_limit, recent_callers

ALPHA = 4
_RESERVED_DIVISOR = 8
_MIN_RESERVED = 3


class Admission:
    """Admits searches by the number in flight per caller and class."""

    __slots__ = (
        '_alpha',
        '_in_flight',
        '_in_flight_by_caller',
        '_in_flight_by_class',
        '_limit',
        '_recent_callers',
    )

    def __init__(
        self,
        limit: admission_limit.AdmissionLimit,
        alpha: float = ALPHA,
    ) -> None:
        """Keep the number of searches in flight within ``limit``."""
        self._limit = limit
        self._alpha = alpha
        self._in_flight = 0
        self._recent_callers = recent_callers.RecentCallers()
        self._in_flight_by_caller: dict[str, int] = {}
        self._in_flight_by_class: dict[str, int] = {}

    @property
    def in_flight(self) -> int:
        """The number of admitted searches that have not finished."""
        return self._in_flight

    @property
    def tracked_callers(self) -> int:
        """The number of callers with a search in flight."""
        return len(self._in_flight_by_caller)

    def admit(self, caller: str, request_class: str, share: float) -> bool:
        """Admit a search and count it as in flight, or return false.

        ``share`` is the weight of the request class divided by the heaviest
        weight.
        """
        free_slots = self._limit.current - self._in_flight
        threshold = self._alpha * share * free_slots
        caller_in_flight = self._in_flight_by_caller.get(caller, 0)
        class_in_flight = self._in_flight_by_class.get(request_class, 0)
        is_class_full = share < 1 and class_in_flight >= threshold
        if caller_in_flight >= threshold or is_class_full:
            return False
        is_hot = caller_in_flight or self._is_hot(caller)
        reserved_slots = self._reserved_slots if is_hot else 0
        if free_slots <= reserved_slots:
            return False
        self._recent_callers.admitted(caller)
        self._in_flight += 1
        self._in_flight_by_caller[caller] = caller_in_flight + 1
        self._in_flight_by_class[request_class] = class_in_flight + 1
        return True

    def release(self, caller: str, request_class: str) -> None:
        """Free the slot of an admitted search that has finished."""
        self._in_flight -= 1
        _decrement(self._in_flight_by_caller, caller)
        _decrement(self._in_flight_by_class, request_class)

    def _is_hot(self, caller: str) -> bool:
        small_limit = _MIN_RESERVED * _RESERVED_DIVISOR
        return (
            self._limit.current < small_limit
            and self._recent_callers.is_hot(caller)
        )

    @property
    def _reserved_slots(self) -> int:
        share = self._limit.current // _RESERVED_DIVISOR
        return max(share, min(_MIN_RESERVED, self._limit.current - 1))


def _decrement(in_flight_by_name: dict[str, int], name: str) -> None:
    in_flight = in_flight_by_name.pop(name) - 1
    if in_flight:
        in_flight_by_name[name] = in_flight
