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

"""The state that an upstream reports."""

import enum

import msgspec


class EngineReport(msgspec.Struct, frozen=True):
    """The state of an upstream at the time of its answer to a probe.

    :ivar incarnation: changes whenever the process restarts, which also
        empties its block cache.
    :ivar versions: the version of the weights, by loaded model.
    :ivar running: number of requests being executed.
    :ivar waiting: number of requests in the queue.
    :ivar software: version of its software, empty if it is not reported.
    """

    incarnation: str
    versions: dict[str, str]
    draining: bool = False
    running: int = 0
    waiting: int = 0
    software: str = ''


class NoReport(enum.Enum):
    """The sentinel for an upstream without a current report."""

    NO_REPORT = 'unproved'


NO_REPORT = NoReport.NO_REPORT
