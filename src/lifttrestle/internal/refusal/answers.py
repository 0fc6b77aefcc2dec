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

"""Maps each error kind to the HTTP answer that reports it."""

import dataclasses

from lifttrestle.internal.refusal.kind import ErrorKind


@dataclasses.dataclass(frozen=True)
class AnswerRule:
    """How one error kind is answered.

    :ivar status: the HTTP status code.
    :ivar retryable: whether a retry can succeed; sets the header
        ``x-should-retry``, which client libraries of the chat and completion
        API follow.
    :ivar remedy: a sentence that tells the client what to do.
    """

    status: int
    retryable: bool
    remedy: str


ANSWER_RULES: dict[ErrorKind, AnswerRule] = {
    ErrorKind.MALFORMED_REQUEST: AnswerRule(
        400, False, 'Send a well-formed HTTP/1.1 request.'
    ),
    ErrorKind.HEAD_TOO_LARGE: AnswerRule(
        431, False, 'Send fewer or shorter headers.'
    ),
    ErrorKind.BODY_TOO_LARGE: AnswerRule(413, False, 'Send a shorter body.'),
    ErrorKind.SLOW_REQUEST: AnswerRule(
        408, True, 'Send the whole request without pausing.'
    ),
    ErrorKind.UNAUTHORISED: AnswerRule(
        401, False, 'Send a valid token as "Authorization: Bearer TOKEN".'
    ),
    ErrorKind.ROLE_LACKING: AnswerRule(
        403, False, 'Use a token whose role allows this call.'
    ),
    ErrorKind.NOT_FOUND: AnswerRule(
        404, False, 'Check the path against the routes of your workspace.'
    ),
    ErrorKind.METHOD_NOT_ALLOWED: AnswerRule(
        405, False, 'Use the method that the documentation names.'
    ),
    ErrorKind.MODEL_NOT_FOUND: AnswerRule(
        404, False, 'List the models of your workspace at /v1/models.'
    ),
    ErrorKind.WRONG_PLACE: AnswerRule(
        421, False, 'Send the request to a data centre named in the answer.'
    ),
    ErrorKind.EMBARGOED: AnswerRule(
        403, False, 'Ask again after the release time.'
    ),
    ErrorKind.INVALID_VALUE: AnswerRule(
        400, False, 'Correct the named field and send the request again.'
    ),
    ErrorKind.PLAN_CONFLICT: AnswerRule(
        409, False, 'Read the fresh plan in this answer and confirm that.'
    ),
    ErrorKind.PLAN_PENDING: AnswerRule(
        409, True, 'Wait for the pending plan, or withdraw it.'
    ),
    ErrorKind.KEY_REUSED: AnswerRule(
        422, False, 'Use a new idempotency key for a different request.'
    ),
    ErrorKind.ALREADY_RUN: AnswerRule(
        409, False, 'Do not send it again; it ran, as recorded here.'
    ),
    ErrorKind.RUN_UNKNOWN: AnswerRule(
        409, False, 'It may have run; check at the service first.'
    ),
    ErrorKind.RATE_LIMITED: AnswerRule(
        429, True, 'Come back after the time in Retry-After.'
    ),
    ErrorKind.OVERLOADED: AnswerRule(
        503, True, 'Come back after the time in Retry-After.'
    ),
    ErrorKind.NO_UPSTREAM: AnswerRule(
        503, True, 'Come back after the time in Retry-After.'
    ),
    # 503 guarantees that this attempt has not run.
    ErrorKind.STREAM_NOT_RESUMABLE: AnswerRule(
        503, False, 'Begin the stream anew, without the last event id.'
    ),
    ErrorKind.TABLE_UNAVAILABLE: AnswerRule(
        503, True, 'Come back after the time in Retry-After.'
    ),
    ErrorKind.NOT_CONFIGURED: AnswerRule(
        503, True, 'Come back after the time in Retry-After.'
    ),
    ErrorKind.STOPPING: AnswerRule(
        503, True, 'Send it again; another router can serve it at once.'
    ),
    ErrorKind.UPSTREAM_FAILED: AnswerRule(
        502, False, 'Check the outcome before you send it again.'
    ),
    # 503 guarantees that this attempt has not run. A 4xx would state that the
    # request is at fault, but it may have been held without being the cause.
    ErrorKind.CRASHES_UPSTREAMS: AnswerRule(
        503,
        False,
        'Change the request, or ask the operators to lift the hold.',
    ),
    ErrorKind.DEADLINE_EXCEEDED: AnswerRule(
        504, False, 'Allow more time, or send a shorter request.'
    ),
    ErrorKind.INTERNAL: AnswerRule(
        500, False, 'Report the request id to the operators.'
    ),
}
