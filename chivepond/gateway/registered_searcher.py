"""A registered searcher with the channel to it."""

import dataclasses

from chivepond.decisions import searcher_choice
from chivepond.gateway import (
    peer_channel,
    peer_endpoint,
    reply_buffers,
    searcher_record,
)


@dataclasses.dataclass(slots=True)
class RegisteredSearcher:
    """The latest record of a searcher, and the channel to it."""

    record: searcher_record.SearcherRecord
    channel: peer_channel.PeerChannel

    def state(self, now: float) -> str:
        """Return the state as its metrics label."""
        if self.record.is_leaving:
            return 'leaving'
        return self.channel.health.state(now).name.lower()

    def candidate(
        self,
        *,
        is_in_data_centre: bool,
        is_in_region: bool,
        is_last_choice: bool,
    ) -> searcher_choice.Candidate:
        """Return the searcher as a candidate for a request."""
        return searcher_choice.Candidate(
            searcher_id=self.record.searcher_id,
            health=self.channel.health,
            data_centre=self.record.data_centre,
            is_in_data_centre=is_in_data_centre,
            is_in_region=is_in_region,
            is_last_choice=is_last_choice,
        )

    def is_newer_than(self, record: searcher_record.SearcherRecord) -> bool:
        """Tell whether ``record`` is older than the current one."""
        current = (self.record.born_ms, self.record.sequence)
        return current > (record.born_ms, record.sequence)

    def is_same_process(self, record: searcher_record.SearcherRecord) -> bool:
        """Tell whether ``record`` has the same process, address and service."""
        if record.incarnation != self.record.incarnation:
            return False
        endpoint = (record.address, record.service)
        return endpoint == (self.record.address, self.record.service)


def peer_endpoint_of(
    record: searcher_record.SearcherRecord,
    buffers: reply_buffers.ReplyBuffers | None = None,
) -> peer_endpoint.PeerEndpoint:
    """Return the parameters of a channel to a searcher."""
    return peer_endpoint.PeerEndpoint(
        name=record.searcher_id,
        address=record.address,
        slots=record.slots,
        buffers=buffers,
    )
