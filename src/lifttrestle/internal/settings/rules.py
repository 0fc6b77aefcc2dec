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

"""Constraints on the values of a settings file beyond their types.

They are checked on the parsed document, not on the converted settings, so
that a file with schema faults has its other faults reported too. A value of
the wrong type is skipped here: the schema check reports it.
"""

import collections
from collections.abc import Iterator
import pathlib
import typing

from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.limits import HttpLimits
from lifttrestle.internal.http.memory_budget import compute_largest_body
from lifttrestle.internal.settings.schema import Finding

Data = dict[str, typing.Any]
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
POSITIVE_SECTIONS = ('deadlines', 'control', 'http', 'admission', 'platform')
ZERO_ALLOWED_SECTIONS = ('stop',)
ENGINE = 'engine'


def find_rule_faults(data: Data) -> Iterator[Finding]:
    """Yield (key, value, remedy) for every violated constraint."""
    yield from _check_names(_get_table(data, 'router'))
    yield from _check_addresses(data)
    yield from _check_numbers(data)
    yield from _check_memory(_get_table(data, 'http'))
    yield from _check_upstreams(_get_tables(data, 'upstream'))
    yield from _check_files(data)
    level = _get_table(data, 'log').get('level', LOG_LEVELS[1])
    if level not in LOG_LEVELS:
        yield 'log.level', level, f'use one of: {", ".join(LOG_LEVELS)}'


def _check_names(router: Data) -> Iterator[Finding]:
    for name in ('name', 'vm', 'data_centre'):
        value = router.get(name)
        if isinstance(value, str) and not value.strip():
            yield f'router.{name}', value, 'use a name that is not blank'


def _check_addresses(data: Data) -> Iterator[Finding]:
    entries: list[tuple[str, object]] = []
    for section, names in (
        ('listen', ('callers', 'operators', 'peers')),
        ('platform', ('table', 'objects', 'vms')),
    ):
        table = _get_table(data, section)
        entries += [(f'{section}.{name}', table.get(name)) for name in names]
    seeds = _get_table(data, 'peers').get('seeds')
    if isinstance(seeds, list):
        for index, seed in enumerate(seeds):
            entries.append((f'peers.seeds[{index}]', seed))
    for index, upstream in enumerate(_get_tables(data, 'upstream')):
        entries.append((f'upstream[{index}].address', upstream.get('address')))
    for key, text in entries:
        if not isinstance(text, str):
            continue
        try:
            parse_address(text)
        except ValueError as error:
            yield key, text, str(error)


def _check_numbers(data: Data) -> Iterator[Finding]:
    for section in POSITIVE_SECTIONS:
        for name, value in _get_table(data, section).items():
            if _is_number(value) and not value > 0:
                yield f'{section}.{name}', value, 'use a number above 0'
    for section in ZERO_ALLOWED_SECTIONS:
        for name, value in _get_table(data, section).items():
            if _is_number(value) and not value >= 0:
                yield f'{section}.{name}', value, 'use a number of at least 0'


def _check_memory(http: Data) -> Iterator[Finding]:
    defaults = HttpLimits()
    body = http.get('body_bytes', defaults.body_bytes)
    memory = http.get('memory_bytes', defaults.memory_bytes)
    if not (_is_number(body) and _is_number(memory)):
        return
    largest = compute_largest_body(int(memory))
    if body > largest:
        yield (
            'http.body_bytes',
            body,
            f'use at most {largest}, or raise http.memory_bytes',
        )


def _check_upstreams(upstreams: list[Data]) -> Iterator[Finding]:
    names = collections.Counter(
        str(upstream.get('name')) for upstream in upstreams
    )
    for index, upstream in enumerate(upstreams):
        path = f'upstream[{index}]'
        name = upstream.get('name')
        if names[str(name)] > 1:
            yield f'{path}.name', name, 'give each upstream a unique name'
        for field in ('slots', 'prefill_tokens_per_second'):
            value = upstream.get(field)
            if _is_number(value) and not value > 0:
                yield f'{path}.{field}', value, 'use a number above 0'
        capabilities = _get_table(upstream, 'can')
        reports = capabilities.get('reports_state') is True
        if upstream.get('kind') == ENGINE and not reports:
            yield (
                f'{path}.can.reports_state',
                capabilities.get('reports_state', '(missing)'),
                'an engine must report its model versions, otherwise the'
                ' router cannot tell whether its answers are current; set'
                ' this to true',
            )


def _check_files(data: Data) -> Iterator[Finding]:
    tls = _get_table(data, 'tls')
    entries = [(f'tls.{name}', value) for name, value in tls.items()]
    for section, name in (
        ('operators', 'tokens_file'),
        ('platform', 'token_file'),
    ):
        entries.append(
            (f'{section}.{name}', _get_table(data, section).get(name))
        )
    for key, value in entries:
        if isinstance(value, str) and value:
            if not pathlib.Path(value).is_file():
                yield key, value, 'no such file; use the path of a file'
    for listener in ('callers', 'operators'):
        certificate = tls.get(f'{listener}_certificate')
        if bool(certificate) != bool(tls.get(f'{listener}_key')):
            yield (
                f'tls.{listener}_certificate',
                certificate,
                'set both the certificate and the key, or neither',
            )


def _get_table(data: Data, name: str) -> Data:
    table = data.get(name)
    return table if isinstance(table, dict) else {}


def _get_tables(data: Data, name: str) -> list[Data]:
    tables = data.get(name)
    if not isinstance(tables, list):
        return []
    return [table if isinstance(table, dict) else {} for table in tables]


def _is_number(value: object) -> typing.TypeGuard[int | float]:
    return isinstance(value, int | float) and not isinstance(value, bool)
