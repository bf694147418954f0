"""A batch of sub-queries for one searcher."""

import dataclasses

from chivepond.wire import sub_query


@dataclasses.dataclass(slots=True)
class QueryBatch:
    """The body of POST /v1/query."""

    entries: list[sub_query.SubQuery]
