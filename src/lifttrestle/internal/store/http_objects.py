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

"""The object store over HTTP, with one path for each object."""

import urllib.parse

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.store.objects import ObjectStore

OK = (200, 201, 204)
NOT_FOUND = 404


class HttpObjects(ObjectStore):
    """Calls ``PUT`` and ``GET`` on ``/BUCKET/KEY``."""

    def __init__(self, client: JsonClient, bucket: str) -> None:
        self._client = client
        self._bucket = bucket

    async def put(self, key: str, body: bytes) -> None:
        """Store a body under ``key``."""
        answer = await self._client.call('PUT', self._name(key), body)
        if answer.status not in OK:
            raise PlatformUnavailable(
                f'the object store answered {answer.status} to PUT {key!r}'
            )

    async def get(self, key: str) -> bytes | None:
        """Return the body under ``key``, or None if there is none."""
        answer = await self._client.call('GET', self._name(key))
        if answer.status == NOT_FOUND:
            return None
        if answer.status not in OK:
            raise PlatformUnavailable(
                f'the object store answered {answer.status} to GET {key!r}'
            )
        return answer.body

    def _name(self, key: str) -> str:
        return f'/{self._bucket}/{urllib.parse.quote(key)}'
