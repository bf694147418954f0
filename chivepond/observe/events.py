"""All log events; the number of an event is never reused."""

from chivepond.observe import event

NODE_STARTED = event.Event(
    1001,
    'INFO',
    'node started',
    'A node listens on its addresses but is not ready yet.',
)
NODE_READY = event.Event(
    1002,
    'INFO',
    'node ready',
    'A node has a configuration and a list of hosts, and accepts requests.',
)
NODE_STOPPING = event.Event(
    1003,
    'INFO',
    'node stopping',
    'A planned stop has begun; requests in flight will end.',
)
NODE_STOPPED = event.Event(
    1004,
    'INFO',
    'node stopped',
    'A planned stop is complete.',
)
MESSAGES_UNSIGNED = event.Event(
    1005,
    'WARNING',
    'messages between nodes are not signed',
    'The setting `unsigned` is on: any process can impersonate a node.',
)
REQUEST_FAILED = event.Event(
    1006,
    'ERROR',
    'request handling failed',
    'An unhandled exception ended a request; please report it.',
)
NODE_REFUSED_FOR_MEMORY = event.Event(
    1007,
    'WARNING',
    'client refused for memory',
    'The requests of all clients exceeded the memory for them; the client '
    'that held most was refused.',
)
CONFIGURATION_IN_FORCE = event.Event(
    2001,
    'INFO',
    'configuration in force',
    'A node has applied an accepted revision of the configuration.',
)
CONFIGURATION_REFUSED = event.Event(
    2002,
    'WARNING',
    'configuration refused',
    'A draft is invalid; the previous revision stays in force.',
)
PLATFORM_AWAY = event.Event(
    2003,
    'WARNING',
    'platform unreachable',
    'A call to the platform failed; the last known state stays in force.',
)
PLATFORM_BACK = event.Event(
    2004,
    'INFO',
    'platform reachable again',
    'Calls to the platform succeed again.',
)
CONFIGURATION_UNREADABLE = event.Event(
    2010,
    'ERROR',
    'configuration unreadable',
    'This version cannot decode the accepted configuration; the previous one '
    'stays in force.',
)
NODE_WOKE = event.Event(
    2011,
    'WARNING',
    'node resumed after a pause',
    'The process was suspended; its view is stale until its peers reply.',
)
SEARCH_ANSWERED = event.Event(
    3001,
    'INFO',
    'search answered',
    'A search was answered; logs its snapshot and coverage, not its hits.',
)
SEARCH_REFUSED = event.Event(
    3002,
    'INFO',
    'search refused',
    'A search was refused or failed.',
)
COMMAND_ANSWERED = event.Event(
    3003,
    'INFO',
    'command answered',
    'A non-idempotent request has ended with a known outcome.',
)
COMMAND_REFUSED = event.Event(
    3004,
    'INFO',
    'command refused',
    'A non-idempotent request was not run, or its outcome is unknown.',
)
CLAIMS_SWEPT = event.Event(
    3010,
    'INFO',
    'expired claims removed',
    'Claims of keys older than the retention period were removed.',
)
OUTCOME_NOT_KEPT = event.Event(
    3011,
    'ERROR',
    'command outcome not stored',
    'Writing the outcome of a command to the platform failed; a repeated '
    'command gets the reply that the outcome is unknown.',
)
SEARCHER_STATE = event.Event(
    4001,
    'INFO',
    'searcher state changed',
    'A node now takes a searcher for ready, cold, draining, ejected or gone.',
)
MESSAGE_REFUSED = event.Event(
    5000,
    'WARNING',
    'message between nodes refused',
    'The signature is missing, invalid or expired, or the message is a replay.',
)
GATEWAY_STARTED = event.Event(
    6001,
    'INFO',
    'gateway started',
    'A gateway listens on its addresses but is not ready yet.',
)
GATEWAY_READY = event.Event(
    6002,
    'INFO',
    'gateway ready',
    'A gateway has a configuration and searchers, and accepts requests.',
)
GATEWAY_STOPPING = event.Event(
    6003,
    'INFO',
    'gateway stopping',
    'A planned stop has begun; requests in flight will end.',
)
GATEWAY_STOPPED = event.Event(
    6004,
    'INFO',
    'gateway stopped',
    'A planned stop is complete; logs what was still open.',
)
SETTINGS_RELOADED = event.Event(
    6005,
    'INFO',
    'settings reloaded',
    'The settings file was reloaded; logs which settings changed.',
)
SETTINGS_REFUSED = event.Event(
    6006,
    'WARNING',
    'settings refused',
    'The settings file is invalid; the previous settings stay in force.',
)
GATEWAY_FAULT = event.Event(
    6007,
    'ERROR',
    'unhandled exception',
    'An unhandled exception ended a request or a task; please report it.',
)
MECHANISMS_SWITCHED = event.Event(
    6008,
    'WARNING',
    'mechanisms switched',
    'An operator switched mechanisms off or on; logs which are off.',
)
ROUTES_IN_FORCE = event.Event(
    6010,
    'INFO',
    'routes in force',
    'A newer version of the routes is in force.',
)
ROUTES_WAIT = event.Event(
    6015,
    'INFO',
    'routes deferred',
    'A newer version is deferred: it would serve less until its searchers are '
    'listed.',
)
ROUTES_REFUSED = event.Event(
    6011,
    'WARNING',
    'routes refused',
    'A version of the routes cannot be decoded; the previous one stays in '
    'force.',
)
SOURCE_LOST = event.Event(
    6012,
    'WARNING',
    'sync source lost',
    'The store, or a gateway that relays its updates, cannot be read.',
)
SOURCE_REGAINED = event.Event(
    6013,
    'INFO',
    'sync source restored',
    'The store, or a gateway that relays its updates, can be read again.',
)
SYNC_SOURCE = event.Event(
    6014,
    'INFO',
    'sync source changed',
    'Updates now come from this source: the store itself or another gateway.',
)
LARGE_UPDATE = event.Event(
    6016,
    'INFO',
    'large update received',
    'A large update came from another gateway; logs its kinds, its size and '
    'the time from first to last byte.',
)
SEARCHER_LEARNED = event.Event(
    6020,
    'INFO',
    'searcher learned',
    'A searcher is registered or has restarted.',
)
SEARCHER_LEAVING = event.Event(
    6021,
    'INFO',
    'searcher leaving',
    'A searcher announced its shutdown; it gets no new requests.',
)
SEARCHER_GONE = event.Event(
    6022,
    'INFO',
    'searcher removed',
    'The entry of a searcher was deleted and did not reappear.',
)
SEARCHER_ENTRY_REFUSED = event.Event(
    6023,
    'WARNING',
    'searcher entry refused',
    'An entry of the list of searchers cannot be used.',
)
SEARCHER_DISTRUSTED = event.Event(
    6024,
    'WARNING',
    'searcher distrusted',
    'A searcher failed several requests in a row; others are preferred.',
)
SEARCHER_TRUSTED = event.Event(
    6025,
    'INFO',
    'searcher trusted again',
    'A distrusted searcher replied successfully.',
)
SEARCHERS_CRASHED = event.Event(
    6026,
    'WARNING',
    'searchers crashed',
    'Searchers exited while they ran a request, and none replied to it; '
    'requests with the same fingerprint differ in their identifier only.',
)
REQUESTS_QUARANTINED = event.Event(
    6027,
    'WARNING',
    'requests quarantined',
    'Requests with this fingerprint crash searchers and are rejected.',
)
PEER_LEARNED = event.Event(
    6030,
    'INFO',
    'peer registered',
    'Another gateway is registered.',
)
PEER_GONE = event.Event(
    6031,
    'INFO',
    'peer deregistered',
    'Another gateway is no longer registered, or has a new address.',
)
PEER_LOST = event.Event(
    6032,
    'WARNING',
    'peer unresponsive',
    'Another gateway failed to reply; it gets no requests for a while.',
)
PEER_FOUND = event.Event(
    6033,
    'INFO',
    'peer responsive again',
    'An unresponsive gateway replied successfully.',
)
PEER_SUSPECTED = event.Event(
    6034,
    'WARNING',
    'peer suspected',
    'A gateway has not replied for a long time; its entry will be removed.',
)
PEER_REMOVED = event.Event(
    6035,
    'INFO',
    'peer entry removed',
    'The entry of a gateway that no longer replies was deleted from the store.',
)
SENDS_BY_SERVICE = event.Event(
    6036,
    'INFO',
    'requests sent more than once',
    'The sends to each service since the last such line, by their reason.',
)
REPLY_ABORTED = event.Event(
    6037,
    'WARNING',
    'reply aborted',
    'A reply of a searcher or another gateway exceeded a limit or was not '
    'valid; its connection was closed.',
)
REFUSED_FOR_MEMORY = event.Event(
    6038,
    'WARNING',
    'client refused for memory',
    'The requests of all clients exceeded the memory for them; the client '
    'that held most was refused.',
)
REQUEST_ANSWERED = event.Event(
    6100,
    'INFO',
    'request answered',
    'A request was answered; ordinary ones are sampled.',
)
REQUEST_ANSWERED_IN_PART = event.Event(
    6101,
    'INFO',
    'request answered in part',
    'A gathered answer lacks shards; logs the reason for each.',
)
REQUEST_REFUSED = event.Event(
    6102,
    'INFO',
    'request refused',
    'A request was refused and did not run.',
)
REQUEST_UNANSWERED = event.Event(
    6103,
    'WARNING',
    'request failed at the searchers',
    'No searcher replied successfully in time; the request may have run.',
)
REQUEST_ABANDONED = event.Event(
    6104,
    'INFO',
    'request abandoned',
    'The caller disconnected before the answer; searchers were notified.',
)
GATHER_SERVED = event.Event(
    6110,
    'INFO',
    'gather served',
    'Shards were gathered for another gateway; logs the missing ones.',
)
REQUEST_SENT = event.Event(
    6112,
    'DEBUG',
    'request sent',
    'A request was sent to a searcher; logged without a limit, at level DEBUG.',
)
FORWARD_SERVED = event.Event(
    6111,
    'INFO',
    'forward served',
    'A request was forwarded for a gateway that may not connect to the '
    'searcher.',
)
