"""Mechanisms of a gateway that an operator can switch off."""

import enum


class Mechanism(enum.StrEnum):
    """A mechanism, by its name in settings, logs and metrics."""

    #: Requests a late reply, or a late part of one, from a second searcher.
    SECOND_ASKS = 'second_asks'
    #: Skips the second request if its reply would come too late.
    HEDGE_GAIN = 'hedge_gain'
    #: Derives the time of the second request from the reply times of the route;
    #: without it, the request is sent at the latest useful moment.
    LEARNED_ASK_TIME = 'learned_ask_time'
    #: Gives gateways that gather for others a larger budget of second sends.
    UNEVEN_BUDGET = 'uneven_budget'
    #: Uses a searcher last for a while after a few failures in a row.
    DISTRUST = 'distrust'
    #: Tries distrusted searchers again with requests that can be repeated.
    TRIALS = 'trials'
    #: Avoids searchers whose reply to an earlier request is overdue.
    OVERDUE = 'overdue'
    #: Adds the transfer cost of a network link to the latency of the searchers
    #: behind it.
    LINK_PRICE = 'link_price'
    #: Delegates gathering from shards in another region to a gateway there.
    REMOTE_GATHER = 'remote_gather'
    #: Queries only one region where two other regions hold the shards.
    ONE_REGION = 'one_region'
    #: Answers a search at the target latency with the parts received so far.
    TARGET_ANSWER = 'target_answer'
    #: Does not delay a response for shards without a healthy searcher.
    HOPELESS_SHARDS = 'hopeless_shards'
    #: Omits shards that can't reply in time from some searches.
    SHARD_SHEDDING = 'shard_shedding'
    #: Admits fewer searches while queues are long.
    SEARCH_ADMISSION = 'search_admission'
    #: Delays a routing version until its searchers are registered, if it has
    #: more routes without searchers than the version in use.
    VERSION_WAIT = 'version_wait'
    #: Keeps a searcher as the last choice for a while after its entry vanishes.
    LAST_CHOICE = 'last_choice'
    #: Reads updates from another gateway if the store rejects this gateway.
    PEER_NEWS = 'peer_news'
    #: Lets one gateway read the store and the others read from it.
    SHARED_READER = 'shared_reader'
    #: Lets a late gather at another gateway complete, so that its connection
    #: can be reused.
    KEPT_GROUPS = 'kept_groups'
    #: Requests a late reply of another gateway once more.
    REPEATED_GROUPS = 'repeated_groups'
    #: Rejects requests that crash the searchers that run them.
    CRASH_QUARANTINE = 'crash_quarantine'
    #: Lets an exchange continue for a short time after another attempt won.
    STRAGGLERS = 'stragglers'
