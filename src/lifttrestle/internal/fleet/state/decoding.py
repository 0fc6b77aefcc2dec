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

"""Interface for decoding the values of the shared tables."""

import abc

from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.upstream_entry import TargetWeights
from lifttrestle.internal.fleet.state.upstream_entry import UpstreamEntry


class StoredFormat(abc.ABC):
    """Names the shared tables and decodes their values.

    The methods raise ``ValueError`` for an invalid value.

    :cvar operator_table: holds the configuration and the target versions of
        the models' weights.
    :cvar upstreams_table: holds the entries of the upstreams by instance.
    """

    operator_table: str
    upstreams_table: str

    @abc.abstractmethod
    def decode_catalogue(self, key: str, value: bytes) -> Catalogue | None:
        """Return the configuration, or None for another kind of row."""

    @abc.abstractmethod
    def decode_target_weights(
        self, key: str, value: bytes
    ) -> TargetWeights | None:
        """Return a model's target weights, None for another kind of row."""

    @abc.abstractmethod
    def decode_upstream(self, key: str, value: bytes) -> UpstreamEntry:
        """Return the entry of an upstream."""
