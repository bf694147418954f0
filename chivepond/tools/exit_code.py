"""Exit codes of the programs."""

import enum


class ExitCode(enum.IntEnum):
    """Zero for success, otherwise a code for each kind of failure."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    UNREACHABLE = 5
