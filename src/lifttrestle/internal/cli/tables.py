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

"""Prints answers of the intent API as text."""

import typing

Body = dict[str, typing.Any]


def print_outcome(body: Body) -> None:
    """Print a plan, its differences and the routers that it waits for."""
    plan = body['plan']
    print(f'plan      {plan["plan_id"]}')
    print(f'state     {plan["state"]}')
    print(f'made on   revision {plan["base"]} by {plan["made_by"]}')
    if plan['revision']:
        print(f'in force  as revision {plan["revision"]}')
    print(f'concerns  {", ".join(plan["concerns"]) or "no data centre"}')
    for line in plan['differences']:
        print(f'  {line}')
    for data_centre, routers in sorted(body['waiting_for'].items()):
        print(f'waits for {data_centre}: {", ".join(routers)}')


def print_status(body: Body) -> None:
    """Print the state of a router and of its upstreams."""
    print(f'router    {body["router"]} in {body["data_centre"]}')
    print(f'ready     {_format_bool(body["ready"])}')
    print(f'revision  {body["revision"]} {body["digest"][:12]}')
    print(f'proposal  {body["proposal"] or "none"}')
    print(f'table     {"answers" if body["table_up"] else "is out"}')
    print(f'routers   {", ".join(body["routers"])}')
    rows = [
        (
            item['name'],
            item['data_centre'],
            item['group'],
            'leaving' if item['leaving'] else item['breaker'],
            str(item['in_flight']),
            ' '.join(f'{k}@{v}' for k, v in item['versions'].items()),
        )
        for item in body['upstreams']
    ]
    titles = ('UPSTREAM', 'DATA CENTRE', 'GROUP', 'STATE', 'RUNNING', 'MODELS')
    print_rows([titles, *rows])


def print_items(body: typing.Any) -> None:
    """Print all fields of one workspace, or a table of workspaces."""
    if isinstance(body, dict):
        for key, value in body.items():
            print(f'{key:22}{value}')
        return
    titles = ('WORKSPACE', 'DATA CENTRES', 'MODELS', 'SERVICES')
    rows = [
        (
            item['name'],
            ' '.join(item['data_centres']),
            ' '.join(item['models']),
            ' '.join(item['services']),
        )
        for item in body
    ]
    print_rows([titles, *rows])


def print_rows(rows: list[tuple[str, ...]]) -> None:
    """Print rows in aligned columns; the first row contains the titles."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        print('  '.join(cells).rstrip())


def _format_bool(value: bool) -> str:
    return 'yes' if value else 'no'
