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

"""Runs routers and stand-ins as local processes, for tests."""

import dataclasses
import hashlib
import http.client
import json
import pathlib
import re
import tempfile
import time

from tests.support.process import ManagedProcess

OPERATOR_TOKEN = 'operator-token'
MODEL = 'clue-writer'
VERSION = 'v1'
ENGINE_GROUP = 'clue-llm'
SERVICE = 'grid-app'
ENGINE_CAN = (
    'reports_state = true, resumes_streams = true, continues_text = true,'
    ' echoes_request_id = true, checks_fencing = true'
)
SERVICE_CAN = 'echoes_request_id = true'


@dataclasses.dataclass
class Reply:
    """A complete HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body, decoded from JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> dict:
        """Return the error of a refusal."""
        return self.json()['error']


def digest(token: str) -> str:
    """Return the digest of a token for the configuration."""
    return hashlib.sha256(token.encode()).hexdigest()


def workspace(name: str, data_centres: list[str], **fields: object) -> dict:
    """Return a change that sets a workspace with the default permissions."""
    body = {
        'name': name,
        'data_centres': data_centres,
        'token_digests': [digest(f'{name}-token')],
        'models': [MODEL],
        'services': [SERVICE],
        'requests_per_second': 5000.0,
        'concurrent_requests': 1000,
        **fields,
    }
    return {'kind': 'workspace', 'name': name, 'body': body}


def model(version: str = VERSION) -> dict:
    """Return a change that sets the model."""
    body = {'name': MODEL, 'version': version, 'group': ENGINE_GROUP}
    return {'kind': 'model', 'name': MODEL, 'body': body}


def service() -> dict:
    """Return a change that sets the plain service."""
    body = {'name': SERVICE, 'group': SERVICE}
    return {'kind': 'service', 'name': SERVICE, 'body': body}


def request(
    address: str,
    method: str,
    target: str,
    token: str = '',
    content: object = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Reply:
    """Send a request and return the complete answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    all_headers = dict(headers or {})
    if token:
        all_headers['Authorization'] = f'Bearer {token}'
    body = content
    if content is not None and not isinstance(content, bytes):
        body = json.dumps(content).encode()
    try:
        connection.request(method, target, body, all_headers)
        answer = connection.getresponse()
        return Reply(
            answer.status,
            {name.lower(): value for name, value in answer.getheaders()},
            answer.read(),
        )
    finally:
        connection.close()


def wait_until(check, seconds: float = 15.0) -> None:  # noqa: ANN001
    """Wait until ``check`` returns a true value.

    :raises AssertionError: if it does not within ``seconds``.
    """
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() >= end:
            raise AssertionError(f'{check} did not hold in {seconds} s')
        time.sleep(0.02)


class Router:
    """A router process and its addresses."""

    def __init__(self, name: str, settings: pathlib.Path) -> None:
        self.name = name
        self.settings = settings
        self.process: ManagedProcess | None = None
        self.callers = ''
        self.operators = ''
        self.peers = ''

    def start(self, program: list[str] | None = None, *options: str) -> None:
        """Start the process without waiting until it is ready."""
        arguments = ['router', str(self.settings), *options]
        self.process = ManagedProcess(arguments, program)

    def wait_ready(self) -> None:
        """Wait until the process is ready and read its addresses."""
        assert self.process is not None
        line = self.process.wait_ready()
        found = dict(re.findall(r'(\w+)=([\d.]+:\d+)', line))
        self.callers = found['callers']
        self.operators = found['operators']
        self.peers = found['peers']

    def status(self) -> dict:
        """Return the status that the router reports to operators."""
        return request(
            self.operators, 'GET', '/intent/status', OPERATOR_TOKEN
        ).json()


