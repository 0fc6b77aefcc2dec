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

"""Which held rows stay in force when the store is restored from an older copy.

Held rows are those in this router's copy of the table. The restored store
lacks the writes and removals of the last seconds. Their writers repeat them;
until then:

| row | in force | until |
| --- | --- | --- |
| configuration, target weights | the highest known version | a higher one |
| upstream entry, draining | draining, for the same start | written again |
| upstream entry, removed | not used | written again, or a timeout |
| any other row | the restored row | |
"""

import abc

from lifttrestle.internal.fleet.state.decoding import StoredFormat
from lifttrestle.internal.fleet.state.rows import VersionedRow


class RestorePolicy(abc.ABC):
    """Decides which held rows take precedence over a restored store.

    :ivar withhold_seconds: for how long a removed row that the restored store
        contains is withheld, unless it is written again; zero to accept it
        immediately.
    """

    withhold_seconds: float = 0.0

    @abc.abstractmethod
    def keeps(self, held: VersionedRow, restored: VersionedRow | None) -> bool:
        """Return whether the held row is kept in place of the restored one.

        :param held: the row in this router's copy of the table.
        :param restored: the row in the restored store, None if it has none.
        """


class AcceptAllPolicy(RestorePolicy):
    """Accepts every row of the restored store."""

    def keeps(self, held: VersionedRow, restored: VersionedRow | None) -> bool:
        """Return False: no held row is kept."""
        return False


class OperatorPolicy(RestorePolicy):
    """Keeps the operator's rows from reverting to a lower version."""

    def __init__(self, stored_format: StoredFormat) -> None:
        self._format = stored_format

    def keeps(self, held: VersionedRow, restored: VersionedRow | None) -> bool:
        """Return whether the held version is higher or no row is restored.

        A restored row replaces a held row whose version is unreadable.
        """
        if restored is None:
            return True
        known = self._decode_version(held)
        return known is not None and known > (
            self._decode_version(restored) or 0
        )

    def _decode_version(self, row: VersionedRow) -> int | None:
        """Return the operator's version in the value, None if unreadable."""
        assert row.value is not None, 'a row in a table has a value'
        try:
            catalogue = self._format.decode_catalogue(row.key, row.value)
            if catalogue is not None:
                return catalogue.version
            target = self._format.decode_target_weights(row.key, row.value)
        except ValueError:
            # The table's listener reports invalid rows.
            return None
        return target.version if target is not None else None


class UpstreamPolicy(RestorePolicy):
    """Prevents new requests to draining and removed upstreams.

    :param expiry_seconds: the time within which the store removes the entry
        of an upstream that has stopped.
    """

    def __init__(
        self, stored_format: StoredFormat, expiry_seconds: float
    ) -> None:
        self._format = stored_format
        self.withhold_seconds = expiry_seconds

    def keeps(self, held: VersionedRow, restored: VersionedRow | None) -> bool:
        """Return whether the held entry is draining and the restored is not.

        Both entries must be of the same start.
        """
        if restored is None:
            return False
        assert held.value is not None and restored.value is not None
        try:
            held_entry = self._format.decode_upstream(held.key, held.value)
            restored_entry = self._format.decode_upstream(
                restored.key, restored.value
            )
        except ValueError:
            # The table's listener reports invalid rows.
            return False
        return (
            held_entry.draining
            and not restored_entry.draining
            and (held_entry.start == restored_entry.start)
        )
