"""Library of the load tool: open-loop load, faults and comparisons."""
