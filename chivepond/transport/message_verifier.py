"""Verifies messages between nodes on the side of the receiver."""

import hmac
import re
import time
from collections.abc import Callable, Mapping

from chivepond.errors import unauthorised
from chivepond.settings import node_settings
from chivepond.transport import message_signer, replay_window

#: Maximum clock difference between two hosts plus transit time, in seconds.
ACCEPTANCE_WINDOW_S = 30

_MS_PER_S = 1000
_NUMBER = re.compile('[0-9]{1,15}')
_MAX_WINDOWS_BEFORE_SWEEP = 1024


class MessageVerifier:
    """Accepts each message from a node of this deployment once.

    Prevents spoofed senders and replayed messages, either of which would
    cause work that no node requested. The signature covers receiver, method,
    path, sender, time, epoch, counter and body. A message older than the
    acceptance window is refused; within the window the counter reveals a
    replay.
    """

    __slots__ = ('_clock', '_receiver', '_secret', '_window_by_sender')

    def __init__(
        self,
        secret: str,
        receiver: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Verify messages to ``receiver``; ``clock`` returns Unix seconds."""
        self._secret = secret.encode()
        self._receiver = receiver
        self._clock = clock
        self._window_by_sender: dict[
            tuple[str, str],
            replay_window.ReplayWindow,
        ] = {}

    def check_headers(
        self,
        headers: Mapping[str, str],
    ) -> unauthorised.Unauthorised | None:
        """Check format and age before the body is read; return any error."""
        if not headers.get(message_signer.SIGNATURE):
            return _refusal('the message has no signature')
        numbers = (
            headers.get(message_signer.TIME, ''),
            headers.get(message_signer.COUNTER, ''),
        )
        if not all(_NUMBER.fullmatch(digits) for digits in numbers):
            return _refusal(
                'the time or counter header of the message is not a number'
            )
        age_s = self._clock() - int(numbers[0]) / _MS_PER_S
        if abs(age_s) > ACCEPTANCE_WINDOW_S:
            return _refusal(
                'the time of the message is outside the acceptance window'
            )
        return None

    def check(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> unauthorised.Unauthorised | None:
        """Check signature and counter; return an error if refused."""
        refusal = self.check_headers(headers)
        if refusal is not None:
            return refusal
        if '\n' in path:
            return _refusal('the path contains a line feed')
        sender, sent_ms, epoch, counter = _identity(headers)
        expected = message_signer.sign(
            self._secret,
            (self._receiver, method, path, sender, sent_ms, epoch, counter),
            body,
        )
        signature = headers[message_signer.SIGNATURE].encode()
        if not hmac.compare_digest(expected.encode(), signature):
            return _refusal('the signature does not match the message')
        window = self._window_of(sender, epoch)
        if not window.accept(int(counter), self._clock()):
            return _refusal(
                'the message was already received, or its counter is too old'
            )
        return None

    def _window_of(
        self,
        sender: str,
        epoch: str,
    ) -> replay_window.ReplayWindow:
        """Return the replay window of one sender process.

        Called for messages with a valid signature only, so a sender without
        the secret cannot create windows. A window is dropped when all its
        messages are too old to be accepted.
        """
        if len(self._window_by_sender) > _MAX_WINDOWS_BEFORE_SWEEP:
            expired_before = self._clock() - 2 * ACCEPTANCE_WINDOW_S
            self._window_by_sender = {
                key: window
                for key, window in self._window_by_sender.items()
                if window.received_at >= expired_before
            }
        return self._window_by_sender.setdefault(
            (sender, epoch),
            replay_window.ReplayWindow(),
        )


def _identity(headers: Mapping[str, str]) -> tuple[str, str, str, str]:
    return (
        headers.get(message_signer.SENDER, ''),
        headers.get(message_signer.TIME, ''),
        headers.get(message_signer.EPOCH, ''),
        headers.get(message_signer.COUNTER, ''),
    )


def _refusal(reason: str) -> unauthorised.Unauthorised:
    return unauthorised.Unauthorised(
        message=reason,
        remedy='set the same `secret` on all nodes and synchronise clocks',
    )


def of_settings(settings: node_settings.NodeSettings) -> MessageVerifier | None:
    """Return the verifier of a node, or None if signing is off."""
    if settings.unsigned:
        return None
    return MessageVerifier(settings.secret, settings.node_id)
