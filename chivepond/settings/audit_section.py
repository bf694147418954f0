"""The section of the deployment document that auditors edit."""

import typing

import msgspec


class AuditSection(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
):
    """How long non-idempotent requests are remembered.

    A request key older than ``claim_retention_s`` is refused, since its claim
    may have been deleted and no longer prevents a second run.
    """

    claim_retention_s: typing.Annotated[
        int,
        msgspec.Meta(ge=60, le=31536000, description='seconds'),
    ] = 86400
    query_digests: bool = True
