"""The platform's list of hosts."""

import dataclasses

from chivepond.wire import host


@dataclasses.dataclass(slots=True, frozen=True)
class HostList:
    """Live and leaving hosts; the list may be out of date."""

    version: int
    hosts: list[host.Host]
