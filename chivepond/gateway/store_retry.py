"""Lets one reader retry the store for all readers while it is down."""

import asyncio
import random

from chivepond.decisions import sync_source


class StoreRetry:
    """Coordinates retries among the readers of one gateway.

    Without it the number of retries grows with the number of kinds: three
    readers called a store that refused the gateway 16 to 18 times in four
    seconds, a single retrying reader 5 times. Each call is charged, even a
    refused one.
    """

    __slots__ = ('_recovered', '_retry_s', '_retrying_kind')

    def __init__(self) -> None:
        """Start in the state where the store replies."""
        self._retrying_kind = ''
        self._recovered = asyncio.Event()
        self._retry_s = sync_source.FIRST_RETRY_S

    def end(self) -> None:
        """Record that the store replied, and resume all waiting readers."""
        self._retrying_kind = ''
        self._retry_s = sync_source.FIRST_RETRY_S
        self._recovered.set()

    async def wait_to_retry(
        self,
        kind: str,
        *,
        is_age_bounded: bool,
        has_content: bool,
        is_fresh: bool,
    ) -> None:
        """Wait until the reader of ``kind`` is to call the store again.

        The first reader that fails retries with backoff. The others wait until
        the store replies, or until a longer timeout.
        """
        if not self._retrying_kind:
            self._recovered.clear()
        self._retrying_kind = self._retrying_kind or kind
        if self._retrying_kind == kind:
            jitter = random.uniform(*sync_source.JITTER)
            await asyncio.sleep(jitter * self._retry_s)
            self._retry_s = sync_source.retry_s(
                self._retry_s,
                is_known=has_content,
                is_fresh=is_fresh,
            )
            return
        other_reader_wait_s = sync_source.other_reader_wait_s(
            is_age_bounded=is_age_bounded,
            is_known=has_content,
        )
        try:
            async with asyncio.timeout(other_reader_wait_s):
                await self._recovered.wait()
        except TimeoutError:
            # Perhaps only the retrying reader's kind fails, and not the store.
            return
