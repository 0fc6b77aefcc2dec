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

"""Structured log events: decisions, state changes and their inputs.

An event has a name of the form ``subject.happened`` and fields. It is a
record of the standard library's loggers, so that tests and other programs
can handle it like any log record.
"""

import logging
import sys

ROOT = 'lifttrestle'
FIELDS = 'fields'
# Attribute of records that the rate limit does not apply to.
RATE_EXEMPT = 'whole'


class EventLog:
    """Logs the events of one component.

    It uses the standard library's loggers only: a logging library on top of
    them took 0.02 of the 0.45 s of CPU time that importing a router's modules
    takes.

    The keyword ``whole=True`` of a method exempts the event from the rate
    limit; it is not a field of the event.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that helps to debug the program."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need an operator's attention."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure."""
        self._log(logging.ERROR, event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log a failure with the traceback of the current exception."""
        self._log(logging.ERROR, event, fields, sys.exception())

    def critical(
        self,
        event: str,
        *,
        exc_info: BaseException | None = None,
        **fields: object,
    ) -> None:
        """Log what ends the process, with the traceback of ``exc_info``."""
        self._log(logging.CRITICAL, event, fields, exc_info)

    def _log(
        self,
        level: int,
        event: str,
        fields: dict[str, object],
        exc_info: BaseException | None = None,
    ) -> None:
        is_exempt = fields.pop(RATE_EXEMPT, False)
        extra = {FIELDS: fields, RATE_EXEMPT: is_exempt}
        self._logger.log(level, event, extra=extra, exc_info=exc_info)


def get_event_log(name: str) -> EventLog:
    """Return the event log of one component."""
    return EventLog(logging.getLogger(f'{ROOT}.{name}'))
