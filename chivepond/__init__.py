"""Query tier that routes and fans out requests to sharded searchers."""

VERSION = '0.1.0'
