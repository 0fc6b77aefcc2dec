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

"""The platform's names of headers, calls and tables."""

# Request headers. The HTTP code converts header names to lower case.
REQUEST_ID = 'request-id'
AUTHORIZATION = 'authorization'
KEY_SCHEME = 'token '
DEADLINE = 'deadline-ms'
MODEL = 'model'
TOKEN_COUNT = 'token-count'
PROMPT_PREFIX = 'prompt-prefix'
LAST_EVENT = 'last-event-id'
# The request that brought the first event of a stream that a caller resumes.
RESUMES = 'resumes'
EXPECT_INSTANCE = 'expect-instance'
EXPECT_VERSION = 'expect-version'
TENANT = 'tenant'
URGENCY = 'request-urgency'
CACHE_SALT = 'cache-salt'
CACHE_SOURCE = 'kv-fetch'
CACHE_TARGET = 'kv-save'
# Only the system may set these headers; those that callers send are removed.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE,
        LAST_EVENT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        TENANT,
        URGENCY,
        CACHE_SALT,
        CACHE_SOURCE,
        CACHE_TARGET,
        'kv-from',
        'kv-backup',
        'hold',
        'pin-ms',
        'instance-id',
        'not-executed',
        'server-stamp',
        'weight-versions',
    )
)

# Response headers.
STAMP = 'server-stamp'
NOT_RUN = 'not-executed'
# The upstream is not the expected start or has other weights.
STATUS_OTHER_INSTANCE = 421
# The start of an upstream that refused the request.
INSTANCE = 'instance-id'
WEIGHTS = 'weight-versions'
# Requests per second that an upstream accepts from all routers together.
LIMIT = 'server-limit'
# Rejections per second that an upstream tolerates from all routers together.
BRITTLE = 'server-brittle'
# The upstream leaves, whatever its entry in the store says.
LEAVING = 'server-leaving'
LEAVING_SET = '1'

# Calls to an engine.
REPORT_PATH = '/report'
ORDER_PATH = '/order'
ORDER_LOAD = 'version'
# Running requests continue with the new weights.
MODE_RETAIN = 'retain'

# Calls to the store, and its tables.
# Response header; increases when the store is restored from an older copy.
STORE_EPOCH = 'store-era'
READ_ROWS_PATH = '/rows-get'
WATCH_ROWS_PATH = '/rows-feed'
COMMIT_PATH = '/rows-tx'
OPERATOR_TABLE = 'op'
UPSTREAMS_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
WEIGHTS_PREFIX = 'version/'

SETTINGS_VARIABLE = 'LIFTTRESTLE_NODE_FILE'
