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

"""Runs the work for a request until its caller leaves or the process stops."""

import asyncio
from collections.abc import Coroutine

from lifttrestle.errors import CallerGone
from lifttrestle.errors import RequestRefused
from lifttrestle.internal.clock.read_timeout import ReadTimeout
from lifttrestle.internal.fleet.policy.stopping import STOPPING_RETRY_SECONDS
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.http.server_connection import ServerConnection
from lifttrestle.internal.refusal.kind import ErrorKind


async def read_body(connection: ServerConnection, shutdown: Shutdown) -> bytes:
    """Return the complete body of a request.

    :raises RequestRefused: for an invalid body, and for one that is
        incomplete when the process stops.
    """
    try:
        async with ReadTimeout(None) as reading:

            def expire(_: object) -> None:
                reading.expire()

            shutdown.ending.add_done_callback(expire)
            try:
                return await connection.read_body()
            finally:
                shutdown.ending.remove_done_callback(expire)
    except TimeoutError:
        raise _make_stopping_refusal(
            shutdown, 'the body was complete'
        ) from None


async def run_while_connected(
    work: Coroutine[None, None, None],
    connection: ServerConnection,
    shutdown: Shutdown,
) -> None:
    """Run the work, and cancel it at once when the caller disconnects.

    When the process stops, work whose answer has not begun is cancelled; an
    answer that has begun continues until the process ends.

    :raises CallerGone: if the caller disconnected.
    :raises RequestRefused: if the process stops first.
    """
    working = asyncio.create_task(work)
    disconnected = asyncio.create_task(connection.wait_disconnected())
    ending = shutdown.ending
    try:
        await asyncio.wait(
            {working, disconnected, ending},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if ending.done() and connection.answer_started:
            await asyncio.wait(
                {working, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
        if working.done():
            working.result()
        elif disconnected.done():
            raise CallerGone('the caller closed its connection')
        else:
            raise _make_stopping_refusal(shutdown, 'the answer began')
    finally:
        for task in (working, disconnected):
            task.cancel()
        await asyncio.gather(working, disconnected, return_exceptions=True)


def _make_stopping_refusal(shutdown: Shutdown, event: str) -> RequestRefused:
    """Count and return the refusal of a request that can't be finished.

    :param event: what would have happened next.
    """
    shutdown.given_up += 1
    return RequestRefused(
        ErrorKind.STOPPING,
        f'this router stopped before {event}',
        retry_after=STOPPING_RETRY_SECONDS,
    )
