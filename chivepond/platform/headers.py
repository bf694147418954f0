"""HTTP header names of the platform, in lower case for comparison."""

REQUEST_ID = b'x-request-id'
#: Milliseconds until the sender of a request stops waiting.
TIME_LEFT_MS = b'x-deadline-ms'
#: Signature with which a searcher attests to its reply.
SIGNATURE = b'x-server-stamp'
#: Searcher that must run the request; any other searcher replies 421.
EXPECTED_SEARCHER = b'x-expect-instance'
#: Counts of running requests, queued requests and slots of a searcher.
LOAD = b'x-server-load'
#: Present on a reply when the searcher did not run the request.
NOT_RUN = b'x-not-executed'
#: Signatures of the partial replies merged into a gathered response.
PART_SIGNATURES = b'x-part-stamps'
#: Number of shards that a gathered response does not cover.
MISSING_SHARDS = b'x-missing-parts'
