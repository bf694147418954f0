"""Validates a draft section by section."""

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
_SectionByName = dict[str, msgspec.Struct]
_ErrorBySection = dict[str, invalid.Invalid]


def judge(
    draft: draft_document.DraftDocument,
    base: deployment.Deployment,
    revision: int,
) -> accepted_document.AcceptedDocument:
    """Return ``base`` with the valid sections of a draft, and the refusals.

    Guards against one team that blocks all others: valid edits would never
    come into force while another team's section is invalid. An invalid
    section keeps its body of ``base``. If sections are valid alone but not
    together, the largest consistent set is accepted; among sets of one size
    the earlier edits win.
    """
    section_by_name, error_by_section = _parse_sections(draft)
    changed = [
        name
        for name, section in section_by_name.items()
        if section != _section_of(base, name)
    ]
    changed.sort(key=lambda name: getattr(draft, name).based_on)
    document = _largest_consistent(base, changed, section_by_name)
    for name in changed:
        if _section_of(document, name) != section_by_name[name]:
            error_by_section[name] = _conflict_error(
                document, name, section_by_name
            )
    return accepted_document.AcceptedDocument(
        revision=revision,
        document=document,
        refusals=[
            section_refusal.SectionRefusal(
                section=name,
                edits=getattr(draft, name).edits,
                revision=revision,
                message=error.message,
                remedy=error.remedy,
            )
            for name, error in error_by_section.items()
        ],
    )


def _parse_sections(
    draft: draft_document.DraftDocument,
) -> tuple[_SectionByName, _ErrorBySection]:
    """Return the sections that are valid alone, and the errors of others."""
    section_by_name: _SectionByName = {}
    error_by_section: _ErrorBySection = {}
    for name, kind in KIND_BY_SECTION.items():
        body = bytes(getattr(draft, name).body)
        match loader.parse(kind, body, name):
            case result.Ok(section):
                section_by_name[name] = section
            case result.Err(error):
                error_by_section[name] = error
    return section_by_name, error_by_section


def _section_of(document: deployment.Deployment, name: str) -> msgspec.Struct:
    section: msgspec.Struct = getattr(document, name)
    return section


def _largest_consistent(
    base: deployment.Deployment,
    changed: list[str],
    section_by_name: _SectionByName,
) -> deployment.Deployment:
    """Return ``base`` with the largest consistent set of changed sections.

    There are few sections, so all combinations are tried: larger ones first,
    and among those of one size the ones with earlier edits first.
    """
    for count in range(len(changed), 0, -1):
        for names in itertools.combinations(changed, count):
            new_sections = {name: section_by_name[name] for name in names}
            candidate = msgspec.structs.replace(base, **new_sections)
            if not _services_without_search(candidate):
                return candidate
    return base


def _services_without_search(document: deployment.Deployment) -> list[str]:
    """Return services that have a capacity but no search settings."""
    return [
        name
        for name in document.capacity.by_service
        if name not in document.search.by_service
    ]


def _conflict_error(
    document: deployment.Deployment,
    section: str,
    section_by_name: _SectionByName,
) -> invalid.Invalid:
    """Return the error of a section that is valid alone but not accepted."""
    candidate = msgspec.structs.replace(
        document, **{section: section_by_name[section]}
    )
    services = _services_without_search(candidate)
    if section == 'search':
        return invalid.Invalid(
            message=(
                f'search: the capacity section still has services.{services[0]}'
            ),
            remedy='remove the service from the capacity section first',
        )
    return invalid.Invalid(
        message=(
            f'{section}, at services.{services[0]}: the search section has no '
            'such service'
        ),
        remedy='name a service of the search section, or add it there',
    )
