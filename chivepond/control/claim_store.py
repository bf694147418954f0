"""Claims of non-idempotent requests, kept by the platform."""

import dataclasses
from collections.abc import Awaitable

import result

from chivepond.errors import problem
from chivepond.platform import client as platform_client
from chivepond.platform import kinds
from chivepond.wire import claim, codec, stored_object

CLAIMED = 'claimed'
DISPATCHED = 'dispatched'
DONE = 'done'
CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True, frozen=True)
class HeldClaim:
    """A claim at the version at which it was seen."""

    version: int
    claim: claim.Claim


class ClaimStore:
    """Every step of a claim is one conditional write.

    Guards against two nodes running one key, or one node that wakes from a
    pause: both show as a second run. The platform lets one write win for
    each version, so only one node ever gets a claim past `claimed`.
    """

    __slots__ = ('_platform',)

    def __init__(self, platform: platform_client.PlatformClient) -> None:
        """Keep the claims on ``platform``."""
        self._platform = platform

    async def create(
        self,
        fresh: claim.Claim,
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Claim a key that nobody has claimed."""
        return await _held(
            self._platform.write(kinds.CLAIM, fresh.key, fresh, 0),
        )

    async def read(
        self,
        key: str,
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Return how a key stands."""
        return await _held(self._platform.read(kinds.CLAIM, key))

    async def advance(
        self,
        held: HeldClaim,
        state: str,
        outcome: str = '',
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Move a claim on, unless somebody else did since it was seen."""
        moved = dataclasses.replace(held.claim, state=state, result=outcome)
        return await _held(
            self._platform.write(
                kinds.CLAIM,
                moved.key,
                moved,
                held.version,
            ),
        )


async def _held(
    answer: Awaitable[
        result.Result[stored_object.StoredObject, problem.Problem]
    ],
) -> result.Result[HeldClaim, problem.Problem]:
    match await answer:
        case result.Ok(stored):
            return codec.decode(claim.Claim, stored.body).map(
                lambda told: HeldClaim(version=stored.version, claim=told),
            )
        case failed:
            return failed
