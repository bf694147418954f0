"""Rendezvous hashing: which node owns which key, without coordination.

Load pattern: nodes join and leave while every searcher needs a single queue.
Without agreed ownership each node would queue for each searcher on its own,
dividing a handful of slots among all nodes. Rendezvous hashing moves only the
keys of a node that joins or leaves, and also determines the standby.
"""

import xxhash


def ranked(key: str, node_ids: list[str]) -> list[str]:
    """Return the nodes for ``key``: owner first, standby second."""
    return sorted(node_ids, key=lambda node_id: _weight(key, node_id))


def _weight(key: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{node_id}'.encode())
