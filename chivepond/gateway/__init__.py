"""The gateway: forwards callers' requests whole, and gathers over shards."""
