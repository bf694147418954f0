"""The platform list of hosts."""

import dataclasses

from chivepond.wire import host


@dataclasses.dataclass(slots=True, frozen=True)
class HostList:
    """Hosts live and leaving; the list lags."""

    version: int
    hosts: list[host.Host]
