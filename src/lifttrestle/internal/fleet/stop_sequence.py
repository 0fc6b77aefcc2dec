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

"""The order in which a router of a fleet stops, so that no request is cut."""

import asyncio

from lifttrestle.internal.fleet.parts import FleetParts
from lifttrestle.internal.fleet.state.roster import Roster
from lifttrestle.internal.fleet.state.shutdown import Shutdown
from lifttrestle.internal.http.server import HttpServer
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('router')
# After the order to stop the balancer sends new connections until it was
# refused twice, which it asks once a second: for two seconds, and a half for a
# question that is late.
NOTICE_SECONDS = 2.5
# And never longer than this share of the time there is.
NOTICE_SHARE = 0.5
MILLISECONDS = 1000


async def stop_in_order(parts: FleetParts, callers: HttpServer) -> bool:
    """Stop serving callers; return whether every request was ended.

    What is taken meanwhile has to end in what is left (policy.stopping). All
    steps share the one deadline of ``parts.shutdown``, and none waits for the
    store: the router's row is removed beside the last requests.
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
        after_ms=_get_passed_ms(shutdown),
        requests=callers.busy,
    )
    leaving = asyncio.create_task(_leave(parts.roster))
    whole = await callers.stop(
        shutdown.get_abort_seconds(), shutdown.get_flush_seconds()
    )
    whole = whole and not shutdown.given_up
    await asyncio.wait({leaving}, timeout=shutdown.get_leave_seconds())
    if not leaving.done():
        LOG.warning('router.row_left', reason='the store did not answer')
    for task in (ending, leaving):
        task.cancel()
    await asyncio.gather(ending, leaving, return_exceptions=True)
    LOG.info(
        'router.stopped',
        after_ms=_get_passed_ms(shutdown),
        every_request_ended=whole,
        cut=callers.aborted_requests,
        given_up=shutdown.given_up,
    )
    return whole


async def _leave(roster: Roster) -> None:
    """Leave the roster; whatever goes wrong there holds nothing up."""
    try:
        await roster.leave()
    except Exception:
        LOG.exception('router.row_left', reason='see the error')


def _get_passed_ms(shutdown: Shutdown) -> int:
    return round(shutdown.get_elapsed_seconds() * MILLISECONDS)
