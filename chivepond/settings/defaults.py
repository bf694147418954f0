"""Generates the table of all settings from their types."""

import dataclasses
import types
import typing
from collections.abc import Mapping

import msgspec

from chivepond.settings import (
    answer_policy,
    audit_section,
    capacity_service,
    gateway_settings,
    node_settings,
    search_service,
    service_objectives,
)

#: Settings type by the section that holds it, in the order of the table.
TYPE_BY_SECTION: Mapping[str, type[msgspec.Struct]] = types.MappingProxyType(
    {
        'node': node_settings.NodeSettings,
        'gateway': gateway_settings.GatewaySettings,
        'search.services.NAME': search_service.SearchService,
        'search.services.NAME.answer': answer_policy.AnswerPolicy,
        'search.services.NAME.objectives': service_objectives.Objectives,
        'capacity.services.NAME': capacity_service.CapacityService,
        'audit': audit_section.AuditSection,
    }
)


_HEAD = """# Settings

Written by `chivepond config defaults`; a test keeps the two in step.

The settings of a node are one YAML file, read by `chivepondd --settings`,
those of a gateway one read by `chivepond-gateway --settings`.
The sections `search`, `capacity` and `audit` are YAML files as well, put in
force by `chivepond config apply`; NAME stands for the name of a service. An
unknown name, a wrong kind or unit, or a value out of range is refused with
its place. Files may have a million bytes at most.

`secret` must be set, the same on all nodes, unless `unsigned` is on; that is
logged as event 1005. Where both are set, messages go unsigned.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """One row of the table."""

    name: str
    default: str
    unit: str


def settings_of(settings_type: type[msgspec.Struct]) -> list[Setting]:
    """Return one row for each field of ``settings_type``."""
    hints = typing.get_type_hints(settings_type, include_extras=True)
    return [
        Setting(
            name=field.encode_name,
            default=_default(field),
            unit=_unit(hints[field.name]),
        )
        for field in msgspec.structs.fields(settings_type)
    ]


def table() -> str:
    """Return the complete Markdown text of docs/SETTINGS.md."""
    lines = [_HEAD]
    for section, settings_type in TYPE_BY_SECTION.items():
        lines.extend([f'## {section}', '', _summary(settings_type), ''])
        lines.extend(['| setting | default | unit |', '| --- | --- | --- |'])
        lines.extend(
            f'| {setting.name} | {setting.default} | {setting.unit} |'
            for setting in settings_of(settings_type)
        )
        lines.append('')
    return '\n'.join(lines).rstrip()


def _summary(settings_type: type[msgspec.Struct]) -> str:
    return (settings_type.__doc__ or '').partition('\n')[0]


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return 'required'
    if field.default is msgspec.NODEFAULT:
        default = field.default_factory()
    else:
        default = field.default
    if isinstance(default, msgspec.Struct):
        return 'see below'
    return msgspec.json.encode(default).decode()


def _unit(hint: typing.Any) -> str:
    metas = getattr(hint, '__metadata__', ())
    descriptions = [_describe(meta) for meta in metas]
    if descriptions:
        return '; '.join(descriptions)
    choices = typing.get_args(hint)
    if typing.get_origin(hint) is typing.Literal:
        return ' or '.join(choices)
    return ''


def _describe(meta: msgspec.Meta) -> str:
    bounds = [
        f'{sign} {bound}'
        for sign, bound in (
            ('>', meta.gt),
            ('>=', meta.ge),
            ('<', meta.lt),
            ('<=', meta.le),
        )
        if bound is not None
    ]
    return ', '.join([meta.description or '', *bounds])
