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

"""Commands for operators, which call the intent API of a router."""

import argparse
import pathlib
import sys

import msgspec

from lifttrestle.internal.cli.intent_client import IntentClient
from lifttrestle.internal.cli.tables import print_items
from lifttrestle.internal.cli.tables import print_outcome
from lifttrestle.internal.cli.tables import print_status
from lifttrestle.internal.configuration.change import Change
from lifttrestle.internal.configuration.model import ItemKind

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_PENDING = 3
DEFAULT_WAIT_SECONDS = 5.0


class ChangeFile(msgspec.Struct, forbid_unknown_fields=True):
    """A TOML file of changes: items to set, names of items to remove."""

    workspace: tuple[dict[str, object], ...] = ()
    model: tuple[dict[str, object], ...] = ()
    service: tuple[dict[str, object], ...] = ()
    remove: tuple[dict[str, str], ...] = ()


def add_commands(commands: 'argparse._SubParsersAction') -> None:
    """Add the commands to the command line."""
    plan = _add_command(
        commands, 'plan', 'make a plan from a file of changes', _plan
    )
    plan.add_argument('changes', type=pathlib.Path, metavar='CHANGES')
    confirm = _add_command(
        commands, 'confirm', 'put a plan in force', _confirm
    )
    confirm.add_argument('plan_id', metavar='PLAN')
    confirm.add_argument(
        '--wait', type=float, default=DEFAULT_WAIT_SECONDS, metavar='SECONDS'
    )
    for name, text, run in (
        ('show', 'show a plan and the routers it waits for', _show),
        ('withdraw', 'withdraw a plan before it is accepted', _withdraw),
    ):
        parser = _add_command(commands, name, text, run)
        parser.add_argument('plan_id', metavar='PLAN')
    _add_command(commands, 'status', 'show the state of a router', _status)
    workspace = _add_command(
        commands, 'workspace', 'list the workspaces, or show one', _workspace
    )
    workspace.add_argument('name', nargs='?', default='', metavar='NAME')


def read_changes(path: pathlib.Path) -> list[Change]:
    """Return the changes in a TOML file.

    :raises OSError: if the file can't be read.
    :raises ValueError: if its content is malformed.
    :raises KeyError: if an item to remove lacks its kind or name.
    """
    text = path.read_text(encoding='utf-8')
    content = msgspec.toml.decode(text, type=ChangeFile)
    changes = [
        Change(kind, str(body.get('name', '')), body)
        for kind in ItemKind
        for body in getattr(content, kind.value)
    ]
    changes += [
        Change(ItemKind(item['kind']), item['name']) for item in content.remove
    ]
    return changes


def _add_command(
    commands: 'argparse._SubParsersAction',
    name: str,
    help_text: str,
    run: object,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=help_text)
    parser.add_argument(
        '--router',
        required=True,
        metavar='IP:PORT',
        help="the operators' address of any router",
    )
    parser.add_argument(
        '--token-file', type=pathlib.Path, required=True, metavar='FILE'
    )
    parser.add_argument(
        '--authority',
        type=pathlib.Path,
        metavar='FILE',
        help='use TLS and trust the certificates in this file',
    )
    parser.add_argument(
        '--json', action='store_true', help='print JSON, not a table'
    )
    parser.set_defaults(run=run)
    return parser


def _plan(options: argparse.Namespace) -> int:
    try:
        changes = read_changes(options.changes)
    except (OSError, ValueError, KeyError) as error:
        print(f'{options.changes}: {error}', file=sys.stderr)
        return EXIT_REFUSED
    content = {'changes': changes}
    return _call(options, 'POST', '/intent/plans', content, print_outcome)


def _confirm(options: argparse.Namespace) -> int:
    target = f'/intent/plans/{options.plan_id}/confirm'
    content = {'wait_seconds': options.wait}
    return _call(options, 'POST', target, content, print_outcome)


def _show(options: argparse.Namespace) -> int:
    target = f'/intent/plans/{options.plan_id}'
    return _call(options, 'GET', target, None, print_outcome)


def _withdraw(options: argparse.Namespace) -> int:
    target = f'/intent/plans/{options.plan_id}/withdraw'
    return _call(options, 'POST', target, None, print_outcome)


def _status(options: argparse.Namespace) -> int:
    return _call(options, 'GET', '/intent/status', None, print_status)


def _workspace(options: argparse.Namespace) -> int:
    target = '/intent/items/workspace'
    if options.name:
        target += f'/{options.name}'
    return _call(options, 'GET', target, None, print_items)


def _call(
    options: argparse.Namespace,
    method: str,
    target: str,
    content: object,
    print_table: object,
) -> int:
    client = IntentClient(
        options.router, options.token_file, options.authority
    )
    answer = client.call(method, target, content)
    body = msgspec.json.decode(answer.body)
    if options.json:
        print(answer.body.decode())
    elif 'error' in body:
        _print_error(body['error'])
    else:
        print_table(body)  # type: ignore[operator]
    if 'error' in body:
        return EXIT_REFUSED
    return EXIT_PENDING if answer.status == 202 else EXIT_OK


def _print_error(error: dict[str, object]) -> None:
    print(f'refused: {error["message"]}', file=sys.stderr)
    print(f'what to do: {error["remedy"]}', file=sys.stderr)
    fresh = error.get('fresh_plan')
    if isinstance(fresh, dict):
        print(f'fresh plan: {fresh["plan_id"]}', file=sys.stderr)
        for line in fresh['differences']:
            print(f'  {line}', file=sys.stderr)
