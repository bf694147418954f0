"""A batch of sub-queries for one searcher."""

import dataclasses

from chivepond.wire import sub_query


@dataclasses.dataclass(slots=True)
class QueryBatch:
    """What one POST /v1/query carries."""

    entries: list[sub_query.SubQuery]
