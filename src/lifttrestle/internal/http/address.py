#    Licensed under the Apache License, Version 2.0 (the "License"); you may
#    not use this file except in compliance with the License. You may obtain
#    a copy of the License at
#
#         http://www.apache.org/licenses/LICENSE-2.0
#
#    Unless required by applicable law or agreed to in writing, software
#    distributed under the License is distributed on an "AS IS" BASIS, WITHOUT
#    WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied. See the
#    License for the specific language governing permissions and limitations
#    under the License.

"""IP addresses with a port."""

import dataclasses
import ipaddress

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class Address:
    """IP address and TCP or UDP port at which a process listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse an address of the form ``IP:PORT``.

    :param text: an IPv4 or IPv6 address and a port; an IPv6 address may
        stand in brackets. Host names are refused, since the platform
        provides IP addresses only.
    :raises ValueError: if the IP address or the port is not valid.
    """
    host, separator, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            f'{text!r} is not IP:PORT; write an IP address and a port'
        ) from None
    is_number = port.isascii() and port.isdecimal()
    if not separator or not is_number or int(port) > MAX_PORT:
        raise ValueError(
            f'{text!r} has no port between 0 and {MAX_PORT}; write IP:PORT'
        )
    return Address(host, int(port))
