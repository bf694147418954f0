"""Output of the programs: text, JSON, and errors with exit codes."""

import sys
from typing import Any

import msgspec

from chivepond.errors import problem
from chivepond.tools import exit_code

_exit_code_by_kind: dict[str, exit_code.ExitCode] = {
    'invalid': exit_code.ExitCode.USAGE,
    'key_expired': exit_code.ExitCode.USAGE,
    'not_run': exit_code.ExitCode.NOT_RUN,
    'outcome_unknown': exit_code.ExitCode.OUTCOME_UNKNOWN,
    'unreachable': exit_code.ExitCode.UNREACHABLE,
}


def print_line(text: str) -> None:
    """Write a line to standard output and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def print_json(message: Any) -> None:
    """Write a message to standard output as one line of JSON."""
    print_line(msgspec.json.encode(message).decode())


def print_error(error: problem.Problem) -> exit_code.ExitCode:
    """Write an error and its remedy to standard error.

    Returns the exit code for the kind of the error, FAILED by default.
    """
    sys.stderr.write(f'error ({error.kind}): {error.message}\n')
    sys.stderr.write(f'remedy: {error.remedy}\n')
    if error.retry_after_ms is not None:
        sys.stderr.write(f'retry after {error.retry_after_ms} ms\n')
    return _exit_code_by_kind.get(error.kind, exit_code.ExitCode.FAILED)
