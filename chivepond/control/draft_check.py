"""Judges a draft, section by section."""

import itertools
import types
from collections.abc import Mapping

import msgspec
import result

from chivepond.control import accepted_document
from chivepond.errors import invalid
from chivepond.settings import (
    audit_section,
    capacity_section,
    deployment,
    loader,
    search_section,
)
from chivepond.wire import draft_document, section_refusal

KIND_BY_SECTION: Mapping[str, type[msgspec.Struct]] = types.MappingProxyType(
    {
        'search': search_section.SearchSection,
        'capacity': capacity_section.CapacitySection,
        'audit': audit_section.AuditSection,
    }
)
_Read = dict[str, msgspec.Struct]
_Troubles = dict[str, invalid.Invalid]


def judge(
    draft: draft_document.DraftDocument,
    base: deployment.Deployment,
    revision: int,
) -> accepted_document.AcceptedDocument:
    """Return ``base`` with the right sections of a draft, and the refusals.

    Guards against one team that holds back all others: it shows as good
    edits that never come into force while somebody else's section is wrong.
    A wrong section keeps the body that it has in ``base``. Where sections
    are right alone but not together, the most of them go in, and of those
    that clash the one edited first.
    """
    read, troubles = _read(draft)
    changed = [
        name for name, section in read.items() if section != _of(base, name)
    ]
    changed.sort(key=lambda name: getattr(draft, name).based_on)
    document = _fitting(base, changed, read)
    for name in changed:
        if _of(document, name) != read[name]:
            troubles[name] = _clash(document, name, read)
    return accepted_document.AcceptedDocument(
        revision=revision,
        document=document,
        refusals=[
            section_refusal.SectionRefusal(
                section=name,
                edits=getattr(draft, name).edits,
                revision=revision,
                message=wrong.message,
                remedy=wrong.remedy,
            )
            for name, wrong in troubles.items()
        ],
    )


def _read(draft: draft_document.DraftDocument) -> tuple[_Read, _Troubles]:
    """Return the sections that are right by themselves, and the others."""
    read: _Read = {}
    troubles: _Troubles = {}
    for name, kind in KIND_BY_SECTION.items():
        body = bytes(getattr(draft, name).body)
        match loader.parse(kind, body, name):
            case result.Ok(section):
                read[name] = section
            case result.Err(wrong):
                troubles[name] = wrong
    return read, troubles


def _of(document: deployment.Deployment, name: str) -> msgspec.Struct:
    section: msgspec.Struct = getattr(document, name)
    return section


def _fitting(
    base: deployment.Deployment,
    changed: list[str],
    read: _Read,
) -> deployment.Deployment:
    """Return ``base`` with the most changed sections that fit together.

    Sections are few, so that all choices are tried, larger ones first and
    among equals those with the earlier edits.
    """
    for count in range(len(changed), 0, -1):
        for names in itertools.combinations(changed, count):
            fresh = {name: read[name] for name in names}
            tried = msgspec.structs.replace(base, **fresh)
            if not _without_search(tried):
                return tried
    return base


def _without_search(document: deployment.Deployment) -> list[str]:
    """Return the services with a capacity that search does not name."""
    return [
        name
        for name in document.capacity.by_service
        if name not in document.search.by_service
    ]


def _clash(
    document: deployment.Deployment,
    section: str,
    read: _Read,
) -> invalid.Invalid:
    """Return why a section that is right by itself was left out."""
    tried = msgspec.structs.replace(document, **{section: read[section]})
    services = _without_search(tried)
    if section == 'search':
        return invalid.Invalid(
            message=f'search: capacity still has services.{services[0]}',
            remedy='keep the service until capacity has dropped it',
        )
    return invalid.Invalid(
        message=f'{section}, at services.{services[0]}: no such service',
        remedy='name a service of the search section, or add it',
    )
