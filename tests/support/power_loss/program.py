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

"""Builds and starts routers the way ``deploy/system.toml`` does."""

import compileall
import os
import pathlib
import shlex
import shutil
import sys
import sysconfig
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[3]
DEPLOY = ROOT / 'deploy'
BUILT_APP = 'target/app'


class DeployedProgram:
    """The program as deployed: a compiled copy of the package.

    :param folder: where to build it.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._app = folder / 'app'

    def build(self) -> None:
        """Copy and compile the package."""
        self._app.mkdir(parents=True)
        shutil.copytree(
            ROOT / 'src' / 'lifttrestle',
            self._app / 'lifttrestle',
            ignore=shutil.ignore_patterns('__pycache__'),
        )
        shutil.copy(DEPLOY / '__main__.py', self._app)
        compileall.compile_dir(self._app, quiet=1)

    def get_command(self, metrics_port: int, settings: str) -> list[str]:
        """Return the command of a router: that of the deployment."""
        text = (DEPLOY / 'system.toml').read_text()
        role = tomllib.loads(text)['roles']['router']
        words = shlex.split(role['run'])
        words[0] = sys.executable
        words[words.index(BUILT_APP)] = str(self._app)
        port = words.index('--metrics-port') + 1
        words[port] = str(metrics_port)
        return [*words, settings]

    def get_environment(self) -> dict[str, str]:
        """Return the environment, in which only dependencies are importable.

        The deployment installs these in a folder of their own.
        """
        dependencies = sysconfig.get_paths()['purelib']
        return {**os.environ, 'PYTHONPATH': dependencies}
