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

"""Limits the number of threads that the socket library pynng starts.

It starts several per processor by default, far more than needed for a few
messages a second.
"""

import logging

import pynng

LOG = logging.getLogger('lifttrestle.peers')
THREAD_COUNT = 1
PARAMETERS = (
    'NNG_INIT_NUM_TASK_THREADS',
    'NNG_INIT_MAX_TASK_THREADS',
    'NNG_INIT_NUM_EXPIRE_THREADS',
    'NNG_INIT_MAX_EXPIRE_THREADS',
    'NNG_INIT_NUM_POLLER_THREADS',
    'NNG_INIT_MAX_POLLER_THREADS',
    'NNG_INIT_NUM_RESOLVER_THREADS',
)


def limit_threads() -> None:
    """Set every thread pool to its minimum.

    Takes effect only if called before the first socket is opened.
    """
    for name in PARAMETERS:
        number = getattr(pynng.lib, name, None)
        if number is None:
            LOG.debug('peers: the socket library has no parameter %s', name)
            continue
        pynng.lib.nng_init_set_parameter(number, THREAD_COUNT)
