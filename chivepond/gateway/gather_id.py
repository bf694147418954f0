"""Identifiers of the gathers that a gateway requests from others."""

import itertools
import secrets

_TOKEN_BYTES = 8
_process_token = secrets.token_hex(_TOKEN_BYTES)
_numbers = itertools.count(1)


def new(gateway_id: str) -> bytes:
    """Return an identifier that no other gather of any gateway has.

    ``gateway_id`` is the node identifier of the requesting gateway; a
    restarted gateway has another token.
    """
    return f'{gateway_id}.{_process_token}.{next(_numbers)}'.encode()
