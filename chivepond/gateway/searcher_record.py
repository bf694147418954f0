"""The registration record of a searcher."""

import dataclasses

from chivepond.transport import address


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherRecord:
    """A searcher, as one process of it has registered."""

    searcher_id: str
    service: str
    address: address.Address
    data_centre: str
    slots: int
    #: Whether it has announced that it is about to stop.
    is_leaving: bool
    #: The start of the process in Unix milliseconds; zero if unknown.
    born_ms: int
    #: The sequence number of the report since that start.
    sequence: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """The identity of the process: the searcher and its start."""
        return (self.searcher_id, self.born_ms)
