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

"""The operator's configuration and the target versions of the weights."""

from collections.abc import Mapping
import dataclasses

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.fleet.policy.usage_caps import UsageCap
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.rows import VersionedRow
from lifttrestle.internal.intake.refusals import InputRefusals
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('view')
# A router must meet the limit on the use of old weights from three seconds
# after its start. A version that was set before the start is assumed to be so
# old that the weights it replaced may be used for these three seconds only.
START_GRACE_SECONDS = 3.0
# Target versions that are kept per model. At one every two seconds they cover
# a hundred seconds, ten times as long as old weights may be used.
MAX_TARGET_VERSIONS = 50


@dataclasses.dataclass(frozen=True)
class TargetWeightsHistory:
    """The target versions of a model's weights.

    :ivar version: the newest one.
    :ivar seen_at: each version with the monotonic time at which it was first
        seen, the oldest first.
    """

    version: int
    seen_at: tuple[tuple[int, float], ...]

    def find_replaced_at(self, held: int) -> float | None:
        """Return when version ``held`` was replaced, None if never."""
        for version, seen_at in self.seen_at:
            if version > held:
                return seen_at
        return None


class OperatorView:
    """Holds the operator's newest settings.

    A version is replaced as a whole, and never by an older one.

    :param weights_seconds: how long weights may be used after a newer target
        version was set.
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
        self.target_weights: dict[str, TargetWeightsHistory] = {}

    @property
    def caps(self) -> Mapping[int, UsageCap]:
        """Return the caps in force, keyed by the digest of the workspace."""
        return self.catalogue.caps if self.catalogue is not None else {}

    def apply_row(self, row: VersionedRow) -> None:
        """Apply a changed row of the operator's table."""
        if row.value is None:
            LOG.warning('view.row_removed_and_kept', key=row.key)
            return
        try:
            catalogue = self._format.decode_catalogue(row.key, row.value)
            target = self._format.decode_target_weights(row.key, row.value)
        except ValueError as error:
            self._refusals.report('operator', row.key, error)
            return
        if catalogue is not None:
            self._replace_catalogue(catalogue)
        if target is not None:
            self._add_target(target.model, target.version)

    def _replace_catalogue(self, catalogue: Catalogue) -> None:
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

    def _add_target(self, model: str, version: int) -> None:
        held = self.target_weights.get(model)
        if held is not None and held.version >= version:
            return
        now = self._clock.monotonic()
        if held is None:
            # It is not known when the version was set.
            now -= max(self._weights_seconds - START_GRACE_SECONDS, 0.0)
        earlier = held.seen_at if held is not None else ()
        self.target_weights[model] = TargetWeightsHistory(
            version, (*earlier, (version, now))[-MAX_TARGET_VERSIONS:]
        )
        LOG.info('weights.named', model=model, version=version)
