"""Edits of one section of the document, safe against races."""

import dataclasses

import result

from chivepond.control import draft_check
from chivepond.errors import (
    conflict,
    invalid,
    outcome_unknown,
    problem,
    quoting,
)
from chivepond.platform import client as platform_client
from chivepond.wire import (
    codec,
    draft_document,
    draft_section,
    edit_result,
    section_edit,
    section_view,
    stored_object,
)

_KIND = 'deployment'
_NAME = 'draft'
_TRIES = 8
_RETRY_MS = 500

_Edited = result.Result[edit_result.EditResult, problem.Problem]


class Editor:
    """Puts an edit into the draft by conditional update.

    Guards against two operators who edit at once: it shows as an edit that
    is silently lost. An edit that raced with another section's is put on
    top of it; one that raced with the same section's is refused, and the
    error shows both.
    """

    __slots__ = ('_platform',)

    def __init__(self, platform: platform_client.PlatformClient) -> None:
        """Edit the draft on ``platform``."""
        self._platform = platform

    async def view(
        self,
        section: str,
    ) -> result.Result[section_view.SectionView, problem.Problem]:
        """Return a section of the draft."""
        if section not in draft_check.KIND_BY_SECTION:
            return result.Err(_unknown_section(section))
        stored = await self._read()
        return stored.and_then(lambda found: _view(section, found))

    async def apply(self, edit: section_edit.SectionEdit) -> _Edited:
        """Write an edit, on top of other sections' edits if need be."""
        if edit.section not in draft_check.KIND_BY_SECTION:
            return result.Err(_unknown_section(edit.section))
        for _ in range(_TRIES):
            outcome = await self._try(edit)
            if not _lost_race(outcome):
                return outcome
        return result.Err(
            conflict.Conflict(
                message=f'{_TRIES} other edits came first',
                remedy='apply it again',
                retry_after_ms=_RETRY_MS,
            ),
        )

    async def _try(self, edit: section_edit.SectionEdit) -> _Edited:
        stored = await self._read()
        if stored.is_err():
            return stored
        found = stored.unwrap()
        read = codec.decode(draft_document.DraftDocument, found.body)
        if read.is_err():
            return read
        seen = getattr(read.unwrap(), edit.section)
        if seen.edits != edit.base_edits:
            return result.Err(_same_section(edit, seen))
        fresh = draft_section.DraftSection(
            edits=seen.edits + 1,
            body=edit.body,
        )
        draft = dataclasses.replace(read.unwrap(), **{edit.section: fresh})
        written = await self._platform.write(
            _KIND,
            _NAME,
            draft,
            found.version,
        )
        return written.map(
            lambda ok: edit_result.EditResult(
                revision=ok.version,
                edits=fresh.edits,
            ),
        )

    async def _read(
        self,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Return the draft, an empty one at version zero if none is there."""
        stored = await self._platform.read(_KIND, _NAME)
        match stored:
            case result.Err(problem.Problem(kind='not_found')):
                return result.Ok(
                    stored_object.StoredObject(
                        kind=_KIND,
                        name=_NAME,
                        version=0,
                        token='',
                        body=codec.to_raw(draft_document.DraftDocument()),
                    ),
                )
        return stored


def _lost_race(outcome: _Edited) -> bool:
    """Tell whether a write met another's, so that trying again helps.

    An edit of the same section is no race to win: its remedy says so.
    """
    match outcome:
        case result.Err(conflict.Conflict(remedy=remedy)):
            return remedy != _BOTH_SIDES_REMEDY
        case result.Err(outcome_unknown.OutcomeUnknown()):
            return False
    return False


_BOTH_SIDES_REMEDY = 'get the section, put both edits together, apply again'


def _same_section(
    edit: section_edit.SectionEdit,
    seen: draft_section.DraftSection,
) -> conflict.Conflict:
    return conflict.Conflict(
        message=(
            f'{edit.section} was edited meanwhile: it now has '
            f'{bytes(seen.body).decode()}, yours has '
            f'{bytes(edit.body).decode()}'
        ),
        remedy=_BOTH_SIDES_REMEDY,
    )


def _unknown_section(section: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'there is no section {quoting.quoted(section)}',
        remedy='name search, capacity or audit',
    )


def _view(
    section: str,
    found: stored_object.StoredObject,
) -> result.Result[section_view.SectionView, problem.Problem]:
    read = codec.decode(draft_document.DraftDocument, found.body)
    return read.map(
        lambda draft: section_view.SectionView(
            section=section,
            edits=getattr(draft, section).edits,
            revision=found.version,
            body=getattr(draft, section).body,
        ),
    )
