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

"""Whether a request was executed, as far as the router knows."""

import enum


class Execution(enum.Enum):
    """Whether the request ran; the value is part of the error body."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


def combine_executions(stated: Execution, known: Execution) -> Execution:
    """Return the weaker of two statements on whether a request ran.

    :param stated: the statement of the code that refused the request.
    :param known: the statement that the state of the request supports.
    """
    if stated is Execution.NOT_RUN:
        return known
    return stated
