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

"""What a router knows of an upstream that may not serve a request."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamStatus:
    """What a router knows of an upstream when it refuses a request.

    :ivar unreachable_since: monotonic time of the first failed connection, or
        None if the last one succeeded.
    :ivar has_idle_connection: whether an open connection is unused.
    """

    instance: str
    unreachable_since: float | None
    has_idle_connection: bool
    in_flight: int
