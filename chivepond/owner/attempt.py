"""One attempt to search one shard at one searcher."""

from typing import TYPE_CHECKING

from chivepond.wire import sub_query

if TYPE_CHECKING:
    from chivepond.owner import owner_call


class Attempt:
    """A queued or sent sub-query; times are seconds of the loop's clock."""

    __slots__ = (
        'call',
        'created_at',
        'deadline',
        'is_in_flight',
        'searcher_id',
        'sub_query',
    )

    def __init__(
        self,
        call: 'owner_call.OwnerCall',
        query: sub_query.SubQuery,
        searcher_id: str,
        now: float,
    ) -> None:
        """Create an attempt of ``call`` at the searcher ``searcher_id``."""
        self.call = call
        self.sub_query = query
        self.searcher_id = searcher_id
        self.created_at = now
        self.deadline = call.deadline
        self.is_in_flight = False

    @property
    def is_wanted(self) -> bool:
        """Whether the call still waits for a reply for this shard."""
        return self.sub_query.shard in self.call.pending
