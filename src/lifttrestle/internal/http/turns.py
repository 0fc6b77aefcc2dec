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

"""Turns of connections at work that takes processor time only."""

import asyncio


class Turns:
    """Lets one connection at a time go on, once the event loop has run.

    A caller that sends many tiny chunks, or many requests ahead, has all of it
    received at once, and nothing that its connection would wait for. However
    many there are, the event loop runs all other tasks between two of them.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def take(self) -> None:
        """Wait until it is this connection's turn."""
        async with self._lock:
            await asyncio.sleep(0)
