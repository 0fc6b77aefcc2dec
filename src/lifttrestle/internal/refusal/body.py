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

"""Builds the JSON body and the headers that report a refusal."""

import math

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.http.answer import Answer
from lifttrestle.internal.refusal.answers import ANSWER_RULES
from lifttrestle.internal.refusal.execution import Execution


def build_refusal(refused: RequestRefused, request_id: str) -> Answer:
    """Return the HTTP answer for a refused request.

    :param refused: the refusal, with its kind and whether the request ran.
    :param request_id: the id under which the decision log lists the request.
    """
    rule = ANSWER_RULES[refused.kind]
    retryable = rule.retryable and refused.ran is Execution.NOT_RUN
    error: dict[str, object] = {
        'message': refused.message,
        'type': refused.kind.value,
        'code': refused.kind.value,
        'param': refused.field or None,
        'ran': refused.ran.value,
        'remedy': rule.remedy,
        'request_id': request_id,
    }
    headers = [
        ('content-type', 'application/json'),
        ('x-request-id', request_id),
        ('x-should-retry', 'true' if retryable else 'false'),
    ]
    if refused.retry_after > 0:
        seconds = math.ceil(refused.retry_after)
        error['retry_after'] = seconds
        headers.append(('retry-after', str(seconds)))
    error.update(refused.details)
    body = msgspec.json.encode({'error': error})
    return Answer(rule.status, tuple(headers), body)
