"""Message types exchanged between processes, and their JSON codec."""
