"""The size to design for, and what it means for one node."""

import dataclasses

_SECONDS_A_DAY = 86400


@dataclasses.dataclass(slots=True, frozen=True)
class Fleet:
    """A fleet whose load is spread evenly; rates are a second.

    The searchers of one service stand in one data centre here, so that a
    search need not leave it: the kindest case for links, and the one with
    the most owners a search.
    """

    nodes: int = 600
    data_centres: int = 9
    searchers: int = 4300
    searches: int = 73000
    searchers_a_search: int = 400
    changes_a_day: int = 3200

    @property
    def nodes_a_data_centre(self) -> float:
        """Entry hosts of one data centre."""
        return self.nodes / self.data_centres

    @property
    def searchers_a_node(self) -> float:
        """Searchers that a node owns."""
        return self.searchers / self.nodes

    @property
    def searches_a_node(self) -> float:
        """Searches that callers send to one node."""
        return self.searches / self.nodes

    @property
    def owners_a_search(self) -> float:
        """Nodes of the data centre that own one of a search's searchers.

        A node owns none of them with the chance that all of its searchers
        are among those left out.
        """
        here = self.searchers / self.data_centres
        left_out = 1 - self.searchers_a_search / here
        untouched = left_out**self.searchers_a_node
        return self.nodes_a_data_centre * (1 - untouched)

    @property
    def owner_messages_a_node(self) -> float:
        """Messages from one entry to owners; as many come in as owner."""
        return self.searches_a_node * self.owners_a_search

    @property
    def sub_queries_a_node(self) -> float:
        """Sub-queries that a node sends to the searchers it owns."""
        return self.searches * self.searchers_a_search / self.nodes

    @property
    def sub_queries_a_searcher(self) -> float:
        """Sub-queries that a searcher gets."""
        return self.searches * self.searchers_a_search / self.searchers

    def batches_a_node(self, size: float) -> float:
        """Batches that a node sends, at ``size`` sub-queries each."""
        return self.sub_queries_a_node / size

    @property
    def changes_a_second(self) -> float:
        """Accepted changes of configuration, on average."""
        return self.changes_a_day / _SECONDS_A_DAY
