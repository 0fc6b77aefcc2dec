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

"""Graceful stop of a fleet router, in an order that cuts no request."""

import asyncio

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
# After the stop signal, the load balancer sends new connections until two
# health checks have failed. It checks once a second: two seconds, plus half a
# second for a late check.
NOTICE_SECONDS = 2.5
# Upper limit of the notice, as a fraction of the grace period.
NOTICE_SHARE = 0.5
MILLISECONDS = 1000


async def stop_gracefully(parts: FleetParts, callers: HttpServer) -> bool:
    """Stop serving callers; return whether every request was ended.

    Requests accepted meanwhile must end in the remaining time
    (policy.stopping). All steps share the deadline of ``parts.shutdown``, and
    none waits for the store: the row of the router is removed concurrently
    with the last requests.
    """
    shutdown = parts.shutdown
    grace = parts.settings.promises.grace_seconds
    shutdown.begin(grace)
    LOG.info('router.stopping', requests=callers.busy, grace_s=grace)
    callers.announce_stop()
    ending = asyncio.create_task(shutdown.signal_ending())
    await parts.clock.sleep(min(NOTICE_SECONDS, grace * NOTICE_SHARE))
    LOG.info(
        'router.closing',
        after_ms=_get_elapsed_ms(shutdown),
        requests=callers.busy,
    )
    leaving = asyncio.create_task(_leave(parts.roster))
    all_ended = await callers.stop(
        shutdown.get_abort_seconds(), shutdown.get_flush_seconds()
    )
    all_ended = all_ended and not shutdown.given_up
    await asyncio.wait({leaving}, timeout=shutdown.get_leave_seconds())
    if not leaving.done():
        LOG.warning('router.row_left', reason='the store did not answer')
    for task in (ending, leaving):
        task.cancel()
    await asyncio.gather(ending, leaving, return_exceptions=True)
    LOG.info(
        'router.stopped',
        after_ms=_get_elapsed_ms(shutdown),
        every_request_ended=all_ended,
        cut=callers.aborted_requests,
        given_up=shutdown.given_up,
    )
    return all_ended


async def _leave(roster: Roster) -> None:
    """Leave the roster; errors are logged and do not delay the stop."""
    try:
        await roster.leave()
    except Exception:
        LOG.exception('router.row_left', reason='see the error')


def _get_elapsed_ms(shutdown: Shutdown) -> int:
    return round(shutdown.get_elapsed_seconds() * MILLISECONDS)
