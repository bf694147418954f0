"""Names of HTTP headers, in lower case as they are compared."""

REQUEST_ID = b'x-request-id'
#: Milliseconds for which the sender of a request will wait.
TIME_LEFT_MS = b'x-deadline-ms'
#: The signature by which a searcher vouches for its reply.
SIGNATURE = b'x-server-stamp'
#: The searcher that is to run the request; any other one replies 421.
EXPECTED_SEARCHER = b'x-expect-instance'
#: Running requests, waiting requests and slots of a searcher.
LOAD = b'x-server-load'
#: Set on a reply to a request that the searcher did not run.
NOT_RUN = b'x-not-executed'
#: The signatures of the parts of a gathered answer.
PART_SIGNATURES = b'x-part-stamps'
#: How many shards a gathered answer leaves out.
MISSING_SHARDS = b'x-missing-parts'
