"""Measures the second sends to a service against its budget."""

import bisect
import dataclasses
from collections.abc import Iterable, Sequence
from typing import Protocol


class Arrival(Protocol):
    """A request that reached a searcher at a time in seconds."""

    request_id: bytes
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Budget:
    """The second sends that a service may get in any window."""

    #: Second sends as a share of the requests of clients.
    share: float
    #: Second sends in addition to the share.
    burst: float
    window_s: float

    def allowed(self, request_times: Sequence[float], start: float) -> float:
        """Return the limit of the window that begins at ``start``.

        Requests are counted in this window and in those that begin half and
        one window earlier; the greatest count applies. Times are in seconds
        and sorted.
        """
        requests = max(
            count_in_window(request_times, begin, self.window_s)
            for begin in (
                start,
                start - self.window_s / 2,
                start - self.window_s,
            )
        )
        return self.burst + self.share * requests


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """The second sends in one window, and their limit."""

    sent: int
    allowed: float
    #: When it begins, in seconds.
    start: float

    @property
    def used_share(self) -> float:
        """The second sends as a share of the limit; above 1 it is exceeded."""
        return self.sent / self.allowed if self.allowed else float(self.sent)


def split(
    arrivals: Iterable[Arrival],
) -> tuple[list[float], list[float]]:
    """Return the times of the first sends, and those of the repeated ones."""
    sent_ids: set[bytes] = set()
    first_send_times: list[float] = []
    repeat_send_times: list[float] = []
    for arrival in arrivals:
        is_repeat = arrival.request_id in sent_ids
        times = repeat_send_times if is_repeat else first_send_times
        times.append(arrival.at)
        sent_ids.add(arrival.request_id)
    return first_send_times, repeat_send_times


def worst_window(
    repeat_times: Sequence[float],
    request_times: Sequence[float],
    budget: Budget,
) -> Window:
    """Return the window that uses the largest share of its limit.

    All times are in seconds and sorted.
    """
    windows = (
        Window(
            count_in_window(repeat_times, start, budget.window_s),
            budget.allowed(request_times, start),
            start,
        )
        for start in repeat_times
    )
    return max(windows, key=_used_share, default=Window(0, budget.burst, 0))


def count_in_window(
    times: Sequence[float], start: float, window_s: float
) -> int:
    """Return how many sorted ``times`` lie in a window."""
    first = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + window_s) - first


def _used_share(window: Window) -> float:
    return window.used_share
