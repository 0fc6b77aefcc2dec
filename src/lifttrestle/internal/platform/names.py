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

# Headers of requests. Names are in lower case, as the HTTP code keeps them.
REQUEST_ID = 'request-id'
AUTHORIZATION = 'authorization'
KEY_SCHEME = 'token '
DEADLINE = 'deadline-ms'
MODEL = 'model'
TOKEN_COUNT = 'token-count'
PROMPT_PREFIX = 'prompt-prefix'
LAST_EVENT = 'last-event-id'
EXPECT_INSTANCE = 'expect-instance'
EXPECT_VERSION = 'expect-version'
TENANT = 'tenant'
URGENCY = 'request-urgency'
CACHE_SALT = 'cache-salt'
CACHE_SOURCE = 'kv-fetch'
CACHE_TARGET = 'kv-save'
# Set by the system alone: what a caller sends under these names is dropped.
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

# Headers of answers.
STAMP = 'server-stamp'
NOT_RUN = 'not-executed'
# Another start, or other weights, are where one was expected.
STATUS_OTHER_INSTANCE = 421
# Which start of an upstream turned a request away.
INSTANCE = 'instance-id'
WEIGHTS = 'weight-versions'
# Requests a second that an upstream takes from all routers together.
LIMIT = 'server-limit'

# Calls to an engine.
REPORT_PATH = '/report'
ORDER_PATH = '/order'
ORDER_LOAD = 'version'
# Running requests go on under the new weights.
MODE_RETAIN = 'retain'

# Calls to the store, and its tables.
# Response header; increases when the store is restored from an older copy.
STORE_EPOCH = 'store-era'
READ_ROWS = '/rows-get'
WATCH_ROWS = '/rows-feed'
COMMIT = '/rows-tx'
OPERATOR_TABLE = 'op'
UPSTREAMS_TABLE = 'servers'
CONFIGURATION_KEY = 'config'
WEIGHTS_PREFIX = 'version/'

SETTINGS_VARIABLE = 'LIFTTRESTLE_NODE_FILE'
