"""The side of a node that other nodes talk to, as an HTTP application."""

import result
from starlette import applications

from chivepond.control import heartbeats
from chivepond.owner import command_runner, owner
from chivepond.transport import endpoints
from chivepond.wire import (
    heartbeat,
    object_request,
    owner_command,
    owner_query,
)


class PeerApplication:
    """Routes the messages of other nodes."""

    __slots__ = ('_beats', '_owner', '_runner')

    def __init__(
        self,
        owned: owner.Owner,
        runner: command_runner.CommandRunner,
        beats: heartbeats.Heartbeats,
    ) -> None:
        """Serve queries, commands, heartbeats and copies."""
        self._owner = owned
        self._runner = runner
        self._beats = beats

    def build(self) -> applications.Starlette:
        """Return the application."""
        return endpoints.application(
            [
                endpoints.post(
                    '/internal/query',
                    owner_query.OwnerQuery,
                    self._query,
                ),
                endpoints.post(
                    '/internal/command',
                    owner_command.OwnerCommand,
                    self._runner.run,
                ),
                endpoints.post(
                    '/internal/heartbeat',
                    heartbeat.Heartbeat,
                    self._heartbeat,
                ),
                endpoints.post(
                    '/internal/objects',
                    object_request.ObjectRequest,
                    self._copies,
                ),
            ],
        )

    async def _query(
        self,
        query: owner_query.OwnerQuery,
    ) -> endpoints.Outcome:
        return result.Ok(await self._owner.answer(query))

    async def _heartbeat(
        self,
        beat: heartbeat.Heartbeat,
    ) -> endpoints.Outcome:
        return result.Ok(self._beats.answer(beat))

    async def _copies(
        self,
        wanted: object_request.ObjectRequest,
    ) -> endpoints.Outcome:
        return result.Ok(self._beats.copies(wanted))
