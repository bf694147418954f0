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
