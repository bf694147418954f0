"""Prints what membership costs a node, by the size of the fleet.

Example: python -m chivepond.tools.membership_cost --nodes 10,40,160,600

Real members encode, decode and take in real heartbeats in one process, with
no network: bytes are bodies without HTTP, and CPU is without HTTP too.
"""

import random
import sys
import time
import tracemalloc

from chivepond.tools import (
    console,
    exit_code,
    fleet_member,
    program_flags,
)
from chivepond.wire import codec, heartbeat

_USAGE = 'membership_cost: what membership costs a node, by fleet size.'
_ROUNDS = 20
_MS_PER_S = 1000
_PERCENT = 100
#: The default of the setting heartbeat_ms.
_PERIOD_S = 0.5


class _Fleet:
    """All members, and what they have exchanged."""

    __slots__ = ('_member_by_id', '_rng', 'messages', 'sent_bytes')

    def __init__(self, count: int) -> None:
        """Place ``count`` nodes in the data centres in turn."""
        hosts = [fleet_member.host_of(number) for number in range(count)]
        listed = fleet_member.listed(hosts)
        self._member_by_id = {
            one.host_id: fleet_member.FleetMember(one, listed) for one in hosts
        }
        self._rng = random.Random(count)
        self.messages = 0
        self.sent_bytes = 0

    def beat(self) -> None:
        """Let every member exchange its heartbeats of one period."""
        for sender in self._member_by_id.values():
            sender.directory.members.tick(time.time())
            for peer in sender.directory.sample(self._rng):
                receiver = self._member_by_id[peer.host_id]
                told = self._pass_on(sender.beats.own(peer.host_id))
                answer = self._pass_on(receiver.beats.answer(told))
                sender.directory.heard(answer, time.time(), 1)
            sender.directory.refresh(time.time())

    def _pass_on(self, beat: heartbeat.Heartbeat) -> heartbeat.Heartbeat:
        body = codec.encode(beat)
        self.messages += 1
        self.sent_bytes += len(body)
        return codec.decode(heartbeat.Heartbeat, body).unwrap()


def main(arguments: list[str]) -> int:
    """Print one line for each size; return the exit code."""
    program = program_flags.ProgramFlags(_USAGE)
    program.text('nodes', '10,40,160,600', 'sizes of the fleet, with commas')
    ended = program.begin(arguments)
    if ended is not None:
        return ended
    console.say('| nodes | % of a core | body bytes/s | messages/s | KB |')
    console.say('| --- | --- | --- | --- | --- |')
    for size in program.flags.nodes.split(','):
        console.say(_line(int(size)))
    return exit_code.ExitCode.OK


def _line(count: int) -> str:
    tracemalloc.start()
    fleet = _Fleet(count)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    for _ in range(_ROUNDS):
        fleet.beat()
    used_s = time.process_time() - started
    node_seconds = count * _ROUNDS * _PERIOD_S
    return (
        f'| {count} | {used_s / node_seconds * _PERCENT:.3f} '
        f'| {fleet.sent_bytes / node_seconds:.0f} '
        f'| {fleet.messages / node_seconds:.1f} '
        f'| {held / count / _MS_PER_S:.0f} |'
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv))
