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

"""The usage of a workspace by a group of other routers."""

import dataclasses

from lifttrestle.internal.fleet.policy.recent_use import RecentUse


@dataclasses.dataclass(slots=True)
class GroupUse:
    """Known or assumed usage of a group of routers.

    :ivar use: usage reported by the group.
    :ivar silent: the group has not reported for ``SILENT_SECONDS``.
    :ivar never_reported: the group had never reported when it became silent.
    :ivar silent_since: when it became silent, monotonic seconds.
    :ivar assumed_share: fraction of the rate that it is assumed to use while
        it is silent.
    :ivar assumed_units: units charged for it while it was silent that it has
        not reported yet.
    """

    use: RecentUse = dataclasses.field(default_factory=RecentUse)
    silent: bool = False
    never_reported: bool = False
    silent_since: float = 0.0
    assumed_share: float = 0.0
    assumed_units: float = 0.0
