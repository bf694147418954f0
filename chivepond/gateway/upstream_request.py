"""Sends a request to a service, with retries and hedging."""

import asyncio
import dataclasses

from chivepond.decisions import (
    hedge_gain,
    hedge_timing,
    search_admission,
    searcher_choice,
    switches,
)
from chivepond.gateway import (
    crash_watch,
    forwarded_request,
    hedge_budgets,
    late_responses,
    outcome,
    peer_channel,
    request_trace,
    routing_table,
    searcher_selection,
    searchers,
    send_counts,
    shutdown,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import headers
from chivepond.settings import mechanism

_MISDIRECTED = 421
_SERVER_ERROR = 500
#: The most attempts that may fail before a byte was sent: each one may take
#: a whole connect time-out.
_MAX_UNSENT_ATTEMPTS = 3
#: How often the budget is asked again for a request whose reply was aborted,
#: in seconds.
_BUDGET_POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The components that all upstream requests of a gateway share."""

    searchers: searchers.Searchers
    selection: searcher_selection.SearcherSelection
    budgets: hedge_budgets.HedgeBudgets
    late_responses: late_responses.LateResponses
    telemetry: telemetry.Telemetry
    admission: search_admission.SearchAdmission
    switches: switches.Switches
    crash_watch: crash_watch.CrashWatch
    shutdown: 'shutdown.Shutdown' = dataclasses.field(
        default_factory=shutdown.Shutdown
    )
    sends: send_counts.SendCounts = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Count the sends in the same telemetry."""
        self.sends = send_counts.SendCounts(self.telemetry)


@dataclasses.dataclass(slots=True, frozen=True)
class Times:
    """Deadlines of a request, in seconds on the loop's clock."""

    #: When the answer is due; later replies count as late.
    due: float
    #: When the client stops waiting.
    deadline: float
    #: Whether a late reply is still needed. A search is answered when it is
    #: due, without the shards that are late.
    needs_late_reply: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamFailure:
    """The failure of a request at all searchers that were tried."""

    reason: str
    #: Whether a searcher may have run the request.
    may_have_run: bool
    #: Whether it reached no searcher, not even one that rejected it.
    reached_no_searcher: bool
    #: The last reply with a server error.
    reply: outcome.Reply | None = None


Attempt = asyncio.Task[outcome.Outcome]


class UpstreamRequest:
    """A request to one service, over all its attempts."""

    __slots__ = (
        '_awaits_budget',
        '_delivered_attempts',
        '_first_kind',
        '_hedge_at',
        '_keeps_attempts_running',
        '_may_have_run',
        '_reason',
        '_reply',
        '_request',
        '_route',
        '_running',
        '_sends',
        '_times',
        '_context',
        '_trace',
        '_tried',
        '_unsent_attempts',
        'service',
    )

    def __init__(
        self,
        service: str,
        request: forwarded_request.ForwardedRequest,
        route: routing_table.Route,
        context: RequestContext,
        trace: request_trace.RequestTrace,
        *,
        is_moved: bool = False,
    ) -> None:
        """Prepare the request; ``run`` sends it.

        ``is_moved`` tells that another gateway reported it as not sent.
        """
        self._first_kind = (
            send_counts.SendKind.MOVED
            if is_moved
            else send_counts.SendKind.FIRST
        )
        self._trace = trace
        self.service = service
        self._request = request
        self._route = route
        self._context = context
        self._running: dict[Attempt, peer_channel.PeerChannel] = {}
        self._tried: set[str] = set()
        self._sends = 0
        self._unsent_attempts = 0
        self._delivered_attempts = 0
        #: Whether its reply was aborted, and the budget had no second attempt.
        self._awaits_budget = False
        self._reason = 'no searcher is registered'
        self._may_have_run = False
        self._reply: outcome.Reply | None = None
        self._keeps_attempts_running = False
        self._hedge_at: float | None = None
        self._times = Times(0, 0)

    async def run(
        self,
        times: Times,
        hedge_timer: hedge_timing.HedgeTiming,
    ) -> outcome.Reply | UpstreamFailure:
        """Return the first acceptable reply, or the reason for the failure.

        ``hedge_timer`` gives the delay before a second searcher is tried, and
        learns from the time that this request takes.
        """
        loop = asyncio.get_running_loop()
        self._times = times
        self._context.budgets.count_request(self.service)
        started = loop.time()
        if self._may_hedge():
            left_s = times.due - started
            if left_s <= 0:
                left_s = self._route.target_latency_s
            self._hedge_at = started + hedge_timer.delay_s(
                left_s,
                self._context.switches,
            )
        self._send(self._first_kind)
        try:
            reply = await self._first_accepted()
        except asyncio.CancelledError:
            self._abandon_running()
            raise
        self._abandon_running(may_probe=True)
        if reply is None:
            if not self._delivered_attempts:
                # Another gateway may send it, and counts it then.
                self._context.budgets.uncount_request(self.service)
            return UpstreamFailure(
                self._reason,
                self._may_have_run,
                not self._delivered_attempts,
                self._reply,
            )
        hedge_timer.learn(loop.time() - started)
        return reply

    @property
    def may_have_run(self) -> bool:
        """Whether a searcher has run the request, or may still run it."""
        return self._may_have_run or any(
            self._request.is_unresolved(channel.end.name)
            for channel in self._running.values()
        )

    def keep_attempts_running(self) -> None:
        """Let running attempts finish when this request is cancelled."""
        self._keeps_attempts_running = True

    async def _first_accepted(self) -> outcome.Reply | None:
        while await self._is_pending():
            done, _ = await asyncio.wait(
                self._running,
                timeout=self._hedge_timeout_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._hedge_at = None
                self._hedge()
            for attempt in done:
                channel = self._running.pop(attempt)
                reply = self._process_outcome(
                    channel.end.name, attempt.result()
                )
                if reply is not None:
                    return reply
                self._trace.note(
                    f'{self.service}: {channel.end.name}: {self._reason}',
                )
        return None

    async def _is_pending(self) -> bool:
        """Return whether an attempt runs; wait for the budget of another one.

        Guards against failing a request because its searcher sends replies
        without end or outside the protocol, while other searchers are idle.
        """
        loop = asyncio.get_running_loop()
        while not self._running and self._awaits_budget:
            if loop.time() + _BUDGET_POLL_S >= self._times.deadline:
                return False
            await asyncio.sleep(_BUDGET_POLL_S)
            self._send_additional()
        return bool(self._running)

    def _may_hedge(self) -> bool:
        is_on = self._context.switches.is_on(mechanism.Mechanism.SECOND_ASKS)
        return is_on and self._route.is_idempotent

    def _hedge_timeout_s(self) -> float | None:
        if self._hedge_at is None:
            return None
        return max(0, self._hedge_at - asyncio.get_running_loop().time())

    def _process_outcome(
        self,
        searcher_id: str,
        exchange_outcome: outcome.Outcome,
    ) -> outcome.Reply | None:
        match exchange_outcome:
            case outcome.NotSent(reason=reason):
                self._sends -= 1
                self._unsent_attempts += 1
                self._reason = reason
            case outcome.Broken(reason=reason):
                self._awaits_budget = (
                    exchange_outcome.is_aborted and self._route.is_idempotent
                )
                self._delivered_attempts += 1
                self._may_have_run = True
                self._reason = reason
            case outcome.Reply():
                self._delivered_attempts += 1
                if self._is_accepted(exchange_outcome):
                    return exchange_outcome
                if exchange_outcome.status == _MISDIRECTED:
                    self._context.searchers.drop_misdirected(searcher_id)
        self._send_after_failure(exchange_outcome)
        return None

    def _is_accepted(self, reply: outcome.Reply) -> bool:
        if reply.status == _MISDIRECTED or reply.headers.get(headers.NOT_RUN):
            self._reason = f'a searcher turned it away with {reply.status}'
            return False
        self._may_have_run = True
        if reply.status < _SERVER_ERROR or not self._route.is_idempotent:
            return True
        self._reply = reply
        self._reason = f'a searcher replied with status {reply.status}'
        return False

    def _send_after_failure(self, exchange_outcome: outcome.Outcome) -> None:
        match exchange_outcome:
            case outcome.NotSent():
                if self._unsent_attempts < _MAX_UNSENT_ATTEMPTS:
                    self._send(send_counts.SendKind.REPLACED)
            case _:
                if self._route.is_idempotent or not self._may_have_run:
                    self._send_additional()

    def _hedge(self) -> None:
        channel = self._choose()
        if channel is None:
            return
        now = asyncio.get_running_loop().time()
        is_worthwhile = hedge_gain.is_worth(
            channel.health.expected_s(now),
            self._times.due - now,
        )
        is_on = self._context.switches.is_on(mechanism.Mechanism.HEDGE_GAIN)
        if is_worthwhile or not is_on:
            self._send_additional()
            return
        self._context.telemetry.count('second_sends', 'too late')
        if self._times.needs_late_reply:
            # Once the reply is late any reply is useful.
            self._hedge_at = self._times.due

    def _send_additional(self) -> None:
        awaits_budget = self._awaits_budget
        self._awaits_budget = False
        if self._sends >= self._route.max_attempts:
            return
        if self._request.evidence.is_retry_unsafe:
            self._trace.note(
                f'{self.service}: not sent again, as searchers crashed'
            )
            return
        if not self._context.selection.has_other(self.service, self._tried):
            return
        if self._context.budgets.spend(self.service, self._times.deadline):
            self._context.telemetry.count('second_sends', 'sent')
            self._send(send_counts.SendKind.HEDGED)
        else:
            self._awaits_budget = awaits_budget
            if awaits_budget:
                return
            self._context.telemetry.count('second_sends', 'over budget')
            self._trace.note(
                f'{self.service}: not sent again, budget exhausted'
            )

    def _send(self, kind: send_counts.SendKind) -> None:
        channel = self._choose()
        if channel is None:
            return
        self._context.sends.add(self.service, kind)
        self._context.telemetry.trace(
            events.REQUEST_SENT,
            request=self._request.request_id.decode(errors='replace'),
            service=self.service,
            searcher=channel.end.name,
            kind=kind,
        )
        self._tried.add(channel.end.name)
        self._sends += 1
        self._trace.send(
            self.service,
            channel.end.name,
            is_second=len(self._tried) > 1,
        )
        attempt = asyncio.create_task(
            channel.send(self._request, self._times.deadline)
        )
        self._running[attempt] = channel

    def _choose(self) -> peer_channel.PeerChannel | None:
        return self._context.selection.choose(
            self.service,
            self._tried,
            searcher_choice.SearcherRequirements(
                self._route.target_latency_s,
                self._route.is_idempotent,
            ),
        )

    def _abandon_running(self, *, may_probe: bool = False) -> None:
        is_probing_on = self._context.switches.is_on(
            mechanism.Mechanism.STRAGGLERS
        )
        for attempt, channel in self._running.items():
            if is_probing_on and (may_probe or self._keeps_attempts_running):
                self._context.late_responses.keep_probe(
                    attempt, channel.end.name
                )
            else:
                attempt.cancel()
        self._running.clear()
