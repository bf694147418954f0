"""The mechanisms of a gateway that an operator may switch off."""

import enum


class Mechanism(enum.StrEnum):
    """One mechanism, by the name that settings, logs and metrics give it."""

    #: A late part, or a late reply, is asked for at a second searcher.
    SECOND_ASKS = 'second_asks'
    #: That is left out where it would come too late.
    HEDGE_GAIN = 'hedge_gain'
    #: When that is follows the replies of the route; off, the latest moment.
    LEARNED_ASK_TIME = 'learned_ask_time'
    #: Gateways that gather for others have more of the second sends.
    UNEVEN_BUDGET = 'uneven_budget'
    #: Searchers that fail a few times in a row are asked last for a while.
    DISTRUST = 'distrust'
    #: Distrusted searchers are tried again by requests that may be repeated.
    TRIALS = 'trials'
    #: Searchers that owe a reply are passed over.
    OVERDUE = 'overdue'
    #: Searchers across a link count as slower by the price of its bytes.
    LINK_PRICE = 'link_price'
    #: Shards in another region are gathered by a gateway there.
    REMOTE_GATHER = 'remote_gather'
    #: Where two other regions hold the shards, one of them is asked.
    ONE_REGION = 'one_region'
    #: A search is answered at the target latency with the parts that are in.
    TARGET_ANSWER = 'target_answer'
    #: Shards without a sound searcher hold up no answer.
    HOPELESS_SHARDS = 'hopeless_shards'
    #: Shards that can't reply in time are left out by some searches.
    SHARD_SHEDDING = 'shard_shedding'
    #: Fewer searches are let in while queues are long.
    SEARCH_ADMISSION = 'search_admission'
    #: A version that serves less waits for its searchers.
    VERSION_WAIT = 'version_wait'
    #: A searcher whose entry vanished stays the last choice for a while.
    LAST_CHOICE = 'last_choice'
    #: Another gateway is followed where the store turns this one away.
    PEER_NEWS = 'peer_news'
    #: One gateway reads the store, and the others follow it.
    SHARED_READER = 'shared_reader'
    #: A late group's exchange ends by itself, and keeps its connection.
    KEPT_GROUPS = 'kept_groups'
    #: A reply of another gateway that is late is asked for once more.
    REPEATED_GROUPS = 'repeated_groups'
    #: Requests that crash the searchers that run them are rejected.
    CRASH_QUARANTINE = 'crash_quarantine'
    #: Exchanges that lost a race end by themselves for a little while.
    STRAGGLERS = 'stragglers'
