"""HTTP between processes: a bounded client and server over libraries."""
