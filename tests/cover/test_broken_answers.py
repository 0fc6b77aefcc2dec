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

"""Tests of what is kept of an answer that broke off."""

import traceback
import unittest

from lifttrestle.errors import UpstreamLost
from lifttrestle.internal.http.address import Address
from lifttrestle.internal.http.client_connection import ClientConnection
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.http.stream import Stream

PART = b'x' * 10_000
PARTS = 20


class BrokenStream(Stream):
    """Sends a head and some parts of a body, and is lost then."""

    is_idle = True

    def __init__(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n'
        self._left = [head, *(PART for _ in range(PARTS))]

    async def read(self):
        if not self._left:
            raise OSError('lost')
        return self._left.pop(0)

    async def write(self, data):
        pass

    def abort(self):
        pass


def count_kept(error):
    """Return the bytes in the lists of the frames that an error keeps."""
    kept = 0
    for frame, _ in traceback.walk_tb(error.__traceback__):
        for value in frame.f_locals.values():
            if isinstance(value, list):
                kept += sum(
                    len(item) for item in value if isinstance(item, bytes)
                )
    return kept


class TestBrokenAnswer(unittest.IsolatedAsyncioTestCase):
    async def test_regression_error_kept_the_body_that_was_received(self):
        connection = ClientConnection(Address('127.0.0.1', 9), BrokenStream())
        await connection.send_request(
            RequestHead('GET', '/', (('host', 'a'),)), b''
        )
        await connection.read_head()
        try:
            await connection.read_body(10**9)
        except UpstreamLost as error:
            self.assertLess(count_kept(error), len(PART))
        else:
            self.fail('the answer broke off')


if __name__ == '__main__':
    unittest.main()
