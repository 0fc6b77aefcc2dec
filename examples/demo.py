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

"""Runs an example deployment on this machine and shows what a router does.

All processes are part of this repository: two routers, and stand-ins for the
engines, the other services and the platform. They listen on the loopback
addresses that the files in ``examples/bangkok`` set.
"""

import pathlib
import sys
import tomllib

import openai

from tests.support.deployment import request
from tests.support.process import ManagedProcess

FOLDER = pathlib.Path(__file__).parent / 'bangkok'
SYSTEM_PROMPT = (
    'You write hints for the morning crossword. Never give the answer. '
)
MESSAGES = [
    {'role': 'system', 'content': SYSTEM_PROMPT * 60},
    {'role': 'user', 'content': 'A hint for 7 down, "escapement"?'},
]


def main() -> int:
    """Run the demonstration and return the exit code."""
    processes: list[ManagedProcess] = []
    try:
        run(processes)
        codes = [process.stop() for process in reversed(processes)]
    finally:
        for process in processes:
            process.kill()
    show('stopped', f'by SIGTERM, exit codes {codes}')
    return 1 if any(codes) else 0


def run(processes: list[ManagedProcess]) -> None:
    """Start all processes and run the steps of the demonstration."""
    start_standins(processes)
    routers = start_routers(processes)
    configure()
    silom = read_settings('silom-1')['listen']['callers']
    bangna = read_settings('bangna-1')['listen']['callers']
    stream_twice(silom)
    call_service(silom)
    show_refusal(bangna)
    show_log(routers[0])


def start_standins(processes: list[ManagedProcess]) -> None:
    """Start the stand-ins for the external systems."""
    text = (FOLDER / 'standins.toml').read_text()
    standins = tomllib.loads(text)['standin']
    for item in standins:
        arguments = ['standin', item['kind'], '--listen', item['listen']]
        arguments += item.get('arguments', [])
        processes.append(ManagedProcess(arguments))
    for process in processes:
        process.wait_ready()
    show('stand-ins', f'{len(standins)} processes')


def start_routers(processes: list[ManagedProcess]) -> list[ManagedProcess]:
    """Start a router in each data centre."""
    routers = []
    for name in ('silom-1', 'bangna-1'):
        routers.append(
            ManagedProcess(['router', str(FOLDER / f'{name}.toml')])
        )
    processes.extend(routers)
    for router in routers:
        show('router', router.wait_ready().partition('ready ')[2])
    return routers


def configure() -> None:
    """Plan and confirm a change of the configuration, as an operator does."""
    plan = operate('plan', str(FOLDER / 'workspaces.toml'))
    plan_id = plan.split()[1]
    show('plan', f'lifttrestle plan workspaces.toml -> {plan_id}')
    outcome = operate('confirm', plan_id)
    show('confirm', ' '.join(outcome.split()[2:4]))
    for line in operate('workspace').splitlines():
        show('', line)


def operate(*arguments: str) -> str:
    """Run an operator's command and return what it prints."""
    operators = read_settings('silom-1')['listen']['operators']
    process = ManagedProcess(
        [
            *arguments,
            '--router',
            operators,
            '--token-file',
            str(FOLDER / 'operator.token'),
        ]
    )
    if process.wait() != 0:
        raise SystemExit('\n'.join(process.lines))
    return '\n'.join(process.lines)


def stream_twice(address: str) -> None:
    """Stream one answer twice with an unmodified client library."""
    client = openai.OpenAI(
        base_url=f'http://{address}/v1',
        api_key=read_token('ware-daily'),
        max_retries=0,
    )
    for title in ('first answer', 'second answer'):
        stream = client.chat.completions.create(
            model='clue-writer',
            messages=MESSAGES,
            max_tokens=12,
            stream=True,
            stream_options={'include_usage': True},
        )
        text = ''
        for chunk in stream:
            for choice in chunk.choices:
                text += choice.delta.content or ''
            usage = chunk.usage
        cached = usage.prompt_tokens_details.cached_tokens
        show(title, text.strip())
        show('', f'{cached} of {usage.prompt_tokens} prompt tokens cached')
    client.close()


def call_service(address: str) -> None:
    """Submit a grid twice with the same idempotency key."""
    for title in ('submission', 'sent again'):
        reply = request(
            address,
            'POST',
            '/grid-app/submissions',
            read_token('ware-daily'),
            b'grid 7',
            {'Idempotency-Key': 'solver-42-grid-7'},
        )
        body = reply.json()
        result = body.get('error', {}).get('message') or f'runs {body["runs"]}'
        show(title, f'{reply.status} {result}')


def show_refusal(address: str) -> None:
    """Send a request to a data centre that its workspace may not use."""
    reply = request(
        address, 'GET', '/grid-app/grids/7', read_token('silom-only')
    )
    show('outside', f'{reply.status} {reply.error["message"]}')
    show('', f'ran: {reply.error["ran"]}')


def show_log(router: ManagedProcess) -> None:
    """Print the decision log lines of a router."""
    for line in router.lines:
        if 'routing:' in line:
            show('log', line.partition('INFO ')[2])


def read_settings(name: str) -> dict:
    """Return a router's settings."""
    return tomllib.loads((FOLDER / f'{name}.toml').read_text())


def read_token(name: str) -> str:
    """Return an example token."""
    return (FOLDER / f'{name}.token').read_text().strip()


def show(title: str, text: str) -> None:
    """Print one line."""
    print(f'{title:14}{text}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
