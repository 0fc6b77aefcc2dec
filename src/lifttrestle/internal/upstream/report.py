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

"""What an upstream says about itself."""

import enum

import msgspec


class EngineReport(msgspec.Struct, frozen=True):
    """An upstream's own state at one moment.

    :ivar incarnation: changes whenever the process starts anew, and with
        it every cached block is gone.
    :ivar versions: the version of the weights for each loaded model.
    :ivar running: requests being worked on.
    :ivar waiting: requests queued behind them.
    """

    incarnation: str
    versions: dict[str, str]
    draining: bool = False
    running: int = 0
    waiting: int = 0


class NoReport(enum.Enum):
    """The sentinel for an upstream that has said nothing yet."""

    NO_REPORT = 'unproved'


NO_REPORT = NoReport.NO_REPORT
