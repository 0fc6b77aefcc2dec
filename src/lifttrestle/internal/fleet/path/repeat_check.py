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

"""Whether a request may be sent again after an attempt has failed."""

from lifttrestle.errors import LifttrestleError
from lifttrestle.internal.fleet.path.request_context import RequestContext
from lifttrestle.internal.refusal.kind import ErrorKind

# Maximum number of times that one request is sent, including the sends that
# upstreams declined without running the request.
MAX_SENDS = 4


def check_repeatable(request: RequestContext, error: LifttrestleError) -> None:
    """Check that a request may be sent again.

    :param error: why the last attempt failed.
    :raises RequestRefused: if it may not.
    """
    reason = _find_reason(request, error)
    if reason:
        raise request.make_refusal(ErrorKind.UPSTREAM_FAILED, reason)


def _find_reason(request: RequestContext, error: LifttrestleError) -> str:
    """Return why a request may not be sent again, empty if it may."""
    route = request.admitted.route
    if request.sends >= MAX_SENDS:
        return f'too many attempts: {error}'
    if request.runs == 0:
        return ''
    if request.parts.crashes.must_not_retry(
        request.digest, request.part_digests
    ):
        return f'upstreams crash while running this request: {error}'
    if not route.repeatable:
        return f'the request may have run: {error}'
    if request.runs >= route.max_attempts:
        return f'all attempts are used up: {error}'
    return ''
