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

"""What began a stream.

The software of an upstream determines what it makes of the events before. So
only upstreams with the same software version may continue a stream.
"""

import dataclasses

from lifttrestle.internal.fleet.state.upstream import FleetUpstream

# Stands for a start that does not matter.
NO_START = 0


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """The upstream that sent the first event of a stream.

    :ivar software_version: None if it is not known; then only the same start
        may continue the stream.
    :ivar start: digest of the upstream's start.
    """

    service: str
    software_version: str | None
    start: int

    def allows(self, upstream: FleetUpstream) -> bool:
        """Return whether an upstream may continue the stream."""
        if upstream.entry.service != self.service:
            return False
        if self.software_version is None:
            return upstream.digest == self.start
        return upstream.entry.software_version == self.software_version

    def without_unused_start(self) -> 'StreamOrigin':
        """Return the origin without a start if a known version decides."""
        if self.software_version is None:
            return self
        return dataclasses.replace(self, start=NO_START)

    def agrees_with(self, other: 'StreamOrigin') -> bool:
        """Return whether the same upstreams may continue both streams."""
        same_start = (
            self.software_version is not None or self.start == other.start
        )
        return (
            self.service == other.service
            and self.software_version == other.software_version
            and same_start
        )


def read_origin(upstream: FleetUpstream) -> StreamOrigin:
    """Return the origin of a stream whose first event an upstream sent."""
    entry = upstream.entry
    return StreamOrigin(entry.service, entry.software_version, upstream.digest)
