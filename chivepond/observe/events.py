"""The catalogue of log events; numbers are never used for another one."""

from chivepond.observe import event

NODE_STARTED = event.Event(
    1001,
    'INFO',
    'node started',
    'A node listens on its addresses; it is not ready yet.',
)
NODE_READY = event.Event(
    1002,
    'INFO',
    'node ready',
    'A node has a configuration and a list of hosts, and takes requests.',
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
    'The setting `unsigned` is on: any process may pose as a node.',
)
REQUEST_FAILED = event.Event(
    1006,
    'ERROR',
    'request failed',
    'A request met a fault of the program; please report it.',
)
CONFIGURATION_IN_FORCE = event.Event(
    2001,
    'INFO',
    'configuration in force',
    'A node has put an accepted revision in force.',
)
CONFIGURATION_REFUSED = event.Event(
    2002,
    'WARNING',
    'configuration refused',
    'A draft is wrong; the revision before it stays in force.',
)
PLATFORM_AWAY = event.Event(
    2003,
    'WARNING',
    'platform away',
    'A call on the platform failed; what was known stays in force.',
)
PLATFORM_BACK = event.Event(
    2004,
    'INFO',
    'platform back',
    'Calls on the platform succeed again.',
)
CONFIGURATION_UNREADABLE = event.Event(
    2010,
    'ERROR',
    'configuration unreadable',
    'This software cannot read the accepted document; the one before stays.',
)
NODE_WOKE = event.Event(
    2011,
    'WARNING',
    'node woke from a pause',
    'The process stood still; its view is stale until its peers answered.',
)
SEARCH_ANSWERED = event.Event(
    3001,
    'INFO',
    'search answered',
    'An answer was given; says its snapshot and coverage, not its hits.',
)
SEARCH_REFUSED = event.Event(
    3002,
    'INFO',
    'search refused',
    'A search was turned away or failed.',
)
COMMAND_ANSWERED = event.Event(
    3003,
    'INFO',
    'command answered',
    'A non-idempotent request has its outcome.',
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
    'claims swept',
    'Claims of keys older than the retention were removed.',
)
OUTCOME_NOT_KEPT = event.Event(
    3011,
    'ERROR',
    'outcome not kept',
    'The platform could not be told how a command ended; its repeat is '
    'told that the outcome is unknown.',
)
SEARCHER_STATE = event.Event(
    4001,
    'INFO',
    'searcher state',
    'A searcher is seen as ready, cold, draining, ejected or gone.',
)
MESSAGE_REFUSED = event.Event(
    5000,
    'WARNING',
    'message between nodes refused',
    'Its signature is missing, wrong, too old, or was seen before.',
)
GATEWAY_STARTED = event.Event(
    6001,
    'INFO',
    'gateway started',
    'A gateway listens on its addresses; it is not ready yet.',
)
GATEWAY_READY = event.Event(
    6002,
    'INFO',
    'gateway ready',
    'A gateway knows a configuration and the searchers, and takes requests.',
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
    'A planned stop is complete; says what was still open.',
)
SETTINGS_RELOADED = event.Event(
    6005,
    'INFO',
    'settings reloaded',
    'The settings file was read again; says which settings changed.',
)
SETTINGS_REFUSED = event.Event(
    6006,
    'WARNING',
    'settings refused',
    'The settings file is wrong; the settings before it hold.',
)
GATEWAY_FAULT = event.Event(
    6007,
    'ERROR',
    'fault of the program',
    'A request or a task met a fault of the program; please report it.',
)
MECHANISMS_SWITCHED = event.Event(
    6008,
    'WARNING',
    'mechanisms switched',
    'An operator switched mechanisms off or on; says which are off.',
)
ROUTES_IN_FORCE = event.Event(
    6010,
    'INFO',
    'routes in force',
    'A newer version of the routes is in force; says who told it.',
)
ROUTES_WAIT = event.Event(
    6015,
    'INFO',
    'routes wait',
    'A newer version serves less until its searchers are listed; it waits.',
)
ROUTES_REFUSED = event.Event(
    6011,
    'WARNING',
    'routes refused',
    'A version of the routes could not be read; the one before stays.',
)
SOURCE_LOST = event.Event(
    6012,
    'WARNING',
    'source lost',
    'The store or a gateway that hands on its news can not be read.',
)
SOURCE_REGAINED = event.Event(
    6013,
    'INFO',
    'source regained',
    'The store or a gateway that hands on its news is read again.',
)
SYNC_SOURCE = event.Event(
    6014,
    'INFO',
    'sync source',
    'Where the content of the store is taken from: it, or another gateway.',
)
LARGE_UPDATE = event.Event(
    6016,
    'INFO',
    'large update taken',
    'What another gateway handed on, its size, and the time from first to last '
    'byte.',
)
SEARCHER_LEARNED = event.Event(
    6020,
    'INFO',
    'searcher learned',
    'A searcher is registered, or has started again.',
)
SEARCHER_LEAVING = event.Event(
    6021,
    'INFO',
    'searcher leaving',
    'A searcher said that it stops; it gets no new requests.',
)
SEARCHER_GONE = event.Event(
    6022,
    'INFO',
    'searcher gone',
    'The entry of a searcher vanished and did not come back.',
)
SEARCHER_ENTRY_REFUSED = event.Event(
    6023,
    'WARNING',
    'searcher entry refused',
    'An entry of the list names no searcher that can be used.',
)
SEARCHER_DISTRUSTED = event.Event(
    6024,
    'WARNING',
    'searcher distrusted',
    'A searcher failed a few requests in a row; others are asked first.',
)
SEARCHER_TRUSTED = event.Event(
    6025,
    'INFO',
    'searcher trusted again',
    'A searcher that was distrusted replied well.',
)
SEARCHERS_CRASHED = event.Event(
    6026,
    'WARNING',
    'searchers crashed',
    'Searchers ended while they ran a request, and none replied to it; '
    'requests with the same fingerprint differ in their identifier only.',
)
REQUESTS_QUARANTINED = event.Event(
    6027,
    'WARNING',
    'requests quarantined',
    'Requests with this fingerprint crash searchers; they are rejected.',
)
PEER_LEARNED = event.Event(
    6030,
    'INFO',
    'peer learned',
    'Another gateway is registered.',
)
PEER_GONE = event.Event(
    6031,
    'INFO',
    'peer gone',
    'Another gateway is registered no more, or elsewhere.',
)
PEER_LOST = event.Event(
    6032,
    'WARNING',
    'peer lost',
    'Another gateway gave no good reply; it is asked for nothing for a while.',
)
PEER_FOUND = event.Event(
    6033,
    'INFO',
    'peer found',
    'A gateway that was lost replied well.',
)
PEER_SUSPECTED = event.Event(
    6034,
    'WARNING',
    'peer suspected',
    'A gateway gave no reply for long; its entry will be removed.',
)
PEER_REMOVED = event.Event(
    6035,
    'INFO',
    'peer removed',
    'The entry of a gateway that is gone was removed from the store.',
)
REQUEST_ANSWERED = event.Event(
    6100,
    'INFO',
    'request answered',
    'A request got its answer; ordinary ones are sampled.',
)
REQUEST_ANSWERED_IN_PART = event.Event(
    6101,
    'INFO',
    'request answered in part',
    'A gathered answer lacks shards; says which, and why each.',
)
REQUEST_REFUSED = event.Event(
    6102,
    'INFO',
    'request refused',
    'A request was turned away and has not run.',
)
REQUEST_UNANSWERED = event.Event(
    6103,
    'WARNING',
    'request failed at the searchers',
    'No searcher gave a good reply, or not in time; it may have run.',
)
REQUEST_ABANDONED = event.Event(
    6104,
    'INFO',
    'request abandoned',
    'The caller left before the answer; searchers were told.',
)
GATHER_SERVED = event.Event(
    6110,
    'INFO',
    'gather served',
    'Shards were gathered for another gateway; says what is missing.',
)
FORWARD_SERVED = event.Event(
    6111,
    'INFO',
    'forward served',
    'A request was forwarded for a gateway that may not connect itself.',
)
