"""A searcher that is registered, and the connections to it."""

import dataclasses

from chivepond.gateway import link as links
from chivepond.gateway import link_end, searcher_record


@dataclasses.dataclass(slots=True)
class RegisteredSearcher:
    """What a searcher told last, and the link to it."""

    record: searcher_record.SearcherRecord
    link: links.Link

    def is_newer_than(self, told: searcher_record.SearcherRecord) -> bool:
        """Tell whether ``told`` is older than what is known."""
        known = (self.record.born_ms, self.record.sequence)
        return known > (told.born_ms, told.sequence)

    def is_same(self, told: searcher_record.SearcherRecord) -> bool:
        """Tell whether ``told`` is of the same life at the same place."""
        if told.life != self.record.life:
            return False
        place = (told.address, told.service)
        return place == (self.record.address, self.record.service)


def end(record: searcher_record.SearcherRecord) -> link_end.LinkEnd:
    """Return the end of a link to a searcher."""
    return link_end.LinkEnd(
        name=record.searcher_id,
        address=record.address,
        slots=record.slots,
        warmup_s=record.warmup_s,
    )
