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

"""What the operator has put in force: the configuration and the weights."""

import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('view')


# A router counts for the promise on weights from three seconds after its
# start; versions that were named before it are taken as that much younger
# than the promise allows.
SETTLE_SECONDS = 3.0
# Versions that are remembered: at one every two seconds, those of the last
# hundred seconds, ten times as long as old weights may be used.
MAX_REMEMBERED = 50


@dataclasses.dataclass(frozen=True)
class WantedWeights:
    """The versions of a model's weights that were named.

    :ivar version: the newest.
    :ivar seen_at: when each version was first seen, the oldest first.
    """

    version: int
    seen_at: tuple[tuple[int, float], ...]

    def find_replaced(self, held: int) -> float | None:
        """Return when weights ``held`` were replaced, None if never."""
        for version, seen_at in self.seen_at:
            if version > held:
                return seen_at
        return None


class OperatorView:
    """Swaps whole versions; an older one never replaces a newer one.

    :param weights_seconds: how long weights may be used after newer ones
        were named.
    """

    def __init__(
        self,
        stored_format: StoredFormat,
        clock: Clock,
        weights_seconds: float,
        refusals: InputRefusals | None = None,
    ) -> None:
        self._refusals = refusals or InputRefusals()
        self._format = stored_format
        self._clock = clock
        self._weights_seconds = weights_seconds
        self.catalogue: Catalogue | None = None
        self.wanted: dict[str, WantedWeights] = {}

    def take(self, row: VersionedRow) -> None:
        """Take in a changed row of the operator's table."""
        if row.value is None:
            LOG.warning('view.row_removed_and_kept', key=row.key)
            return
        try:
            catalogue = self._format.read_catalogue(row.key, row.value)
            named = self._format.read_weights(row.key, row.value)
        except ValueError as error:
            self._refusals.report('operator', row.key, error)
            return
        if catalogue is not None:
            self._swap(catalogue)
        if named is not None:
            self._want(named.model, named.version)

    def _swap(self, catalogue: Catalogue) -> None:
        held = self.catalogue
        if held is not None and held.version >= catalogue.version:
            LOG.warning(
                'view.older_refused',
                version=catalogue.version,
                held=held.version,
            )
            return
        self.catalogue = catalogue
        for fault in catalogue.faults:
            self._refusals.report('operator', 'configuration', fault)
        LOG.info('view.applied', version=catalogue.version)

    def _want(self, model: str, version: int) -> None:
        held = self.wanted.get(model)
        if held is not None and held.version >= version:
            return
        now = self._clock.monotonic()
        if held is None:
            # Nobody knows how long ago it was named.
            now -= max(self._weights_seconds - SETTLE_SECONDS, 0.0)
        earlier = held.seen_at if held is not None else ()
        self.wanted[model] = WantedWeights(
            version, (*earlier, (version, now))[-MAX_REMEMBERED:]
        )
        LOG.info('weights.named', model=model, version=version)
