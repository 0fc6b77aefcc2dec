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

"""Structured events: what was decided or believed, and from which inputs.

An event has a name of the form ``subject.happened`` and fields. It passes
through the standard library's loggers, so that tests and other programs can
take it in as any log record.
"""

import logging
from typing import Any

import structlog

ROOT = 'lifttrestle'
FIELDS = 'fields'
# Marks a record that no rate may leave out.
WHOLE = 'whole'


def get_event_log(name: str) -> structlog.stdlib.BoundLogger:
    """Return the log for events of one part of the program."""
    return structlog.wrap_logger(
        logging.getLogger(f'{ROOT}.{name}'),
        processors=[structlog.stdlib.filter_by_level, _pack_fields],
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )


def _pack_fields(
    _logger: object, _method: str, event: Any
) -> tuple[tuple[str], dict[str, Any]]:
    """Hand the fields on within the log record."""
    name = event.pop('event')
    packed: dict[str, Any] = {'extra': {FIELDS: event}}
    packed['extra'][WHOLE] = event.pop(WHOLE, False)
    if 'exc_info' in event:
        packed['exc_info'] = event.pop('exc_info')
    return (name,), packed
