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

"""Logs and counts refused data of other processes."""

from collections.abc import Callable

from lifttrestle.errors import InputRefused
from lifttrestle.internal.intake.fault import InputFault
from lifttrestle.internal.telemetry.event_log import get_event_log

LOG = get_event_log('intake')


def _discard_count(source: str, fault: str) -> None:
    """Discard the count of a process that has no metrics."""


class InputRefusals:
    """Logs and counts each refused row or message.

    :param count: called with the source and the value of the fault.
    """

    def __init__(
        self, count: Callable[[str, str], None] = _discard_count
    ) -> None:
        self._count = count

    def report(self, source: str, key: str, error: ValueError) -> None:
        """Log and count a refused row or message.

        :param source: the table or the kind of message. It labels a metric,
            so its values must be few.
        :param key: key of the row, or address of the sender.
        :param error: the reason; other errors than ``InputRefused`` count as
            a fault of a field.
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
