"""Builds the answer to the caller from the collected hits."""

from chivepond.entry import cursor, search_check, search_state
from chivepond.owner import owner_call
from chivepond.wire import search_answer, snapshot


def merge(
    state: search_state.SearchState,
    page: cursor.Cursor,
) -> search_answer.SearchAnswer:
    """Return the answer with the best hits of one page and the coverage."""
    best = owner_call.best(state.hits, state.wanted)
    next_cursor = ''
    if len(best) == state.wanted and state.wanted < search_check.MAX_OFFSET:
        next_cursor = cursor.to_text(
            cursor.Cursor(version=state.index.version, offset=state.wanted),
        )
    return search_answer.SearchAnswer(
        request_id=state.request_id,
        snapshot=snapshot.Snapshot(
            index=state.index.index,
            version=state.index.version,
        ),
        coverage=state.coverage(),
        hits=best[page.offset :],
        cursor=next_cursor,
    )
