"""Validates drafts of the document and writes the accepted document."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import result

from chivepond.control import (
    accepted_document,
    draft_check,
    object_cache,
    refused_document,
    revision_mark,
)
from chivepond.errors import invalid, not_found, problem
from chivepond.observe import events, journal
from chivepond.object_store import client as platform_client
from chivepond.object_store import kinds
from chivepond.settings import deployment
from chivepond.wire import (
    codec,
    draft_document,
    notice,
    section_refusal,
    stored_object,
)

_KIND = 'deployment'
_ACCEPTED_NAME = 'accepted'
_REFUSED_NAME = 'refused'
_RETRY_DELAY_S = 0.5
_NON_RELAY_DELAY_S = 2

_ReadResult = result.Result[stored_object.StoredObject, problem.Problem]


class Acceptor:
    """Accepts or refuses each draft; the accepted revision never decreases.

    Relays decide on a draft at once. Other nodes wait first and decide only
    if no relay has, so that 600 nodes don't all write to the platform.
    """

    __slots__ = (
        '_cache',
        '_is_relay',
        '_draft_arrived',
        '_platform',
        '_random',
        '_sleep',
    )

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        cache: object_cache.ObjectCache,
        is_relay: Callable[[], bool],
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Decide on the drafts that arrive in ``cache``.

        ``is_relay`` tells whether this node currently is a relay; ``sleep``
        takes seconds.
        """
        self._sleep = sleep
        self._platform = platform
        self._cache = cache
        self._is_relay = is_relay
        self._random = rng
        self._draft_arrived = asyncio.Event()
        cache.listen(self._on_notice)

    async def run(self) -> None:
        """Decide on drafts until cancelled."""
        while True:
            await self._draft_arrived.wait()
            self._draft_arrived.clear()
            await self.decide_pending_draft()

    def pending_draft(self) -> notice.Notice | None:
        """Return the newest draft in the cache unless it is already decided."""
        draft = self._cache.by_key.get(kinds.DEPLOYMENT_DRAFT)
        if draft is None or self._is_decided(draft.version):
            return None
        return draft

    async def try_to_decide(self, draft: notice.Notice) -> None:
        """Try once to accept or refuse a draft.

        ``pending_draft`` shows whether that succeeded. A write whose reply
        was lost counts only once the stored object has been read.
        """
        read_result = await self._read_or_empty(_ACCEPTED_NAME)
        if read_result.is_err():
            return
        current = read_result.unwrap()
        self._update_cache(current)
        if not _has_lower_revision(current, draft.version):
            return
        match check_draft(draft, current):
            case accepted_document.AcceptedDocument() as accepted:
                _log_refusals(accepted.refusals)
                await self._replace(current, accepted)
            case refused_document.RefusedDocument() as refused:
                _log_refusals(refused.refusals)
                await self._write_refusal(refused)

    async def decide_pending_draft(self) -> None:
        """Retry until this or another node has decided on the newest draft.

        Guards against a platform outage at the moment a draft arrives, after
        which the edit would never come into force. A draft counts as decided
        only when the accepted or refused object that was read says so, not
        because a write was attempted.
        """
        if not self._is_relay():
            await self._pause(_NON_RELAY_DELAY_S)
        draft = self.pending_draft()
        while draft is not None:
            await self.try_to_decide(draft)
            draft = self.pending_draft()
            if draft is not None:
                await self._pause(_RETRY_DELAY_S)

    async def _write_refusal(
        self, refused: refused_document.RefusedDocument
    ) -> None:
        """Write the refusal unless a later draft was already refused."""
        read_result = await self._read_or_empty(_REFUSED_NAME)
        if read_result.is_err():
            return
        current = read_result.unwrap()
        self._update_cache(current)
        if _has_lower_revision(current, refused.revision):
            await self._replace(current, refused)

    async def _replace(
        self,
        current: stored_object.StoredObject,
        message: object,
    ) -> None:
        written = await self._platform.write(
            _KIND,
            current.name,
            message,
            current.version,
        )
        written.map(self._update_cache)

    async def _read_or_empty(self, name: str) -> _ReadResult:
        """Return the stored object, or one of version and revision 0."""
        read_result = await self._platform.read(_KIND, name)
        match read_result:
            case result.Err(not_found.NotFound()):
                empty_mark = revision_mark.RevisionMark(0)
                return result.Ok(
                    stored_object.StoredObject(
                        kind=_KIND,
                        name=name,
                        version=0,
                        token='',
                        body=codec.to_raw(empty_mark),
                    ),
                )
        return read_result

    def _update_cache(self, stored: stored_object.StoredObject) -> None:
        if not stored.version:
            return
        self._cache.offer(
            notice.Notice(
                key=f'{_KIND}/{stored.name}',
                version=stored.version,
                body=stored.body,
            ),
        )

    def _is_decided(self, revision: int) -> bool:
        decided_revisions = (
            self._cached_revision(kinds.DEPLOYMENT_ACCEPTED),
            self._cached_revision(kinds.DEPLOYMENT_REFUSED),
        )
        return max(decided_revisions) >= revision

    def _cached_revision(self, key: str) -> int:
        update = self._cache.by_key.get(key)
        if update is None:
            return 0
        mark = codec.decode(revision_mark.RevisionMark, update.body)
        return mark.map_or(0, _revision)

    async def _pause(self, seconds: float) -> None:
        await self._sleep(seconds * (1 + self._random.random()))

    def _on_notice(self, update: notice.Notice) -> None:
        if update.key == kinds.DEPLOYMENT_DRAFT:
            self._draft_arrived.set()


