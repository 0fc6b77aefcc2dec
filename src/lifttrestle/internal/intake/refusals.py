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

"""Tells of data of other writers that is refused."""

from collections.abc import Callable

from lifttrestle.errors import InputRefused
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('intake')


def _count_nowhere(source: str, fault: str) -> None:
    """Count nothing: there are no metrics."""


class InputRefusals:
    """Writes one log line and counts one for each piece that is refused.

    :param count: is called with the source and the fault's name.
    """

    def __init__(
        self, count: Callable[[str, str], None] = _count_nowhere
    ) -> None:
        self._count = count

    def report(self, source: str, key: str, error: ValueError) -> None:
        """Tell of a refused piece.

        :param source: the table or the kind of message, from a short list.
        :param key: the row's key, or who sent the message.
        """
        fault = InputFault.FIELD
        if isinstance(error, InputRefused):
            fault = error.fault
        LOG.error(
            'input.refused',
            source=source,
            key=key,
            fault=fault.value,
            reason=str(error),
        )
        self._count(source, fault.value)
