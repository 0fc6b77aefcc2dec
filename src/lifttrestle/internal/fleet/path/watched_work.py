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

"""Work for a request that ends with its caller, or with this process."""

import asyncio
from collections.abc import Coroutine

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.policy.stopping import STOPPING_RETRY_SECONDS
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.kind import ErrorKind


async def read_body(connection: ServerConnection, shutdown: Shutdown) -> bytes:
    """Return the whole body of a request.

    :raises RequestRefused: for a faulty body, and for one that is still on
        its way when the process ends.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(None) as reading:

            def end(_: object) -> None:
                reading.reschedule(loop.time())

            shutdown.ending.add_done_callback(end)
            try:
                return await connection.read_body()
            finally:
                shutdown.ending.remove_done_callback(end)
    except TimeoutError:
        raise _give_up(shutdown, 'the body was complete') from None


async def run_watched(
    work: Coroutine[None, None, None],
    connection: ServerConnection,
    shutdown: Shutdown,
) -> None:
    """Do the work, and stop at once when the caller leaves.

    When the process ends, what has no answer is given up; an answer that has
    begun goes on for as long as the process does.

    :raises CallerGone: if the caller left.
    :raises RequestRefused: if the process ends first.
    """
    working = asyncio.create_task(work)
    gone = asyncio.create_task(connection.wait_gone())
    ending = shutdown.ending
    try:
        await asyncio.wait(
            {working, gone, ending}, return_when=asyncio.FIRST_COMPLETED
        )
        if ending.done() and connection.answer_started:
            await asyncio.wait(
                {working, gone}, return_when=asyncio.FIRST_COMPLETED
            )
        if working.done():
            working.result()
        elif gone.done():
            raise CallerGone('the caller closed its connection')
        else:
            raise _give_up(shutdown, 'the answer began')
    finally:
        for task in (working, gone):
            task.cancel()
        await asyncio.gather(working, gone, return_exceptions=True)


def _give_up(shutdown: Shutdown, missing: str) -> RequestRefused:
    """Return the refusal of what this process can't finish."""
    shutdown.given_up += 1
    return RequestRefused(
        ErrorKind.STOPPING,
        f'this router ended before {missing}',
        retry_after=STOPPING_RETRY_SECONDS,
    )
