"""Checks drafts of the document and puts good ones in force."""

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
_ACCEPTED = 'accepted'
_REFUSED = 'refused'
_RETRY_S = 0.5
_YIELD_S = 2

_Stored = result.Result[stored_object.StoredObject, problem.Problem]


class Acceptor:
    """Brings each draft to accepted or refused; the accepted only rises.

    Relays judge at once. Other nodes wait a while first, so that 600 nodes
    don't all write, and judge only if the relays have not.
    """

    __slots__ = (
        '_cache',
        '_is_relay',
        '_news',
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
        """Judge the drafts that come into ``cache``."""
        self._sleep = sleep
        self._platform = platform
        self._cache = cache
        self._is_relay = is_relay
        self._random = rng
        self._news = asyncio.Event()
        cache.listen(self._on_notice)

    async def run(self) -> None:
        """Judge drafts until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            await self.settle()

    def pending(self) -> notice.Notice | None:
        """Return the newest draft while it is neither accepted nor refused."""
        draft = self._cache.by_key.get(kinds.DEPLOYMENT_DRAFT)
        if draft is None or self._is_judged(draft.version):
            return None
        return draft

    async def attempt(self, draft: notice.Notice) -> None:
        """Try once to accept or refuse a draft.

        Whether that worked shows in ``pending``: a write whose reply was
        lost counts for nothing until the object itself has been read.
        """
        found = await self._read(_ACCEPTED)
        if found.is_err():
            return
        there = found.unwrap()
        self._keep(there)
        if not _is_lower(there, draft.version):
            return
        match judge(draft, there):
            case accepted_document.AcceptedDocument() as accepted:
                _tell(accepted.refusals)
                await self._replace(there, accepted)
            case refused_document.RefusedDocument() as refused:
                _tell(refused.refusals)
                await self._refuse(refused)

    async def settle(self) -> None:
        """Try until the newest draft is judged, by whomever.

        Guards against an outage just when a draft arrives: it shows as an
        edit that never comes into force though the platform is back. A
        draft counts as judged by what was read, never by having been tried.
        """
        if not self._is_relay():
            await self._pause(_YIELD_S)
        draft = self.pending()
        while draft is not None:
            await self.attempt(draft)
            draft = self.pending()
            if draft is not None:
                await self._pause(_RETRY_S)

    async def _refuse(self, refused: refused_document.RefusedDocument) -> None:
        """Tell what is wrong, unless a later draft was refused already."""
        found = await self._read(_REFUSED)
        if found.is_err():
            return
        there = found.unwrap()
        self._keep(there)
        if _is_lower(there, refused.revision):
            await self._replace(there, refused)

    async def _replace(
        self,
        there: stored_object.StoredObject,
        message: object,
    ) -> None:
        written = await self._platform.write(
            _KIND,
            there.name,
            message,
            there.version,
        )
        written.map(self._keep)

    async def _read(self, name: str) -> _Stored:
        """Return an object; one of version and revision zero for none."""
        found = await self._platform.read(_KIND, name)
        match found:
            case result.Err(not_found.NotFound()):
                nothing = revision_mark.RevisionMark(0)
                return result.Ok(
                    stored_object.StoredObject(
                        kind=_KIND,
                        name=name,
                        version=0,
                        token='',
                        body=codec.to_raw(nothing),
                    ),
                )
        return found

    def _keep(self, stored: stored_object.StoredObject) -> None:
        if not stored.version:
            return
        self._cache.offer(
            notice.Notice(
                key=f'{_KIND}/{stored.name}',
                version=stored.version,
                body=stored.body,
            ),
        )

    def _is_judged(self, revision: int) -> bool:
        judged = (
            self._known_revision(kinds.DEPLOYMENT_ACCEPTED),
            self._known_revision(kinds.DEPLOYMENT_REFUSED),
        )
        return max(judged) >= revision

    def _known_revision(self, key: str) -> int:
        told = self._cache.by_key.get(key)
        if told is None:
            return 0
        mark = codec.decode(revision_mark.RevisionMark, told.body)
        return mark.map_or(0, _revision)

    async def _pause(self, seconds: float) -> None:
        await self._sleep(seconds * (1 + self._random.random()))

    def _on_notice(self, told: notice.Notice) -> None:
        if told.key == kinds.DEPLOYMENT_DRAFT:
            self._news.set()


def judge(
    draft: notice.Notice,
    there: stored_object.StoredObject,
) -> accepted_document.AcceptedDocument | refused_document.RefusedDocument:
    """Return what to write for a draft, ``there`` being in force.

    Where software can't read the document in force it knows no last good
    body either: it accepts a draft that is right as a whole, or nothing.
    """
    base = _base(there)
    read = codec.decode(draft_document.DraftDocument, draft.body)
    if read.is_err():
        return _refused([_unreadable(draft.version, read.unwrap_err())])
    judged = draft_check.judge(
        read.unwrap(),
        base.unwrap_or(deployment.Deployment()),
        draft.version,
    )
    is_same = judged.document == base.unwrap_or(judged.document)
    if judged.refusals and is_same:
        return _refused(judged.refusals)
    return judged


def _base(
    there: stored_object.StoredObject,
) -> result.Result[deployment.Deployment, invalid.Invalid]:
    if not there.version:
        return result.Ok(deployment.Deployment())
    read = codec.decode(accepted_document.AcceptedDocument, there.body)
    return read.map(_document)


def _document(
    accepted: accepted_document.AcceptedDocument,
) -> deployment.Deployment:
    return accepted.document


def _is_lower(there: stored_object.StoredObject, revision: int) -> bool:
    """Tell whether an object is of a lower revision, as far as is known.

    Guards against a revert: an acceptor that was paused, or whose software
    can't read the document in force, would put an older one over it. The
    revision is compared in the very version that the write is conditional
    on, so that no other can slip in between.
    """
    mark = codec.decode(revision_mark.RevisionMark, there.body)
    return mark.is_ok() and mark.unwrap().revision < revision


def _unreadable(
    revision: int,
    wrong: invalid.Invalid,
) -> section_refusal.SectionRefusal:
    return section_refusal.SectionRefusal(
        section='',
        edits=0,
        revision=revision,
        message=wrong.message,
        remedy=wrong.remedy,
    )


def _refused(
    refusals: list[section_refusal.SectionRefusal],
) -> refused_document.RefusedDocument:
    first = refusals[0]
    return refused_document.RefusedDocument(
        revision=first.revision,
        message=first.message,
        remedy=first.remedy,
        refusals=refusals,
    )


def _tell(refusals: list[section_refusal.SectionRefusal]) -> None:
    for one in refusals:
        journal.log(
            events.CONFIGURATION_REFUSED,
            revision=one.revision,
            section=one.section,
            why=one.message,
        )


def _revision(mark: revision_mark.RevisionMark) -> int:
    return mark.revision
