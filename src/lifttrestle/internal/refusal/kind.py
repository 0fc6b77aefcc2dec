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

"""Closed list of reasons for which a request is not answered in full."""

import enum


class ErrorKind(enum.Enum):
    """Kind of an error that is reported to a caller or an operator.

    The value is the machine-readable ``code`` of the JSON error body.
    """

    MALFORMED_REQUEST = 'malformed_request'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    SLOW_REQUEST = 'slow_request'
    UNAUTHORISED = 'unauthorised'
    ROLE_LACKING = 'role_lacking'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    MODEL_NOT_FOUND = 'model_not_found'
    WRONG_PLACE = 'wrong_place'
    EMBARGOED = 'embargoed'
    INVALID_VALUE = 'invalid_value'
    PLAN_CONFLICT = 'plan_conflict'
    PLAN_PENDING = 'plan_pending'
    KEY_REUSED = 'key_reused'
    ALREADY_RUN = 'already_run'
    RUN_UNKNOWN = 'run_unknown'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    STREAM_NOT_RESUMABLE = 'stream_not_resumable'
    TABLE_UNAVAILABLE = 'table_unavailable'
    NOT_CONFIGURED = 'not_configured'
    STOPPING = 'stopping'
    UPSTREAM_FAILED = 'upstream_failed'
    CRASHES_UPSTREAMS = 'crashes_upstreams'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    INTERNAL = 'internal'
