"""The owner role of a node: queues sub-queries for the searchers it owns."""
