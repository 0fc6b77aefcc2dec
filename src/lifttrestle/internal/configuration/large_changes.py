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

"""Changes that are too large for a row, kept in the object store."""

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.store.objects import ObjectStore

# A row of the table service should stay small; larger changes are objects.
MAX_ROW_BYTES = 32 * 1024


class LargeChanges:
    """Puts the content of large changes aside, and back."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def offload(self, revision: int, plan: Plan) -> AcceptedChange:
        """Return the change to store, its content put aside if large."""
        body = msgspec.json.encode(plan.changes)
        if len(body) <= MAX_ROW_BYTES:
            return AcceptedChange(revision, plan.plan_id, plan.changes)
        key = f'change-{plan.plan_id}'
        await self._objects.put(key, body)
        return AcceptedChange(revision, plan.plan_id, object_key=key)

    async def load(self, change: AcceptedChange) -> AcceptedChange:
        """Return a stored change with its content."""
        if not change.object_key:
            return change
        body = await self._objects.get(change.object_key)
        if body is None:
            raise PlatformUnavailable(
                f'the object {change.object_key!r} is missing'
            )
        changes = msgspec.json.decode(body, type=tuple[Change, ...])
        return msgspec.structs.replace(change, changes=changes)
