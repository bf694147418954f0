"""A request to an owner that has not been answered yet."""

import asyncio
import dataclasses

import result

from chivepond.entry import place
from chivepond.errors import problem
from chivepond.wire import owner_answer

OwnerTask = asyncio.Task[
    result.Result[owner_answer.OwnerAnswer, problem.Problem]
]


@dataclasses.dataclass(slots=True, eq=False)
class OwnerRequest:
    """A request for some shards to one owner; times in seconds, loop clock.

    At ``hedge_at`` a second request goes to another owner; it is infinite
    once that request was sent.
    """

    where: place.OwnerNode
    shards: list[str]
    sent_at: float
    hedge_at: float
    task: OwnerTask