def check_draft(
    draft: notice.Notice,
    current: stored_object.StoredObject,
) -> accepted_document.AcceptedDocument | refused_document.RefusedDocument:
    """Return the document to write for a draft; ``current`` is in force.

    If this software can't decode the document in force, no last valid
    section bodies are known either: it then accepts only a draft that is
    valid as a whole.
    """
    base = _accepted_deployment(current)
    parsed = codec.decode(draft_document.DraftDocument, draft.body)
    if parsed.is_err():
        return _refused_document(
            [_unreadable_draft(draft.version, parsed.unwrap_err())]
        )
    checked = draft_check.judge(
        parsed.unwrap(),
        base.unwrap_or(deployment.Deployment()),
        draft.version,
    )
    is_unchanged = checked.document == base.unwrap_or(checked.document)
    if checked.refusals and is_unchanged:
        return _refused_document(checked.refusals)
    return checked


def _accepted_deployment(
    current: stored_object.StoredObject,
) -> result.Result[deployment.Deployment, invalid.Invalid]:
    if not current.version:
        return result.Ok(deployment.Deployment())
    parsed = codec.decode(accepted_document.AcceptedDocument, current.body)
    return parsed.map(_document)


def _document(
    accepted: accepted_document.AcceptedDocument,
) -> deployment.Deployment:
    return accepted.document


def _has_lower_revision(
    current: stored_object.StoredObject, revision: int
) -> bool:
    """Tell whether a stored object has a lower revision; False if unknown.

    Guards against a revert: an acceptor that was paused, or whose software
    can't decode the document in force, would overwrite it with an older one.
    The revision is read from the same object version that the write is
    conditional on, so no other write can come between.
    """
    mark = codec.decode(revision_mark.RevisionMark, current.body)
    return mark.is_ok() and mark.unwrap().revision < revision


def _unreadable_draft(
    revision: int,
    error: invalid.Invalid,
) -> section_refusal.SectionRefusal:
    return section_refusal.SectionRefusal(
        section='',
        edits=0,
        revision=revision,
        message=error.message,
        remedy=error.remedy,
    )


def _refused_document(
    refusals: list[section_refusal.SectionRefusal],
) -> refused_document.RefusedDocument:
    first = refusals[0]
    return refused_document.RefusedDocument(
        revision=first.revision,
        message=first.message,
        remedy=first.remedy,
        refusals=refusals,
    )


def _log_refusals(refusals: list[section_refusal.SectionRefusal]) -> None:
    for refusal in refusals:
        journal.log(
            events.CONFIGURATION_REFUSED,
            revision=refusal.revision,
            section=refusal.section,
            why=refusal.message,
        )


def _revision(mark: revision_mark.RevisionMark) -> int:
    return mark.revision
