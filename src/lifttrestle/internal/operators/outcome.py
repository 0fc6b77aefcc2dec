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

"""A plan and the routers that have yet to acknowledge it."""

import msgspec

from lifttrestle.internal.configuration.plan import Plan


class PlanOutcome(msgspec.Struct, frozen=True):
    """A plan and its progress, as the intent API returns them.

    :ivar waiting_for: names of the routers that have yet to acknowledge the
        plan, by data centre; empty unless the plan is proposed.
    """

    plan: Plan
    waiting_for: dict[str, list[str]]
