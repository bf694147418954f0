"""Identifiers of the gathers that a gateway requests from others."""

import hashlib
import itertools
import secrets

_TOKEN_BYTES = 16
_DIGEST_BYTES = 8
_NUMBER_BYTES = 4
_process_token = secrets.token_bytes(_TOKEN_BYTES)
_numbers = itertools.count(1)


def new(gateway_id: str) -> bytes:
    """Return an identifier of 12 bytes that no other recent gather has.

    ``gateway_id`` is the node identifier of the requesting gateway; a
    restarted gateway has another token.
    """
    digest = hashlib.blake2b(
        gateway_id.encode(), key=_process_token, digest_size=_DIGEST_BYTES
    ).digest()
    number = next(_numbers) % (1 << 8 * _NUMBER_BYTES)
    return digest + number.to_bytes(_NUMBER_BYTES, 'big')
