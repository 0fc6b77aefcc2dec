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

"""What an upstream tells of itself in the shared list."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamEntry:
    """One upstream's own entry.

    :ivar instance: unique to this start of the upstream.
    :ivar address: where it is reached, ``IP:PORT``; used again by others
        once it is gone.
    :ivar draining: it leaves soon and takes no new work.
    :ivar weights: the version of the weights of each model.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    weights: dict[str, int]


@dataclasses.dataclass(frozen=True)
class NamedWeights:
    """The version of a model's weights that the operator wants in use."""

    model: str
    version: int
