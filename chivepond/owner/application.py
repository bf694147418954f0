"""HTTP application that serves the requests of other nodes."""

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
    """Routes requests of other nodes to the parts that answer them."""

    __slots__ = ('_heartbeats', '_owner', '_runner')

    def __init__(
        self,
        owner_role: owner.Owner,
        runner: command_runner.CommandRunner,
        heartbeat_service: heartbeats.Heartbeats,
    ) -> None:
        """Serve queries, commands, heartbeats and cached objects."""
        self._owner = owner_role
        self._runner = runner
        self._heartbeats = heartbeat_service

    def build(self) -> applications.Starlette:
        """Return the Starlette application with all routes."""
        return endpoints.application(
            [
                endpoints.post(
                    '/internal/query',
                    owner_query.OwnerQuery,
                    self._answer_query,
                ),
                endpoints.post(
                    '/internal/command',
                    owner_command.OwnerCommand,
                    self._runner.run,
                ),
                endpoints.post(
                    '/internal/heartbeat',
                    heartbeat.Heartbeat,
                    self._answer_heartbeat,
                ),
                endpoints.post(
                    '/internal/objects',
                    object_request.ObjectRequest,
                    self._read_objects,
                ),
            ],
        )

    async def _answer_query(
        self,
        query: owner_query.OwnerQuery,
    ) -> endpoints.Outcome:
        return result.Ok(await self._owner.answer(query))

    async def _answer_heartbeat(
        self,
        received: heartbeat.Heartbeat,
    ) -> endpoints.Outcome:
        return result.Ok(self._heartbeats.answer(received))

    async def _read_objects(
        self,
        request: object_request.ObjectRequest,
    ) -> endpoints.Outcome:
        return result.Ok(self._heartbeats.copies(request))
