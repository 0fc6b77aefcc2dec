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

"""The platform's object store, as the router sees it."""

import abc


class ObjectStore(abc.ABC):
    """Immutable bodies under string keys."""

    @abc.abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Store a body; raises ``PlatformUnavailable`` without an answer."""

    @abc.abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return a body or None; raises ``PlatformUnavailable``."""
