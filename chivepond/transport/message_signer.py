"""Signs messages between nodes on the side of the sender."""

import hmac
import secrets
import time
from collections import Counter
from collections.abc import Callable

from chivepond.settings import node_settings

SENDER = 'x-chivepond-node'
TIME = 'x-chivepond-time'
EPOCH = 'x-chivepond-epoch'
COUNTER = 'x-chivepond-counter'
SIGNATURE = 'x-chivepond-signature'

_EPOCH_BYTES = 9
_MS_PER_S = 1000


def sign(secret: bytes, parts: tuple[str, ...], body: bytes) -> str:
    """Return the signature of a message: HMAC-SHA256, in hexadecimal.

    ``parts`` are receiver, method, path, sender, time, epoch and counter.
    They are joined by line feeds, so no part may hold one.
    """
    signed = b'\n'.join((*(part.encode() for part in parts), body))
    return hmac.digest(secret, signed, 'sha256').hex()


class MessageSigner:
    """Signs the messages that one node sends.

    The signature covers the receiver, so no other node accepts the message.
    A counter for each receiver rises with each message. Counters start at
    zero in each process, which therefore picks a random epoch.
    """

    __slots__ = ('_clock', '_count_by_receiver', '_epoch', '_secret', 'sender')

    def __init__(
        self,
        secret: str,
        sender: str,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Sign with ``secret``; ``clock`` returns Unix time in seconds."""
        self._secret = secret.encode()
        self.sender = sender
        self._clock = clock
        self._epoch = secrets.token_urlsafe(_EPOCH_BYTES)
        self._count_by_receiver: Counter[str] = Counter()

    def headers(
        self,
        receiver: str,
        method: str,
        path: str,
        body: bytes,
    ) -> dict[str, str]:
        """Return the headers of a message, its signature included."""
        self._count_by_receiver[receiver] += 1
        sent_ms = str(int(self._clock() * _MS_PER_S))
        count = str(self._count_by_receiver[receiver])
        parts = (receiver, method, path, self.sender, sent_ms)
        return {
            SENDER: self.sender,
            TIME: sent_ms,
            EPOCH: self._epoch,
            COUNTER: count,
            SIGNATURE: sign(
                self._secret,
                (*parts, self._epoch, count),
                body,
            ),
        }


def of_settings(settings: node_settings.NodeSettings) -> MessageSigner | None:
    """Return the signer of a node, or None if signing is off."""
    if settings.unsigned:
        return None
    return MessageSigner(settings.secret, settings.node_id)
