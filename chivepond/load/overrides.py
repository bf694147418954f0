"""Sets single places of a nested document by their dotted names."""

import copy
from collections.abc import Mapping
from typing import Any

import result

from chivepond.errors import invalid


def applied(
    document: dict[str, object],
    changes: Mapping[str, object],
) -> result.Result[dict[str, object], invalid.Invalid]:
    """Return a copy of ``document`` with ``changes`` made."""
    changed = copy.deepcopy(document)
    for place, wanted in changes.items():
        *parents, last = place.split('.')
        try:
            _set(_inner(changed, parents), last, wanted)
        except (LookupError, ValueError, TypeError):
            return result.Err(
                invalid.Invalid(
                    message=f'set: there is no place {place!r} in the scenario',
                    remedy='name each step from the top, lists by number',
                ),
            )
    return result.Ok(changed)


def _inner(document: Any, parents: list[str]) -> Any:
    found = document
    for step in parents:
        found = found[int(step) if isinstance(found, list) else step]
    return found


def _set(parent: Any, last: str, wanted: object) -> None:
    if isinstance(parent, list):
        parent[int(last)] = wanted
        return
    parent.update({last: wanted})
