"""Which node owns what, agreed on without talking.

Load pattern: nodes come and go while every searcher needs one queue.
Without it, each node would queue for each searcher on its own, splitting a
handful of slots among all. Rendezvous hashing moves only the keys of a node
that comes or goes, and names the standby at once.
"""

import xxhash


def ranked(key: str, node_ids: list[str]) -> list[str]:
    """Return the nodes for ``key``: owner first, standby next."""
    return sorted(node_ids, key=lambda node_id: _weight(key, node_id))


def _weight(key: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{node_id}'.encode())
