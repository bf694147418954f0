"""Stores claims of non-idempotent requests on the platform."""

import asyncio
import dataclasses
from collections.abc import Awaitable

import result

from chivepond.errors import problem
from chivepond.object_store import client as platform_client
from chivepond.object_store import kinds
from chivepond.wire import claim, claim_floor, codec, stored_object

CLAIMED = 'claimed'
DISPATCHED = 'dispatched'
DONE = 'done'
CANCELLED = 'cancelled'

_FLOOR_NAME = 'all'
_RETRY_DELAY_S = 0.1
_NO_FLOOR = claim_floor.ClaimFloor(issued_ms=0)


@dataclasses.dataclass(slots=True, frozen=True)
class HeldClaim:
    """A claim and the object version at which it was read."""

    version: int
    claim: claim.Claim


class ClaimStore:
    """Creates and updates claims, one conditional write per state change.

    Guards against a request that runs twice, because two nodes run the same
    key or a node resumes after a pause. The platform accepts one write per
    object version, so only one node can move a claim past `claimed`.
    """

    __slots__ = ('_platform',)

    def __init__(self, platform: platform_client.PlatformClient) -> None:
        """Store the claims on ``platform``."""
        self._platform = platform

    def is_away(self) -> bool:
        """Tell whether the last call found the platform unavailable.

        While the platform is unavailable, each call of this method starts a
        probe in the background.
        """
        if self._platform.is_away:
            self._platform.probe()
        return self._platform.is_away

    async def create(
        self,
        new_claim: claim.Claim,
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Create a claim; fails with a conflict if the key is claimed."""
        return await _held_claim(
            self._platform.write(kinds.CLAIM, new_claim.key, new_claim, 0),
        )

    async def read(
        self,
        key: str,
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Return the claim of a key, or a ``NotFound``."""
        return await _held_claim(self._platform.read(kinds.CLAIM, key))

    async def advance(
        self,
        held: HeldClaim,
        state: str,
        outcome: str = '',
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Write the next state of a claim unless it changed since the read."""
        updated = dataclasses.replace(held.claim, state=state, result=outcome)
        return await _held_claim(
            self._platform.write(
                kinds.CLAIM,
                updated.key,
                updated,
                held.version,
            ),
        )

    async def settle(
        self,
        held: HeldClaim,
        state: str,
        outcome: str,
        until: float,
    ) -> result.Result[HeldClaim, problem.Problem]:
        """Write the next state of a claim, with retries until it is stored.

        Guards against an outcome that is lost with one failed write: every
        repeat of the request would then get "unknown". A delayed earlier
        attempt may take effect and make the next one a conflict, so the
        claim is read back; any version other than that of ``held`` is final
        for this caller. Gives up at ``until``, in seconds of the event loop
        clock, and returns the last error.
        """
        while True:
            updated = await self.advance(held, state, outcome)
            if updated.is_ok():
                return updated
            match await self.read(held.claim.key):
                case result.Ok(current) if current.version != held.version:
                    return result.Ok(current)
                case result.Err(problem.Problem(kind='not_found')):
                    return updated
            if asyncio.get_running_loop().time() > until:
                return updated
            await asyncio.sleep(_RETRY_DELAY_S)

    async def oldest(
        self,
        limit: int,
    ) -> result.Result[list[HeldClaim], problem.Problem]:
        """Return at most ``limit`` claims, in order of their time of issue.

        Claims that can't be decoded are left out.
        """
        listed = await self._platform.list_kind(kinds.CLAIM, limit)
        return listed.map(
            lambda listing: [
                _decode_claim(stored).unwrap()
                for stored in listing.entries
                if _decode_claim(stored).is_ok()
            ],
        )

    async def delete(self, held: HeldClaim) -> None:
        """Delete a claim unless it changed since it was read."""
        await self._platform.delete(
            kinds.CLAIM,
            held.claim.key,
            held.version,
        )

    async def floor(self) -> result.Result[int, problem.Problem]:
        """Return the time of issue up to which claims may have been deleted.

        In milliseconds since the epoch; 0 if no claim was ever deleted.
        """
        match await self._read_floor():
            case result.Ok(floor):
                return result.Ok(floor[1].issued_ms)
            case error:
                return error

    async def raise_floor(
        self,
        issued_ms: int,
    ) -> result.Result[int, problem.Problem]:
        """Raise the floor to at least ``issued_ms``; return the new floor."""
        current_floor = await self._read_floor()
        if current_floor.is_err():
            return current_floor
        version, floor = current_floor.unwrap()
        if floor.issued_ms >= issued_ms:
            return result.Ok(floor.issued_ms)
        written = await self._platform.write(
            kinds.CLAIM_FLOOR,
            _FLOOR_NAME,
            claim_floor.ClaimFloor(issued_ms=issued_ms),
            version,
        )
        return written.map(lambda _: issued_ms)

    async def _read_floor(
        self,
    ) -> result.Result[tuple[int, claim_floor.ClaimFloor], problem.Problem]:
        match await self._platform.read(kinds.CLAIM_FLOOR, _FLOOR_NAME):
            case result.Ok(stored):
                return codec.decode(claim_floor.ClaimFloor, stored.body).map(
                    lambda decoded: (stored.version, decoded),
                )
            case result.Err(problem.Problem(kind='not_found')):
                return result.Ok((0, _NO_FLOOR))
            case error:
                return error


def _decode_claim(
    stored: stored_object.StoredObject,
) -> result.Result[HeldClaim, problem.Problem]:
    return codec.decode(claim.Claim, stored.body).map(
        lambda decoded: HeldClaim(version=stored.version, claim=decoded),
    )


async def _held_claim(
    pending_reply: Awaitable[
        result.Result[stored_object.StoredObject, problem.Problem]
    ],
) -> result.Result[HeldClaim, problem.Problem]:
    match await pending_reply:
        case result.Ok(stored):
            return _decode_claim(stored)
        case error:
            return error
