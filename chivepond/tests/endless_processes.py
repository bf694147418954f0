"""Processes whose replies never end, and what they cost a gateway."""

import asyncio
import contextlib
import os
import pathlib
import sys

from chivepond.standins import endless_searcher
from chivepond.transport import address

#: The users' figure for one connection.
_MEGABYTES_A_SECOND = 15.6


@contextlib.asynccontextmanager
async def started(part: endless_searcher.ReplyPart):
    """Start a process that replies without end; yield its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'chivepond.standins.endless_searcher',
        part,
        str(_MEGABYTES_A_SECOND),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        line = await process.stdout.readline()
        yield address.parse(line.decode().strip()).unwrap()
    finally:
        process.kill()
        await process.wait()


def core_seconds(process) -> float:
    """Return the processor time of a gateway process so far."""
    stat = pathlib.Path(f'/proc/{process.process.pid}/stat').read_text()
    ticks = stat.rpartition(')')[2].split()[11:13]
    return sum(map(int, ticks)) / os.sysconf('SC_CLK_TCK')


def peak_mb(process) -> float:
    """Return the largest memory of a gateway process so far."""
    status = pathlib.Path(f'/proc/{process.process.pid}/status').read_text()
    peak = status.partition('VmHWM:')[2].split()[0]
    return int(peak) / 1024
