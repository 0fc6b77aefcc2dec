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

"""TLS, roles, traces, peer messages, metrics and the installable file."""

import datetime
import ipaddress
import pathlib
import socket
import ssl
import subprocess
import sys
import unittest

import cryptography.hazmat.primitives.asymmetric.ec as ec
import cryptography.hazmat.primitives.hashes as hashes
import cryptography.hazmat.primitives.serialization as serialization
import cryptography.x509 as x509
import pynng

from lifttrestle.internal.cli.main import main
from lifttrestle.internal.replay.trace import read_trace
from tests.support.deployment import Deployment
from tests.support.deployment import digest
from tests.support.deployment import MODEL
from tests.support.deployment import OPERATOR_TOKEN
from tests.support.deployment import request
from tests.support.deployment import wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def write_certificate(folder: pathlib.Path) -> None:
    """Write a key and a self-signed certificate for the loopback address."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name(
        [x509.NameAttribute(x509.oid.NameOID.COMMON_NAME, 'test')]
    )
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / 'tls.crt').write_bytes(certificate.public_bytes(pem))
    (folder / 'tls.key').write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


class TestTls(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.deployment = Deployment(
            engines=0,
            extra='tls = { callers_certificate = "tls.crt",'
            ' callers_key = "tls.key",'
            ' operators_certificate = "tls.crt",'
            ' operators_key = "tls.key" }',
        )
        write_certificate(cls.deployment.folder)
        cls.enterClassContext(cls.deployment)

    def test_callers_endpoint_accepts_tls_only(self) -> None:
        router = self.deployment.router
        host, _, port = router.callers.rpartition(':')
        authority = str(self.deployment.folder / 'tls.crt')
        context = ssl.create_default_context(cafile=authority)
        with socket.create_connection((host, int(port)), 10) as raw:
            with context.wrap_socket(raw, server_hostname=host) as secured:
                secured.sendall(b'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n')
                self.assertIn(b'200 OK', secured.recv(1000))
        with self.assertRaises(OSError):
            request(router.callers, 'GET', '/ready', timeout=5)

    def test_command_with_an_authority(self) -> None:
        token = self.deployment.folder / 'token'
        token.write_text(OPERATOR_TOKEN)
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'lifttrestle',
                'status',
                '--router',
                self.deployment.router.operators,
                '--token-file',
                str(token),
                '--authority',
                str(self.deployment.folder / 'tls.crt'),
            ],
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertIn('ready     yes', done.stdout, done.stderr)


class TestRoles(unittest.TestCase):
    def test_each_role_has_its_permissions(self) -> None:
        deployment = Deployment(engines=0)
        self.enterContext(deployment)
        router = deployment.router
        router.process.stop()
        tokens = deployment.folder / 'operators.toml'
        for role in ('reader', 'planner'):
            tokens.write_text(
                tokens.read_text()
                + f'[[operator]]\nname = "{role}"\nrole = "{role}"\n'
                f'token_digest = "{digest(role)}"\n'
            )
        router.start()
        router.wait_ready()
        statuses = {}
        change = {'kind': 'service', 'name': 'x', 'body': None}
        plan = {'changes': [change]}
        for role in ('reader', 'planner', OPERATOR_TOKEN):
            made = request(
                router.operators, 'POST', '/intent/plans', role, plan
            )
            confirmed = request(
                router.operators, 'POST', '/intent/plans/00/confirm', role
            )
            read = request(router.operators, 'GET', '/intent/status', role)
            statuses[role] = (made.status, confirmed.status, read.status)
        self.assertEqual(statuses['reader'], (403, 403, 200))
        self.assertEqual(statuses['planner'], (201, 403, 200))
        self.assertEqual(statuses[OPERATOR_TOKEN], (201, 404, 200))


class TestRecord(unittest.TestCase):
    def test_recorded_trace_can_be_replayed_and_contains_no_text(self) -> None:
        deployment = Deployment(engines=1, services=0)
        self.enterContext(deployment)
        router = deployment.router
        router.process.stop()
        path = deployment.folder / 'recorded.jsonl'
        router.start(None, '--record', str(path))
        router.wait_ready()
        deployment.configure_usual(services=[])
        for number in range(3):
            body = {
                'model': MODEL,
                'messages': [
                    {'role': 'system', 'content': 'a secret sheet ' * 50},
                    {'role': 'user', 'content': f'secret {number}'},
                ],
            }
            reply = request(
                router.callers,
                'POST',
                '/v1/chat/completions',
                'daily-token',
                body,
            )
            self.assertEqual(reply.status, 200)
        self.assertEqual(router.process.stop(), 0)
        self.assertNotIn(b'secret', path.read_bytes())
        trace = read_trace(path)
        self.assertEqual(len(trace.requests), 3)
        digests = {item.levels[0] for item in trace.requests}
        self.assertEqual(len(digests), 1)
        self.assertEqual(main(['replay', str(path)]), 0)


class TestPeersEndpoint(unittest.TestCase):
    def test_invalid_messages_are_dropped_and_the_exchange_continues(
        self,
    ) -> None:
        deployment = Deployment(engines=0, routers=2)
        self.enterContext(deployment)
        one, two = deployment.routers.values()
        for message in (b'', b'garbage', b'\x81\xa4type\x01', b'\xc1' * 99):
            with pynng.Req0(recv_timeout=200) as socket:
                socket.dial(f'tcp://{one.peers}')
                socket.send(message)
                with self.assertRaises(pynng.Timeout):
                    socket.recv()
        wait_until(lambda: two.status()['live_routers'] == 2)
        two.process.stop()
        wait_until(lambda: one.status()['live_routers'] == 1)
        two.start()
        two.wait_ready()
        wait_until(lambda: one.status()['live_routers'] == 2)


class TestMetrics(unittest.TestCase):
    def test_requests_are_counted_over_udp(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(('127.0.0.1', 0))
            sink.settimeout(10)
            port = sink.getsockname()[1]
            deployment = Deployment(
                engines=0,
                extra=f'statsd = {{ host = "127.0.0.1", port = {port} }}',
            )
            self.enterContext(deployment)
            deployment.configure_usual()
            request(
                deployment.router.callers, 'GET', '/grid-app/x', 'daily-token'
            )
            seen = set()

            def is_counted() -> bool:
                seen.add(sink.recv(1000).decode())
                return 'lifttrestle.requests.daily:1|c' in seen

            wait_until(is_counted)


class TestDistribution(unittest.TestCase):
    """The file that ``make dist`` builds runs without any other file."""

    def test_router_runs_from_the_built_file(self) -> None:
        built = subprocess.run(
            ['make', 'dist'], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(built.returncode, 0, built.stderr)
        deployment = Deployment(engines=0)
        self.enterContext(deployment)
        router = deployment.router
        router.process.stop()
        router.start([sys.executable, str(ROOT / 'dist/lifttrestle.pyz')])
        router.wait_ready()
        deployment.configure_usual()
        reply = request(router.callers, 'GET', '/grid-app/x', 'daily-token')
        self.assertEqual(reply.status, 200)
        # The router must not start any child process.
        tasks = pathlib.Path(f'/proc/{router.process.pid}/task')
        children = [
            (item / 'children').read_text() for item in tasks.iterdir()
        ]
        self.assertEqual(''.join(children).strip(), '')


if __name__ == '__main__':
    unittest.main()
