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

"""Where requests came from that lost an upstream at this router."""

import dataclasses

# Maximum number of remembered origins of requests that lost an upstream.
MAX_ORIGINS = 4096


@dataclasses.dataclass(frozen=True)
class RequestOrigin:
    """Workspace, route and part digests of a request."""

    workspace: str
    route: str
    parts: tuple[int, ...] = ()


UNKNOWN_ORIGIN = RequestOrigin('', '')


class LostOrigins:
    """Bounded collection of origins that evicts the oldest.

    Those of parts are the origins of a request that met them.
    """

    def __init__(self) -> None:
        self._origins: dict[int, RequestOrigin] = {}

    def __contains__(self, digest: int) -> bool:
        """Return whether this router has lost a request or part."""
        return digest in self._origins

    def put(self, digest: int, origin: RequestOrigin) -> None:
        """Record where a lost request, or one with a part, came from."""
        if len(self._origins) >= MAX_ORIGINS:
            del self._origins[next(iter(self._origins))]
        self._origins[digest] = origin

    def get(self, digest: int) -> RequestOrigin:
        """Return where a lost request came from, if it is known."""
        return self._origins.get(digest, UNKNOWN_ORIGIN)
