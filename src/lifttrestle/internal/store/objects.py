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

"""Interface of the platform's object store."""

import abc


class ObjectStore(abc.ABC):
    """Stores immutable byte strings by key."""

    @abc.abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Store a body under ``key``.

        :raises PlatformUnavailable: without a usable answer; the body may
            have been stored.
        """

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return the body under ``key``, or None if there is none.

        :raises PlatformUnavailable: without a usable answer.
        """
