"""Whether searchers crashed because of a request, as seen by one gateway.

Load pattern: a request crashes each searcher that starts to run it, and the
other requests in flight there fail too. Those others differ from the cause:
some searcher replied to them before, or does on their next attempt.
"""

#: After this many searchers disconnected during one request it is not retried:
#: the remaining replicas would probably crash too and serve nobody meanwhile.
_MAX_DISCONNECTED = 3


class Evidence:
    """Outcomes of one request at the searchers that it was sent to."""

    __slots__ = ('disconnected_ids', 'has_reply')

    def __init__(self) -> None:
        """Start before the request is sent."""
        #: Whether a searcher ran the request and replied.
        self.has_reply = False
        #: Searchers whose connection closed while they had the request.
        self.disconnected_ids: set[str] = set()

    @property
    def is_suspect(self) -> bool:
        """Whether a searcher disconnected and none has replied."""
        return bool(self.disconnected_ids) and not self.has_reply

    @property
    def is_retry_unsafe(self) -> bool:
        """Whether another searcher would probably crash as well."""
        return (
            self.is_suspect and len(self.disconnected_ids) >= _MAX_DISCONNECTED
        )

    def disconnected(self, searcher_id: str) -> None:
        """Record that a searcher's connection closed before its reply."""
        self.disconnected_ids.add(searcher_id)
