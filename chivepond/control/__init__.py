"""State shared between nodes: configuration, membership, claims, status."""
