"""The HTTP gateway: routes requests and fans searches out over shards."""
