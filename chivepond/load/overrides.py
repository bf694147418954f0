"""Overrides entries of a nested document by their dotted paths."""

import copy
from collections.abc import Mapping
from typing import Any

import result

from chivepond.errors import invalid


def apply(
    document: dict[str, object],
    changes: Mapping[str, object],
) -> result.Result[dict[str, object], invalid.Invalid]:
    """Return a copy of ``document`` with ``changes`` applied.

    Keys are dotted paths such as ``streams.0.per_s``; lists are indexed by
    number. Returns Invalid when a path does not exist.
    """
    changed = copy.deepcopy(document)
    for path, replacement in changes.items():
        *parent_steps, last_step = path.split('.')
        try:
            _assign(_resolve(changed, parent_steps), last_step, replacement)
        except (LookupError, ValueError, TypeError):
            return result.Err(
                invalid.Invalid(
                    message=f'set: there is no key {path!r} in the scenario',
                    remedy='write the path from the top, lists by number',
                ),
            )
    return result.Ok(changed)


def _resolve(document: Any, parent_steps: list[str]) -> Any:
    current = document
    for step in parent_steps:
        current = current[int(step) if isinstance(current, list) else step]
    return current


def _assign(parent: Any, last_step: str, replacement: object) -> None:
    if isinstance(parent, list):
        parent[int(last_step)] = replacement
        return
    parent.update({last_step: replacement})
