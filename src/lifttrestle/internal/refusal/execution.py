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

"""What the router knows about whether a request reached an upstream."""

import enum


class Execution(enum.Enum):
    """Whether the request ran; the value stands in the error body."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


def combine_executions(told: Execution, known: Execution) -> Execution:
    """Return the statement that promises less.

    :param told: what the code that refused the request says.
    :param known: what the state of the request allows to be said.
    """
    if told is Execution.NOT_RUN:
        return known
    return told
