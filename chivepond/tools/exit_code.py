"""What the programs' exit codes mean."""

import enum


class ExitCode(enum.IntEnum):
    """Zero is success; the rest tells scripts what to do next."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    UNREACHABLE = 5
