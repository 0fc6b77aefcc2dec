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

"""What decisions under load know of engines and workspaces."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineCondition:
    """Condition of one engine, as all routers together know it.

    :ivar slowdown: factor by which it is slower than its service, at least 1.
    """

    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True)
class WorkspaceStanding:
    """Engine time of a workspace, in seconds of engine time per second.

    :ivar asked_seconds: engine time of the requests that arrived.
    :ivar used_seconds: engine time of the requests that were sent.
    :ivar share_seconds: fair share while engine time is short.
    """

    asked_seconds: float
    used_seconds: float
    share_seconds: float

    @property
    def is_over(self) -> bool:
        """Return whether the workspace used more than its share."""
        return self.used_seconds > self.share_seconds
