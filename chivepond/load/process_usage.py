"""Processor time and memory of a process, read from /proc."""

import dataclasses
import os
import pathlib
from typing import Self

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MB = 1_000_000
# Indexes of the fields that follow the program name in /proc/PID/stat; the
# name itself may contain spaces.
_USER_TICKS_INDEX = 11
_SYSTEM_TICKS_INDEX = 12
_RESIDENT_PAGES_INDEX = 21


@dataclasses.dataclass(slots=True, frozen=True)
class ProcessUsage:
    """Processor seconds since the start, and current resident megabytes."""

    cpu_s: float
    memory_mb: float

    @classmethod
    def read(cls, pid: int) -> Self:
        """Read the usage of a process; zeros if it no longer exists."""
        try:
            text = pathlib.Path(f'/proc/{pid}/stat').read_text()
        except OSError:
            return cls(0, 0)
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[_USER_TICKS_INDEX]) + int(
            fields[_SYSTEM_TICKS_INDEX]
        )
        resident = int(fields[_RESIDENT_PAGES_INDEX]) * _PAGE_BYTES
        return cls(ticks / _TICKS_PER_S, resident / _BYTES_PER_MB)
