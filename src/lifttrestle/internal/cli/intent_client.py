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

"""Client of the intent API of one router."""

import asyncio
import pathlib
import ssl

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.clock.system import SystemClock
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.http.json_client import JsonClient

TIMEOUT_SECONDS = 90.0


class IntentClient:
    """Sends calls with the operator's token.

    :param token_file: a file that contains the token only, which keeps it out
        of the command line and of the shell's history.
    :param authority: a file of CA certificates to trust, or None for plain
        TCP.
    :raises SettingsInvalid: if the address is malformed or the token can't be
        read.
    """

    def __init__(
        self, router: str, token_file: pathlib.Path, authority: object
    ) -> None:
        try:
            self._address = parse_address(router)
            self._token = token_file.read_text(encoding='utf-8').strip()
        except (OSError, ValueError) as error:
            raise SettingsInvalid(str(error)) from error
        self._tls: ssl.SSLContext | None = None
        if authority is not None:
            self._tls = ssl.create_default_context(cafile=str(authority))

    def call(self, method: str, target: str, content: object) -> Answer:
        """Send one request with a JSON body and return the router's answer."""
        return asyncio.run(self._call(method, target, content))

    async def _call(self, method: str, target: str, content: object) -> Answer:
        client = JsonClient(
            self._address, SystemClock(), TIMEOUT_SECONDS, self._tls
        )
        headers = (
            ('authorization', f'Bearer {self._token}'),
            ('content-type', 'application/json'),
        )
        try:
            return await client.call(method, target, content, headers)
        finally:
            client.close()
