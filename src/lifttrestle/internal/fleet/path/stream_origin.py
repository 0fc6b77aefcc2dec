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

"""Binds a request to the origin of the stream that it begins or resumes."""

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.fleet.path.event_buffer import build_origin_fields
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.fleet.streams.origin import StreamOrigin
from lifttrestle.internal.refusal.kind import ErrorKind


async def bind_stream(request: RequestContext) -> None:
    """Bind a request that resumes a stream to what began that stream.

    What a request begins itself is recorded with its first event.

    :raises RequestRefused: if the origin of a resumed stream is not known, or
        the route leads no longer to its service.
    """
    if not request.admitted.route.streams:
        return
    request.binding.on_begun = lambda origin: _record(request, origin)
    facts = request.facts
    if facts.last_event_id is None:
        return
    route = request.admitted.route
    found = await request.parts.streams.find(
        request.admitted.workspace_name,
        facts.resumes,
        [share.service for share in route.shares],
    )
    request.event_buffer.add('origin', **build_origin_fields(found))
    request.parts.metrics.count_origin(found.source.name.lower())
    if found.origin is None:
        raise RequestRefused(
            ErrorKind.STREAM_NOT_RESUMABLE,
            'it is not known which software version began the stream',
        )
    request.binding.origin = found.origin
    request.readmit()


def note_complete(request: RequestContext) -> None:
    """Record that the answer was sent, so that no caller resumes it."""
    begun_by = _get_first_request(request)
    if begun_by and request.binding.origin is not None:
        streams = request.parts.streams
        streams.note_complete(request.admitted.workspace_name, begun_by)


def _record(request: RequestContext, origin: StreamOrigin) -> None:
    """Record the origin of a stream that its caller may resume."""
    begun_by = _get_first_request(request)
    if begun_by:
        streams = request.parts.streams
        streams.record(request.admitted.workspace_name, begun_by, origin)


def _get_first_request(request: RequestContext) -> str:
    """Return the id of the request that brought the first event.

    Empty if the caller may not resume the stream, or does not name it.
    """
    if not request.admitted.route.resumable:
        return ''
    facts = request.facts
    resumed = facts.last_event_id is not None
    return facts.resumes if resumed else facts.request_id
