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

"""HTTP client of the object store; each object has its own path."""

import urllib.parse

from lifttrestle.errors import PlatformUnavailable
from lifttrestle.internal.http.json_client import JsonClient
from lifttrestle.internal.store.objects import ObjectStore

SUCCESS_STATUSES = (200, 201, 204)
NOT_FOUND = 404


class HttpObjects(ObjectStore):
    """Stores objects with ``PUT`` and ``GET`` of ``/BUCKET/KEY``.

    :param bucket: the bucket that holds the objects.
    """

    def __init__(self, client: JsonClient, bucket: str) -> None:
        self._client = client
        self._bucket = bucket

    async def put(self, key: str, body: bytes) -> None:
        """Store a body under ``key``.

        :raises PlatformUnavailable: without an answer that confirms it; the
            body may have been stored.
        """
        answer = await self._client.call('PUT', self._build_target(key), body)
        if answer.status not in SUCCESS_STATUSES:
            raise PlatformUnavailable(
                f'the object store answered {answer.status} to PUT {key!r}'
            )

    async def get(self, key: str) -> bytes | None:
        """Return the body under ``key``, or None if there is none.

        :raises PlatformUnavailable: without a usable answer.
        """
        answer = await self._client.call('GET', self._build_target(key))
        if answer.status == NOT_FOUND:
            return None
        if answer.status not in SUCCESS_STATUSES:
            raise PlatformUnavailable(
                f'the object store answered {answer.status} to GET {key!r}'
            )
        return answer.body

    def _build_target(self, key: str) -> str:
        return f'/{self._bucket}/{urllib.parse.quote(key)}'
