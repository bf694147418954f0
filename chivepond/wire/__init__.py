"""Messages between processes, as slotted data classes, and their codec."""
