"""HTTP client and server between processes, with bounded resources."""
