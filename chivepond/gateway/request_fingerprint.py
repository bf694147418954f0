"""Fingerprints that are equal for requests that differ only by their ID."""

import hashlib

_DIGEST_BYTES = 16
#: Header fields on which the meaning of a request may depend.
_DISTINGUISHING_FIELDS = frozenset((b'host', b'authorization', b'cookie'))


def of(head: bytes, body: bytes) -> str:
    """Return the fingerprint of a request, as hexadecimal digits.

    ``head`` is the request line and the header fields as they are forwarded.
    The digest covers method, path, query, host, credentials and body.
    """
    first_line, *fields = head.split(b'\r\n')
    digest = hashlib.blake2b(first_line, digest_size=_DIGEST_BYTES)
    for field in fields:
        name, _, field_value = field.partition(b':')
        if name.lower() in _DISTINGUISHING_FIELDS:
            digest.update(b'\n%s:%s' % (name.lower(), field_value.strip()))
    digest.update(b'\n\n')
    digest.update(body)
    return digest.hexdigest()
