"""The owner role: one queue for each searcher that a node owns."""
