"""Admission control for the commands that callers send to one node."""

import result

from chivepond.entry import admission_gate, commands
from chivepond.errors import outcome_unknown, problem
from chivepond.observe import telemetry
from chivepond.wire import command_answer, command_request

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class AdmittedCommands:
    """Runs commands that the admission gate accepts, and rejects the others."""

    __slots__ = ('_commands', '_gate', '_telemetry')

    def __init__(
        self,
        command_executor: commands.Commands,
        gate: admission_gate.AdmissionGate,
        recorder: telemetry.Telemetry,
    ) -> None:
        """``gate`` is the one that admits the searches of the node."""
        self._commands = command_executor
        self._gate = gate
        self._telemetry = recorder

    async def run(self, request: command_request.CommandRequest) -> _Answer:
        """Run a command at most once, or reject it before its key is claimed.

        A rejection is reported as ``outcome_unknown``, never as ``not_run``:
        this attempt runs nothing, but an earlier attempt with the same key
        may have run through another node. After ``not_run`` the caller would
        use a new key, and the command would run (and be billed) twice.
        """
        refusal = self._gate.admit_command(request)
        if refusal is not None:
            return self._refusal_answer(request, refusal)
        try:
            return await self._commands.run(request)
        finally:
            self._gate.release_command(request)

    async def key_status(self, key: str) -> _Answer:
        """Return the status of the command with this key."""
        return await self._commands.key_status(key)

    def _refusal_answer(
        self,
        request: command_request.CommandRequest,
        refusal: problem.Problem,
    ) -> _Answer:
        answer: _Answer = result.Err(
            outcome_unknown.OutcomeUnknown(
                message=f'{refusal.message}; this attempt was not sent, but an'
                ' earlier attempt with the same key may have run',
                remedy=refusal.remedy,
                retry_after_ms=refusal.retry_after_ms,
            ),
        )
        self._telemetry.command_done(request, answer)
        return answer
