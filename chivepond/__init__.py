"""A query tier between callers and the searchers of very many shards."""

VERSION = '0.1.0'
