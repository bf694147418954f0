"""Sends batches to one searcher and matches replies to attempts."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import result

from chivepond.decisions import concurrency_limit, replica_trust, work_rate
from chivepond.owner import attempt, failed_reply, stall_meter
from chivepond.settings import capacity_service
from chivepond.transport import address, client
from chivepond.wire import (
    attempt_ref,
    cancel_batch,
    codec,
    query_batch,
    shard_outcome,
    sub_reply,
)

#: Connections beyond the slots: one for cancellations, one for health checks.
#: A node thus opens at most slots + 2 connections to a searcher, 4 of the 25
#: that it accepts: six nodes that each act as its owner stay under that cap,
#: and former owners close their idle connections within seconds.
SPARE_CONNECTIONS = 2
_MS_PER_S = 1000
_REPLY_GRACE_S = 0.05
_CANCEL_TIMEOUT_S = 0.5
_LATENCY_WEIGHT = 0.1
_INITIAL_LATENCY_S = 0.005
#: The largest share of a batch's duration that this process may have stalled
#: for the duration to be learned.
_MAX_STALLED_SHARE = 0.5

OnReply = Callable[[attempt.Attempt, sub_reply.SubReply, float], None]

#: Request id, attempt number and shard. A plain tuple, because one is built
#: and hashed for each reply, and a data class costs three times as much.
_AttemptKey = tuple[str, int, str]


class BatchSender:
    """Sends batches and cancellations to one searcher.

    Replies update the concurrency limit, work rate, latency and trust of the
    searcher. ``latency_s`` is the smoothed time from sending a batch to a
    successful reply, ``replied_at`` the time of the last reply.
    """

    __slots__ = (
        '_cancelled_attempts',
        '_on_reply',
        '_stalls',
        '_tasks',
        'client',
        'in_flight',
        'latency_s',
        'limit',
        'rate',
        'replied_at',
        'trust',
    )

    def __init__(
        self,
        target: address.Address,
        capacity: capacity_service.CapacityService,
        on_reply: OnReply,
        stalls: stall_meter.StallMeter,
        now: float,
    ) -> None:
        """Send to ``target``, within the limits of ``capacity``.

        Each attempt results in exactly one call of ``on_reply``. ``stalls``
        tells which batches were delayed by this process. ``now`` is in
        seconds of the loop's clock.
        """
        self._stalls = stalls
        self.client = _client(target, capacity)
        self.in_flight = 0
        self.latency_s = _INITIAL_LATENCY_S
        self.limit = concurrency_limit.ConcurrencyLimit(capacity.slots)
        self.rate = work_rate.WorkRate()
        self.replied_at = now
        self.trust = replica_trust.ReplicaTrust()
        self._cancelled_attempts: list[attempt.Attempt] = []
        self._on_reply = on_reply
        self._tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close the connections; callers first wait for batches in flight."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self.client.__aexit__(None, None, None)

    def reconnect(
        self,
        target: address.Address,
        capacity: capacity_service.CapacityService,
    ) -> None:
        """Open new connections to ``target`` for all further requests.

        Old connections close at once when idle, and busy ones after their
        request.
        """
        old_client = self.client
        self.client = _client(target, capacity)
        self._start_task(old_client.distrust_idle())

    async def send(self, batch: list[attempt.Attempt]) -> None:
        """Send a batch, and return once ``on_reply`` ran for each attempt.

        Attempts without a reply shortly after the latest deadline of the
        batch fail as unreachable.
        """
        now = _now()
        by_key = {
            _attempt_key(shard_attempt.sub_query): shard_attempt
            for shard_attempt in batch
        }
        for shard_attempt in batch:
            shard_attempt.is_in_flight = True
        self.in_flight += len(batch)
        stalled_s_before = self._stalls.total_s
        outcomes: set[str] = set()
        async for lines in self._stream_replies(batch, now):
            outcomes |= self._process_replies(lines, by_key, now)
        self._stalls.update(_now())
        stalled_s = self._stalls.total_s - stalled_s_before
        self._record_batch(outcomes, len(batch), _now() - now, stalled_s)
        self._fail_unanswered(list(by_key.values()))

    def cancel(self, shard_attempt: attempt.Attempt) -> None:
        """Ask the searcher to cancel an attempt that is in flight.

        Cancellations of one loop iteration share a request.
        """
        if not shard_attempt.is_in_flight:
            return
        if not self._cancelled_attempts:
            asyncio.get_running_loop().call_soon(self._send_cancellations)
        self._cancelled_attempts.append(shard_attempt)

    async def _stream_replies(
        self,
        batch: list[attempt.Attempt],
        now: float,
    ) -> AsyncIterator[list[bytes]]:
        last_deadline = max(shard_attempt.deadline for shard_attempt in batch)
        groups = self.client.line_groups(
            '/v1/query',
            _encode_batch(batch, now),
            max(0, last_deadline - now) + _REPLY_GRACE_S,
        )
        async for group in groups:
            match group:
                case result.Ok(lines):
                    yield lines

    def _process_replies(
        self,
        lines: list[bytes],
        by_key: dict[_AttemptKey, attempt.Attempt],
        sent_at: float,
    ) -> set[str]:
        """Match replies to attempts of this batch; return their outcomes.

        Late, duplicate and foreign lines would add hits of another request
        to an answer. A reply therefore counts only for an attempt of this
        batch that has no reply yet and requested the same index version.
        """
        now = _now()
        self.replied_at = now
        outcomes: set[str] = set()
        for reply in _decode_replies(lines):
            shard_attempt = by_key.pop(_attempt_key(reply), None)
            if shard_attempt is None:
                continue
            self._mark_finished(shard_attempt)
            outcomes.add(reply.outcome)
            if reply.outcome == shard_outcome.OK:
                deviation_s = now - sent_at - self.latency_s
                self.latency_s += _LATENCY_WEIGHT * deviation_s
            self._on_reply(
                shard_attempt, _check_version(shard_attempt, reply), now
            )
        return outcomes

    def _fail_unanswered(self, unanswered: list[attempt.Attempt]) -> None:
        if not unanswered:
            return
        now = _now()
        self.trust.failed(now)
        for shard_attempt in unanswered:
            self._mark_finished(shard_attempt)
            reply = failed_reply.build(shard_attempt, shard_outcome.UNREACHABLE)
            self._on_reply(shard_attempt, reply, now)

    def _mark_finished(self, shard_attempt: attempt.Attempt) -> None:
        shard_attempt.is_in_flight = False
        self.in_flight -= 1

    def _record_batch(
        self,
        outcomes: set[str],
        batch_size: int,
        elapsed_s: float,
        stalled_s: float,
    ) -> None:
        """Update limit, rate and trust once per batch, not once per reply.

        If this process stalled for most of the time, the duration says
        nothing about the searcher.
        """
        now = _now()
        if shard_outcome.SHED in outcomes:
            self.trust.failed(now)
            self.limit.refused()
        elif shard_outcome.OK in outcomes:
            self.trust.succeeded(now)
            if stalled_s < elapsed_s * _MAX_STALLED_SHARE:
                self.rate.observe(batch_size, elapsed_s)
                self.limit.succeeded(batch_size, elapsed_s)

    def _send_cancellations(self) -> None:
        references = [
            _reference(shard_attempt)
            for shard_attempt in self._cancelled_attempts
            if shard_attempt.is_in_flight
        ]
        self._cancelled_attempts = []
        if references:
            body = codec.encode(cancel_batch.CancelBatch(references))
            self._start_task(
                self.client.post('/v1/cancel', body, _CANCEL_TIMEOUT_S),
            )

    def _start_task(self, coroutine: Coroutine[Any, Any, object]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _client(
    target: address.Address,
    capacity: capacity_service.CapacityService,
) -> client.Client:
    return client.Client(
        target,
        min(capacity.connections, capacity.slots + SPARE_CONNECTIONS),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode_replies(lines: list[bytes]) -> list[sub_reply.SubReply]:
    """Decode reply lines, and skip lines that are malformed."""
    decoded_replies = [codec.decode(sub_reply.SubReply, line) for line in lines]
    return [decoded.unwrap() for decoded in decoded_replies if decoded.is_ok()]


def _attempt_key(message: Any) -> _AttemptKey:
    return (message.request_id, message.attempt, message.shard)


def _reference(shard_attempt: attempt.Attempt) -> attempt_ref.AttemptRef:
    return attempt_ref.AttemptRef(
        request_id=shard_attempt.sub_query.request_id,
        attempt=shard_attempt.sub_query.attempt,
        shard=shard_attempt.sub_query.shard,
    )


def _encode_batch(batch: list[attempt.Attempt], now: float) -> bytes:
    for shard_attempt in batch:
        left_s = max(0, shard_attempt.deadline - now)
        shard_attempt.call.record_wait(
            shard_attempt.sub_query.shard, now - shard_attempt.created_at
        )
        shard_attempt.sub_query.remaining_ms = int(left_s * _MS_PER_S)
    entries = [shard_attempt.sub_query for shard_attempt in batch]
    return codec.encode(query_batch.QueryBatch(entries))


def _check_version(
    shard_attempt: attempt.Attempt,
    reply: sub_reply.SubReply,
) -> sub_reply.SubReply:
    if reply.index_version == shard_attempt.sub_query.index_version:
        return reply
    return failed_reply.build(shard_attempt, shard_outcome.WITHDRAWN)
