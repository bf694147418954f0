"""Output of the programs, for people and for programs."""

import sys
from typing import Any

import msgspec

from chivepond.errors import problem
from chivepond.tools import exit_code

_code_by_kind: dict[str, exit_code.ExitCode] = {
    'invalid': exit_code.ExitCode.USAGE,
    'key_expired': exit_code.ExitCode.USAGE,
    'not_run': exit_code.ExitCode.NOT_RUN,
    'outcome_unknown': exit_code.ExitCode.OUTCOME_UNKNOWN,
    'unreachable': exit_code.ExitCode.UNREACHABLE,
}


def say(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def say_json(message: Any) -> None:
    """Write a message as one line of JSON."""
    say(msgspec.json.encode(message).decode())


def complain(trouble: problem.Problem) -> exit_code.ExitCode:
    """Write an error with its remedy; return the exit code for its kind."""
    sys.stderr.write(f'error ({trouble.kind}): {trouble.message}\n')
    sys.stderr.write(f'remedy: {trouble.remedy}\n')
    if trouble.retry_after_ms is not None:
        sys.stderr.write(f'come back in {trouble.retry_after_ms} ms\n')
    return _code_by_kind.get(trouble.kind, exit_code.ExitCode.FAILED)
