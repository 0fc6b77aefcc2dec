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

"""Binds one request to the upstreams that may continue its stream."""

from collections.abc import Callable

from lifttrestle.internal.fleet.state.upstream import FleetUpstream
from lifttrestle.internal.fleet.streams.origin import read_origin
from lifttrestle.internal.fleet.streams.origin import StreamOrigin


class StreamBinding:
    """The origin of the stream of one request, over all its attempts.

    :ivar origin: None until the caller is sent the first event.
    :ivar on_begun: called with the origin before the first event that this
        router sends.
    """

    def __init__(self) -> None:
        self.origin: StreamOrigin | None = None
        self.on_begun: Callable[[StreamOrigin], None] = _ignore
        self._begun = False

    def note_begun(self, upstream: FleetUpstream) -> None:
        """Record the upstream of an event that is about to be sent.

        The first event determines the origin, unless it is known already.
        """
        if self._begun:
            return
        self._begun = True
        if self.origin is None:
            self.origin = read_origin(upstream)
        self.on_begun(self.origin)

    def select(self, upstreams: list[FleetUpstream]) -> list[FleetUpstream]:
        """Return the upstreams that may serve the next attempt."""
        origin = self.origin
        if origin is None:
            return upstreams
        return [item for item in upstreams if origin.allows(item)]


def _ignore(origin: StreamOrigin) -> None:
    """Do nothing; the default callback."""
