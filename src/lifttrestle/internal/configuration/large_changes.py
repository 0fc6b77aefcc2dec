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

"""Storage of changes that are too large for a table row."""

import msgspec

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.plan import AcceptedChange
from lifttrestle.internal.configuration.plan import Plan
from lifttrestle.internal.store.objects import ObjectStore

# Rows of the table service should stay small. Changes whose encoded size
# exceeds this go to the object store.
MAX_ROW_BYTES = 32 * 1024


class LargeChanges:
    """Moves the content of large changes to the object store and back."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def offload(self, revision: int, plan: Plan) -> AcceptedChange:
        """Return the row content for a plan accepted as ``revision``.

        Changes above ``MAX_ROW_BYTES`` are written to the object store, and
        the row refers to the object.
        """
        body = msgspec.json.encode(plan.changes)
        if len(body) <= MAX_ROW_BYTES:
            return AcceptedChange(revision, plan.plan_id, plan.changes)
        key = f'change-{plan.plan_id}'
        await self._objects.put(key, body)
        return AcceptedChange(revision, plan.plan_id, object_key=key)

    async def load(self, change: AcceptedChange) -> AcceptedChange:
        """Return a stored change with its content.

        :raises PlatformUnavailable: if its object is missing.
        """
        if not change.object_key:
            return change
        body = await self._objects.get(change.object_key)
        if body is None:
            raise PlatformUnavailable(
                f'object {change.object_key!r} is missing'
            )
        changes = msgspec.json.decode(body, type=tuple[Change, ...])
        return msgspec.structs.replace(change, changes=changes)
