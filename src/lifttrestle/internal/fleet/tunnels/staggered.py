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

"""Asks several routers for a connection, each a while after the one before.

A router that is busy may take longer to answer than one that is cut off. So a
slow answer doesn't count as a failure while it is still expected: the next
router is asked as well, and the first connection is used.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses

from lifttrestle.internal.http.stream import Stream

Connect = Callable[[str], Coroutine[None, None, Stream]]


@dataclasses.dataclass(frozen=True)
class FirstConnection:
    """The first connection that was made.

    :ivar peer: key of the router that forwards it, empty if there is none.
    :ivar failures: why each of the routers asked before is not used.
    """

    peer: str
    stream: Stream | None
    failures: dict[str, str]


async def connect_first(
    connect: Connect, peers: Sequence[str], stagger_seconds: float
) -> FirstConnection:
    """Ask routers in their order until one of them provides a connection.

    :param connect: returns the connection through a router; raises
        ``OSError`` or ``TimeoutError``.
    :param peers: keys of the routers to ask.
    :param stagger_seconds: how long to wait for an answer before the next
        router is asked as well; after a failure it is asked at once.
    """
    failures: dict[str, str] = {}
    asked = 0
    pending: dict[asyncio.Task[Stream], str] = {}
    try:
        while asked < len(peers) or pending:
            if asked < len(peers):
                task = asyncio.create_task(connect(peers[asked]))
                pending[task] = peers[asked]
                asked += 1
            await asyncio.wait(
                pending,
                timeout=stagger_seconds if asked < len(peers) else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in [task for task in pending if task.done()]:
                peer = pending.pop(task)
                try:
                    stream = task.result()
                except (OSError, TimeoutError) as error:
                    failures[peer] = str(error) or 'timed out'
                    continue
                for other in peers[: peers.index(peer)]:
                    failures.setdefault(other, f'slower than {peer}')
                return FirstConnection(peer, stream, failures)
    finally:
        await _drop(list(pending))
    return FirstConnection('', None, failures)


async def _drop(tasks: list[asyncio.Task[Stream]]) -> None:
    """Cancel attempts, and close what they connected."""
    for task in tasks:
        task.cancel()
    for stream in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(stream, Stream):
            stream.abort()
