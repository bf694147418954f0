"""Loads played on the gateway's decisions, and what callers get.

Each test states the figure before and after the decision that it holds.
"""

import random

from chivepond.decisions import searcher_choice, searcher_standing
from chivepond.tests import load_play


def _gateways(count, names, slots=2):
    return [
        load_play.Gateway(
            {
                name: searcher_standing.SearcherStanding(slots, 0)
                for name in names
            },
        )
        for _ in range(count)
    ]


def test_an_ordinary_queue_moves_no_search_to_another_region():
    """Replies that are early cost no bytes between regions.

    Parts of 25 ms come at 40 a second to a pair of copies, through three
    gateways, for answers that are due after 233 ms. With the price of a link
    at 15 ms, 0.064 of them went to the copy in the other region for being
    quicker there; at a quarter of the target latency 0.005 do, none is late.
    """
    rng = random.Random(2)

    def work_s(now):
        return rng.lognormvariate(-3.75, 0.35)

    played = load_play.play(
        [
            load_play.Searcher('near', work_s),
            load_play.Searcher('far', work_s, link_s=0.008, is_near=False),
        ],
        _gateways(3, ('near', 'far')),
        load_play.arrivals(40, 60),
        searcher_choice.Need(0.233),
    )
    assert played.names.count('far') < 0.01 * len(played.names)
    assert not played.late(0.2)
