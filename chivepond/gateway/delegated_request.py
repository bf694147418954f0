"""Forwards a request through another gateway that has connections."""

import asyncio

from chivepond.gateway import (
    forwarded_request,
    header_list,
    outcome,
    peer_message,
    peers,
    request_trace,
    routing_table,
    upstream_request,
    upstream_shares,
)
from chivepond.transport import reply_head
from chivepond.wire import forward_request, peer_codec

_OK = 200
#: Gateways that are tried until one accepts the request.
_MAX_GATEWAYS = 3


class DelegatedRequest:
    """Sends a request to one service through another gateway.

    Used where the connection cap of the service leaves this gateway none.
    """

    __slots__ = ('_peers', '_request', '_route', '_service', '_shares')

    def __init__(
        self,
        service: str,
        request: forwarded_request.ForwardedRequest,
        route: routing_table.Route,
        shares: upstream_shares.UpstreamShares,
        gateways: peers.Peers,
    ) -> None:
        """Prepare the request; ``run`` sends it."""
        self._service = service
        self._request = request
        self._route = route
        self._shares = shares
        self._peers = gateways

    async def run(
        self,
        deadline: float,
        trace: request_trace.RequestTrace,
    ) -> outcome.Reply | upstream_request.UpstreamFailure:
        """Return the response, or the reason for the failure.

        The next gateway is tried only if the last one did not accept the
        request: otherwise the request may already have reached the maximum
        number of searchers.
        """
        holders = self._shares.holders(self._service)
        tried_gateways: set[str] = set()
        exchange_outcome: outcome.Outcome = outcome.NotSent(
            'no gateway with connections to the service is available'
        )
        while len(tried_gateways) < _MAX_GATEWAYS:
            channel = self._peers.choose_holder(holders, tried_gateways)
            if channel is None:
                break
            tried_gateways.add(channel.end.name)
            trace.note(
                f'{self._service}: forwarded through gateway {channel.end.name}'
            )
            exchange_outcome = await channel.send(
                self._message(deadline), deadline
            )
            if _may_have_forwarded(exchange_outcome):
                break
        return _response(exchange_outcome)

    def _message(self, deadline: float) -> peer_message.PeerMessage:
        message = forward_request.ForwardRequest(
            request_id=self._request.request_id,
            head=self._request.head,
            body=self._request.body,
            is_head=self._request.is_head,
            route=self._route.name,
            service=self._service,
            is_idempotent=self._route.is_idempotent,
            max_attempts=self._route.max_attempts,
            left_s=deadline - asyncio.get_running_loop().time(),
            target_latency_s=self._route.target_latency_s,
        )
        return peer_message.ForwardMessage(message, self._request)


def _may_have_forwarded(exchange_outcome: outcome.Outcome) -> bool:
    """Return whether the other gateway may have forwarded the request."""
    match exchange_outcome:
        case outcome.Reply(status=status):
            return status == _OK
        case outcome.Broken():
            return True
        case _:
            return False


def _response(
    exchange_outcome: outcome.Outcome,
) -> outcome.Reply | upstream_request.UpstreamFailure:
    match exchange_outcome:
        case outcome.Reply(status=status, body=body) if status == _OK:
            return _decode_reply(body)
        case outcome.Reply(status=status):
            reason = f'the forwarding gateway replied with status {status}'
            return _failure(reason, may_have_run=False)
        case outcome.Broken(reason=reason):
            return _failure(reason, may_have_run=True)
        case outcome.NotSent(reason=reason):
            return _failure(reason, may_have_run=False)


def _decode_reply(
    body: bytes,
) -> outcome.Reply | upstream_request.UpstreamFailure:
    decoded = peer_codec.decode(body, forward_request.ForwardReply)
    if decoded.is_err():
        reason = decoded.unwrap_err().message
        return _failure(
            f'cannot decode the reply of the forwarding gateway: {reason}',
            may_have_run=True,
        )
    reply = decoded.unwrap()
    match reply.response:
        case forward_request.ForwardedResponse() as response:
            fault = reply_head.find_fault_of_final(
                response.status, response.headers, response.body
            )
            if fault:
                return _failure(fault, may_have_run=True)
            fields = header_list.HeaderList()
            for pair in response.headers:
                fields.add(*pair)
            return outcome.Reply(response.status, fields, response.body)
        case _:
            return _failure(reply.reason, may_have_run=reply.may_have_run)


def _failure(
    reason: str, *, may_have_run: bool
) -> upstream_request.UpstreamFailure:
    return upstream_request.UpstreamFailure(
        reason,
        may_have_run=may_have_run,
        reached_no_searcher=not may_have_run,
    )
