"""An HTTP client that counts its calls by outcome."""

from collections import Counter

import result

from chivepond.errors import unreachable
from chivepond.transport import address, client, reply

_OK = 200
_CONFLICT = 409
_FAULT = 500


class CountedClient(client.Client):
    """Counts calls by outcome and tracks whether the platform is available.

    Outcomes are ``ok`` (200), ``conflict`` (409), ``failed`` (500 and above),
    ``refused`` (any other status) and ``unreachable`` (no reply). ``is_away``
    is set while the last call ended as ``failed`` or ``unreachable``.
    """

    __slots__ = ('calls_by_result', 'is_away')

    def __init__(self, target: address.Address, connections: int) -> None:
        """Open at most ``connections`` connections to ``target``."""
        super().__init__(target, connections)
        self.calls_by_result: Counter[str] = Counter()
        self.is_away = False

    async def post(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        """Send a POST request and count its outcome."""
        call_result = await super().post(path, body, timeout_s, headers)
        self._count(call_result)
        return call_result

    async def get(
        self,
        path: str,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> result.Result[reply.Reply, unreachable.Unreachable]:
        """Send a GET request and count its outcome."""
        call_result = await super().get(path, timeout_s, headers)
        self._count(call_result)
        return call_result

    def _count(
        self,
        call_result: result.Result[reply.Reply, unreachable.Unreachable],
    ) -> None:
        outcome = 'unreachable'
        match call_result:
            case result.Ok(response):
                outcome = _outcome_of(response.status)
        self.calls_by_result[outcome] += 1
        self.is_away = outcome in {'unreachable', 'failed'}


def _outcome_of(status: int) -> str:
    if status == _OK:
        return 'ok'
    if status == _CONFLICT:
        return 'conflict'
    return 'failed' if status >= _FAULT else 'refused'
