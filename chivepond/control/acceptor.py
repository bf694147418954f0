"""Checks drafts of the document and puts good ones in force."""

import asyncio

import result

from chivepond.control import (
    accepted_document,
    configuration,
    draft_check,
    object_cache,
    refused_document,
)
from chivepond.errors import invalid, problem
from chivepond.observe import events, journal
from chivepond.platform import client as platform_client
from chivepond.platform import kinds
from chivepond.settings import deployment
from chivepond.wire import codec, draft_document, notice

_KIND = 'deployment'


class Acceptor:
    """Accepts or refuses each draft once; the accepted one only rises."""

    __slots__ = ('_cache', '_configuration', '_judged', '_news', '_platform')

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        cache: object_cache.ObjectCache,
        configured: configuration.Configuration,
    ) -> None:
        """Judge the drafts that come into ``cache``."""
        self._platform = platform
        self._cache = cache
        self._configuration = configured
        self._judged = 0
        self._news = asyncio.Event()
        cache.listen(self._on_notice)

    async def run(self) -> None:
        """Judge drafts until cancelled."""
        while True:
            await self._news.wait()
            self._news.clear()
            draft = self._cache.by_key.get(kinds.DEPLOYMENT_DRAFT)
            if draft is not None and draft.version > self._judged:
                await self._judge(draft)

    async def _judge(self, draft: notice.Notice) -> None:
        accepted = self._cache.by_key.get(kinds.DEPLOYMENT_ACCEPTED)
        expect = 0 if accepted is None else accepted.version
        if draft.version <= self._configuration.revision:
            return
        match check(draft):
            case result.Ok(document):
                written = await self._write(
                    'accepted',
                    accepted_document.AcceptedDocument(
                        revision=draft.version,
                        document=document,
                    ),
                    expect,
                )
                self._keep(written)
            case result.Err(wrong):
                journal.log(
                    events.CONFIGURATION_REFUSED,
                    revision=draft.version,
                    why=wrong.message,
                )
                await self._refuse(draft.version, wrong)
        self._judged = draft.version

    async def _refuse(self, revision: int, wrong: invalid.Invalid) -> None:
        known = self._cache.by_key.get(kinds.DEPLOYMENT_REFUSED)
        await self._write(
            'refused',
            refused_document.RefusedDocument(
                revision=revision,
                message=wrong.message,
                remedy=wrong.remedy,
            ),
            0 if known is None else known.version,
        )

    async def _write(
        self,
        name: str,
        message: object,
        expect: int,
    ) -> result.Result[notice.Notice, problem.Problem]:
        answer = await self._platform.write(_KIND, name, message, expect)
        return answer.map(
            lambda stored: notice.Notice(
                key=f'{_KIND}/{name}',
                version=stored.version,
                body=stored.body,
            ),
        )

    def _keep(
        self,
        written: result.Result[notice.Notice, problem.Problem],
    ) -> None:
        match written:
            case result.Ok(told):
                self._cache.offer(told)

    def _on_notice(self, told: notice.Notice) -> None:
        if told.key.startswith(f'{_KIND}/'):
            self._news.set()


def check(
    draft: notice.Notice,
) -> result.Result[deployment.Deployment, invalid.Invalid]:
    """Return the document in a draft, or what is wrong and where."""
    return codec.decode(
        draft_document.DraftDocument,
        draft.body,
    ).and_then(draft_check.check)
