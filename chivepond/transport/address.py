"""IP addresses with a port, to listen on or to connect to."""

import dataclasses
import ipaddress
import re

import result

from chivepond.errors import invalid, quoting

_MAX_PORT = 65535
_PORT = re.compile('[0-9]{1,5}')


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """An IP address and a TCP port; port 0 lets the system choose one."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``, with brackets around an IPv6 address."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse(text: str) -> result.Result[Address, invalid.Invalid]:
    """Parse ``ip:port``; host names are rejected, never looked up.

    Returns an error when the IP address or the port is not valid.
    """
    ip, _, port = text.rpartition(':')
    try:
        ip_number = ipaddress.ip_address(ip.strip('[]'))
    except ValueError:
        return result.Err(_invalid_address(text))
    if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:
        return result.Err(_invalid_address(text))
    return result.Ok(Address(ip=str(ip_number), port=int(port)))


def parse_remote(text: str) -> result.Result[Address, invalid.Invalid]:
    """Parse an address to connect to, whose port is not 0."""
    return parse(text).and_then(
        lambda parsed: (
            result.Ok(parsed)
            if parsed.port
            else result.Err(_invalid_address(text))
        ),
    )


def _invalid_address(text: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{quoting.quoted(text)} is not a valid address',
        remedy='write an IP address and a port, such as 127.0.0.1:8080',
    )
