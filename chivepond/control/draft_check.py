"""Checks a draft, section by section."""

import types
from collections.abc import Mapping

import msgspec
import result

from chivepond.errors import invalid
from chivepond.settings import (
    audit_section,
    capacity_section,
    deployment,
    loader,
    search_section,
)
from chivepond.wire import draft_document

KIND_BY_SECTION: Mapping[str, type[msgspec.Struct]] = types.MappingProxyType(
    {
        'search': search_section.SearchSection,
        'capacity': capacity_section.CapacitySection,
        'audit': audit_section.AuditSection,
    }
)


def check(
    draft: draft_document.DraftDocument,
) -> result.Result[deployment.Deployment, invalid.Invalid]:
    """Return the document in a draft, or what is wrong and where."""
    sections = {}
    for name, kind in KIND_BY_SECTION.items():
        body = getattr(draft, name).body
        read = loader.parse(kind, bytes(body), name)
        if read.is_err():
            return read
        sections[name] = read.unwrap()
    return _check_across(deployment.Deployment(**sections))


def _check_across(
    document: deployment.Deployment,
) -> result.Result[deployment.Deployment, invalid.Invalid]:
    for name in document.capacity.by_service:
        if name not in document.search.by_service:
            return result.Err(
                invalid.Invalid(
                    message=f'capacity, at services.{name}: no such service',
                    remedy='name a service of the search section, or add it',
                ),
            )
    return result.Ok(document)
