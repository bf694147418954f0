"""The entry role: the HTTP interface that a node offers to callers."""
