"""Header fields in the order and spelling in which they were received."""

from collections.abc import Iterable, Iterator

#: Header fields that concern one connection only and are never forwarded.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    ),
)


class HeaderList:
    """Header fields as pairs of name and value; names ignore case.

    The first value of each name is also stored by name: eight fields are looked
    up for each shard of a search, and a scan of all pairs each time took 6% of
    the CPU time in a profile that included the stand-in servers.
    """

    __slots__ = ('_first_by_name', 'pairs')

    def __init__(self) -> None:
        """Create an empty list."""
        self.pairs: list[tuple[bytes, bytes]] = []
        self._first_by_name: dict[bytes, bytes] = {}

    def add(self, name: bytes, field_value: bytes) -> None:
        """Append a field."""
        self.pairs.append((name, field_value))
        self._first_by_name.setdefault(name.lower(), field_value)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field; ``name`` is in lower case."""
        return self._first_by_name.get(name)

    def all_of(self, name: bytes) -> Iterator[bytes]:
        """Return all values of a field; ``name`` is in lower case."""
        return (
            field_value
            for key, field_value in self.pairs
            if key.lower() == name
        )

    def end_to_end(self, dropped: Iterable[bytes]) -> list[tuple[bytes, bytes]]:
        """Return the fields to forward.

        Leaves out hop-by-hop fields, those that the Connection field names,
        and ``dropped`` (in lower case).
        """
        excluded = _HOP_BY_HOP.union(dropped, self._named_by_connection())
        return [
            (name, field_value)
            for name, field_value in self.pairs
            if name.lower() not in excluded
        ]

    def _named_by_connection(self) -> set[bytes]:
        return {
            token.strip().lower()
            for field_value in self.all_of(b'connection')
            for token in field_value.split(b',')
        }
