"""Commands of the callers of one node, behind its gate."""

import result

from chivepond.entry import admission_gate, commands
from chivepond.errors import problem
from chivepond.observe import events, journal, telemetry
from chivepond.wire import command_answer, command_request

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class AdmittedCommands:
    """Runs the commands that the gate lets in."""

    __slots__ = ('_commands', '_gate', '_telemetry')

    def __init__(
        self,
        commanding: commands.Commands,
        gate: admission_gate.AdmissionGate,
        told: telemetry.Telemetry,
    ) -> None:
        """Share ``gate`` with the searches of the node."""
        self._commands = commanding
        self._gate = gate
        self._telemetry = told

    async def run(self, request: command_request.CommandRequest) -> _Answer:
        """Run a command at most once, or turn it away.

        Guards against a command that is turned away and runs all the same:
        it shows as a stamp billed twice, once for the refused key and once
        for the next. A refusal is given before the key is claimed, so no
        node knows of anything that it could run. It asks for the same key
        again, since an earlier request may have run under it.
        """
        refusal = self._gate.enter_command(request)
        if refusal is not None:
            return self._refused(request, refusal)
        try:
            return await self._commands.run(request)
        finally:
            self._gate.leave_command(request)

    async def standing(self, key: str) -> _Answer:
        """Return how a key stands."""
        return await self._commands.standing(key)

    def _refused(
        self,
        request: command_request.CommandRequest,
        refusal: problem.Problem,
    ) -> _Answer:
        answer: _Answer = result.Err(refusal)
        self._telemetry.command_done(request, answer)
        journal.log(
            events.COMMAND_REFUSED,
            key=request.key,
            kind=refusal.kind,
        )
        return answer