class Deployment:
    """Stand-ins and routers, each on ports chosen by the system.

    :param data_centres: data centres, each with engines, services and routers.
    :param engines: number of engines per data centre.
    :param services: number of plain services per data centre.
    :param routers: number of routers per data centre.
    :param extra: TOML appended to the settings of each router.
    :param service_can: TOML of the capabilities of plain services.
    :param engine_can: TOML of the capabilities of engines.
    :param engine_arguments: further arguments of each engine process.
    """

    def __init__(
        self,
        data_centres: tuple[str, ...] = ('bkk-silom',),
        engines: int = 2,
        services: int = 1,
        routers: int = 1,
        extra: str = '',
        service_can: str = SERVICE_CAN,
        engine_can: str = ENGINE_CAN,
        engine_arguments: tuple[str, ...] = (),
    ) -> None:
        self.data_centres = data_centres
        self.standins: dict[str, ManagedProcess] = {}
        self.addresses: dict[str, str] = {}
        self.routers: dict[str, Router] = {}
        self._extra = extra
        self._service_can = service_can
        self._engine_can = engine_can
        self._engine_arguments = engine_arguments
        self._counts = (engines, services, routers)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._upstreams: dict[str, str] = {}

    def __enter__(self) -> 'Deployment':
        """Start all processes and wait until they are ready."""
        try:
            self._write_tokens()
            self._start_standins()
            for data_centre in self.data_centres:
                for number in range(1, self._counts[2] + 1):
                    self.add_router(data_centre, number).start()
            for router in self.routers.values():
                router.wait_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill all processes."""
        for router in self.routers.values():
            if router.process is not None:
                router.process.kill()
        for process in self.standins.values():
            process.kill()
        self._folder.cleanup()

    @property
    def router(self) -> Router:
        """Return the first router."""
        return next(iter(self.routers.values()))

    def start_standin(
        self, name: str, arguments: list[str], listen: str = '127.0.0.1:0'
    ) -> None:
        """Start a stand-in; to restart it, pass its address as ``listen``."""
        process = ManagedProcess(['standin', *arguments, '--listen', listen])
        self.standins[name] = process
        self.addresses[name] = process.wait_ready().split()[-1]

    def start_engine(
        self,
        name: str,
        version: str = VERSION,
        listen: str = '127.0.0.1:0',
        software: str = '',
    ) -> None:
        """Start an engine with the given versions of model and software."""
        arguments = ['engine', '--name', name, '--model', f'{MODEL}={version}']
        arguments += ['--software', software]
        arguments += self._engine_arguments
        self.start_standin(name, arguments, listen)

    def add_router(
        self, data_centre: str, number: int, extra: str = ''
    ) -> Router:
        """Write the settings of a router and return it, not started."""
        name = f'{data_centre}-{number}'
        path = self.folder / f'{name}.toml'
        path.write_text(self._write_settings(name, data_centre) + extra)
        router = Router(name, path)
        self.routers[name] = router
        return router

    def configure(
        self, changes: list[dict], router: Router | None = None
    ) -> dict:
        """Plan and confirm changes; return the plan once it is in force."""
        router = router or self.router
        created = self.call_intent_api(
            router, 'POST', '/intent/plans', changes=changes
        )
        assert created.status == 201, created.body
        plan_id = created.json()['plan']['plan_id']
        confirmed = self.call_intent_api(
            router,
            'POST',
            f'/intent/plans/{plan_id}/confirm',
            wait_seconds=20.0,
        )
        assert confirmed.status == 200, confirmed.body
        plan = confirmed.json()['plan']
        running = [
            item
            for item in self.routers.values()
            if item.process is not None and item.process.process.poll() is None
        ]
        for item in running:
            wait_until(lambda: item.status()['revision'] >= plan['revision'])
        return plan

    def configure_usual(self, **fields: object) -> None:
        """Configure the model, the plain service and one workspace."""
        data_centres = list(self.data_centres)
        self.configure(
            [model(), service(), workspace('daily', data_centres, **fields)]
        )

    def call_intent_api(
        self, router: Router, method: str, target: str, **content: object
    ) -> Reply:
        """Call the intent API of a router as an operator."""
        return request(
            router.operators,
            method,
            target,
            OPERATOR_TOKEN,
            content or None,
        )

    def set_faults(self, name: str, **faults: object) -> None:
        """Set the faults that a stand-in injects."""
        reply = request(
            self.addresses[name], 'PUT', '/standin/faults', content=faults
        )
        assert reply.status == 200, reply.body

    def count_arrivals(self, name: str, path: str) -> int:
        """Return the number of requests for a path received by a stand-in.

        A request is counted on arrival, before any fault delays it.
        """
        reply = request(self.addresses[name], 'GET', '/standin/arrivals')
        return reply.json().get(path, 0)

    def count_runs(self) -> dict[str, int]:
        """Return how often all plain services together executed each key."""
        runs: dict[str, int] = {}
        for name, address in self.addresses.items():
            if not name.startswith(SERVICE):
                continue
            reply = request(address, 'GET', '/standin/runs')
            for key, count in reply.json().items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def list_engines(self) -> list[str]:
        """Return the names of the engines."""
        return [item for item in self.addresses if item.startswith('engine')]

    def set_vms(self, **states: str) -> None:
        """Replace the VM list by VMs of the given names and states."""
        vms = [
            {'name': name, 'data_centre': '-', 'state': state}
            for name, state in states.items()
        ]
        request(
            self.addresses['vms'], 'PUT', '/standin/vms', content={'vms': vms}
        )

    def _start_standins(self) -> None:
        for name in ('table', 'objects', 'vms'):
            self.start_standin(name, [name])
        engines, services, _ = self._counts
        for data_centre in self.data_centres:
            for number in range(1, engines + 1):
                name = f'engine-{data_centre}-{number}'
                self._upstreams[name] = data_centre
                self.start_engine(name)
            for number in range(1, services + 1):
                name = f'{SERVICE}-{data_centre}-{number}'
                self._upstreams[name] = data_centre
                self.start_standin(name, ['service', '--name', name])

    def _write_tokens(self) -> None:
        # Written once, before any router starts, so that no router reads an
        # incomplete file.
        (self.folder / 'operators.toml').write_text(
            '[[operator]]\nname = "tester"\nrole = "confirmer"\n'
            f'token_digest = "{digest(OPERATOR_TOKEN)}"\n'
        )

    def _write_settings(self, name: str, data_centre: str) -> str:
        lines = [
            f'router = {{ name = "{name}", vm = "vm-{name}",'
            f' data_centre = "{data_centre}" }}',
            'listen = { callers = "127.0.0.1:0", operators = "127.0.0.1:0",'
            ' peers = "127.0.0.1:0" }',
            f'platform = {{ table = "{self.addresses["table"]}",'
            f' objects = "{self.addresses["objects"]}",'
            f' vms = "{self.addresses["vms"]}", timeout_seconds = 1.0 }}',
            'operators = { tokens_file = "operators.toml" }',
        ]
        if 'stop =' not in self._extra:
            lines.append('stop = { notice_seconds = 0.2 }')
        if 'control =' not in self._extra:
            lines.append(
                'control = { table_poll_seconds = 0.3,'
                ' vms_poll_seconds = 0.3, probe_seconds = 0.2 }'
            )
        lines.append(self._extra)
        for upstream, place in self._upstreams.items():
            lines.append(self._write_upstream(upstream, place))
        return '\n'.join(lines) + '\n'

    def _write_upstream(self, name: str, data_centre: str) -> str:
        is_engine = name.startswith('engine')
        kind = 'engine' if is_engine else 'service'
        group = ENGINE_GROUP if is_engine else SERVICE
        can = self._engine_can if is_engine else self._service_can
        return (
            f'[[upstream]]\nname = "{name}"\nkind = "{kind}"\n'
            f'group = "{group}"\ndata_centre = "{data_centre}"\n'
            f'address = "{self.addresses[name]}"\nvm = "vm-{name}"\n'
            f'can = {{ {can} }}\n'
        )
