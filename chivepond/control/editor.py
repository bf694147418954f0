"""Edits single sections of the draft with optimistic concurrency."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable

import result

from chivepond.control import draft_check
from chivepond.errors import (
    conflict,
    invalid,
    not_found,
    outcome_unknown,
    problem,
    quoting,
    unreachable,
)
from chivepond.object_store import client as platform_client
from chivepond.wire import (
    codec,
    draft_document,
    draft_section,
    edit_result,
    section_edit,
    section_view,
    stored_object,
)

_DRAFT_KIND = 'deployment'
_DRAFT_NAME = 'draft'
_MAX_ATTEMPTS = 8
_RETRY_AFTER_MS = 500
_RETRY_DELAY_S = 0.25
_TOKEN_BYTES = 9

_EditOutcome = result.Result[edit_result.EditResult, problem.Problem]
_Sections = dict[str, draft_section.DraftSection]


class Editor:
    """Writes an edit into the draft with a conditional update.

    Guards against an edit that is silently lost when two operators edit at
    once. An edit that conflicts with one of another section is retried on
    top of it; one that conflicts with an edit of the same section is
    refused with an error that shows both bodies.
    """

    __slots__ = ('_pause', '_platform')

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Edit the draft on ``platform``; ``pause`` sleeps, in seconds."""
        self._platform = platform
        self._pause = pause

    async def view(
        self,
        section: str,
    ) -> result.Result[section_view.SectionView, problem.Problem]:
        """Return a section of the draft, ``Invalid`` for an unknown one."""
        if section not in draft_check.KIND_BY_SECTION:
            return result.Err(_unknown_section(section))
        stored = await self._read()
        return stored.and_then(
            lambda draft_object: _view(section, draft_object)
        )

    async def apply(self, edit: section_edit.SectionEdit) -> _EditOutcome:
        """Write an edit; retry it on top of edits of other sections.

        Returns a ``Conflict`` if the section itself was edited or other
        edits won each attempt, and an ``OutcomeUnknown`` if the edit may
        have been written.
        """
        if edit.section not in draft_check.KIND_BY_SECTION:
            return result.Err(_unknown_section(edit.section))
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        may_be_written = False
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._attempt(
                edit, token, may_be_written=may_be_written
            )
            if not _is_retryable(outcome, may_be_written=may_be_written):
                return outcome
            if not _is_conflict(outcome):
                may_be_written = True
                await self._pause(_RETRY_DELAY_S)
        return result.Err(
            _unknown_outcome(edit) if may_be_written else _too_many_conflicts()
        )

    async def _attempt(
        self,
        edit: section_edit.SectionEdit,
        token: str,
        *,
        may_be_written: bool,
    ) -> _EditOutcome:
        """Write the edit once unless the draft already contains it.

        Guards against a reply that is lost after the write took effect: a
        blind repeat would take its own edit for another operator's. The
        token in the section identifies the edit. Writing again is safe: both
        writes are conditional on the version read, so at most one takes
        effect.
        """
        stored = await self._read()
        if stored.is_err():
            return stored
        draft_object = stored.unwrap()
        parsed = codec.decode(_Sections, draft_object.body)
        if parsed.is_err():
            return parsed
        sections = parsed.unwrap()
        current = sections.get(edit.section, draft_section.DraftSection())
        if current.token == token:
            return result.Ok(
                edit_result.EditResult(draft_object.version, current.edits),
            )
        if current.edits != edit.base_edits:
            return result.Err(
                _unknown_outcome(edit)
                if may_be_written
                else _section_conflict(edit, current),
            )
        return await self._write(edit, token, sections, draft_object.version)

    async def _write(
        self,
        edit: section_edit.SectionEdit,
        token: str,
        sections: _Sections,
        expect: int,
    ) -> _EditOutcome:
        """Write the draft with one section replaced.

        Sections that this software does not know are preserved: dropping
        them would lose other teams' edits during a rolling upgrade.
        """
        new_section = draft_section.DraftSection(
            edits=edit.base_edits + 1,
            body=edit.body,
            token=token,
            based_on=expect,
        )
        draft = sections | {edit.section: new_section}
        written = await self._platform.write(
            _DRAFT_KIND, _DRAFT_NAME, draft, expect
        )
        if _may_have_been_written(written):
            return result.Err(_unknown_outcome(edit))
        return written.map(
            lambda written_object: edit_result.EditResult(
                written_object.version, new_section.edits
            ),
        )

    async def _read(
        self,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Return the draft, or an empty one at version 0 if none exists."""
        stored = await self._platform.read(_DRAFT_KIND, _DRAFT_NAME)
        match stored:
            case result.Err(not_found.NotFound()):
                return result.Ok(
                    stored_object.StoredObject(
                        kind=_DRAFT_KIND,
                        name=_DRAFT_NAME,
                        version=0,
                        token='',
                        body=codec.to_raw(draft_document.DraftDocument()),
                    ),
                )
        return stored


def _is_retryable(outcome: _EditOutcome, *, may_be_written: bool) -> bool:
    """Tell whether another attempt can succeed or show the outcome.

    A conflict with an edit of the same section is final; its remedy
    identifies it. Once a write may have taken effect, a failed read is
    retried too.
    """
    match outcome:
        case result.Err(conflict.Conflict(remedy=remedy)):
            return remedy != _MERGE_REMEDY
        case result.Err(outcome_unknown.OutcomeUnknown()):
            return True
        case result.Err():
            return may_be_written
    return False


def _is_conflict(outcome: _EditOutcome) -> bool:
    return isinstance(outcome.err(), conflict.Conflict)


def _may_have_been_written(
    written: result.Result[stored_object.StoredObject, problem.Problem],
) -> bool:
    """Tell whether a failed write may still have taken effect."""
    match written:
        case result.Err(
            outcome_unknown.OutcomeUnknown() | unreachable.Unreachable()
        ):
            return True
    return False


_MERGE_REMEDY = 'get the section, merge both edits and apply the result'


_UNKNOWN_OUTCOME_REMEDY = (
    'get the section and check whether it contains your edit'
)


def _unknown_outcome(
    edit: section_edit.SectionEdit,
) -> outcome_unknown.OutcomeUnknown:
    return outcome_unknown.OutcomeUnknown(
        message=(
            f'the outcome of the edit of section {edit.section} is unknown: '
            'it may have been written'
        ),
        remedy=_UNKNOWN_OUTCOME_REMEDY,
    )


def _too_many_conflicts() -> conflict.Conflict:
    return conflict.Conflict(
        message=f'{_MAX_ATTEMPTS} attempts conflicted with other edits',
        remedy='apply the edit again',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _section_conflict(
    edit: section_edit.SectionEdit,
    current: draft_section.DraftSection,
) -> conflict.Conflict:
    return conflict.Conflict(
        message=(
            f'{edit.section} was edited since it was read: it is now '
            f'{bytes(current.body).decode()}, your edit is '
            f'{bytes(edit.body).decode()}'
        ),
        remedy=_MERGE_REMEDY,
    )


def _unknown_section(section: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'unknown section {quoting.quoted(section)}',
        remedy='use one of the sections search, capacity and audit',
    )


def _view(
    section: str,
    draft_object: stored_object.StoredObject,
) -> result.Result[section_view.SectionView, problem.Problem]:
    parsed = codec.decode(draft_document.DraftDocument, draft_object.body)
    return parsed.map(
        lambda draft: section_view.SectionView(
            section=section,
            edits=getattr(draft, section).edits,
            revision=draft_object.version,
            body=getattr(draft, section).body,
        ),
    )
