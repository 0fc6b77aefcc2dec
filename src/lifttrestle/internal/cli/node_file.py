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

"""Reads the settings file that the platform writes for one router."""

import os
import pathlib

from returns.result import Failure

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.fleet.settings import FleetSettings
from lifttrestle.internal.platform.names import SETTINGS_VARIABLE
from lifttrestle.internal.platform.node_settings import check_node_settings

SETTINGS_HELP = f'the file that the platform wrote (${SETTINGS_VARIABLE})'


def find_node_file(given: pathlib.Path | None) -> pathlib.Path:
    """Return the given path, or the one in ``SETTINGS_VARIABLE``."""
    return given or pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))


def load_node_settings(
    path: pathlib.Path, metrics_port: int = 0
) -> FleetSettings:
    """Return the settings in a file.

    :param metrics_port: port on which to serve metrics; 0 disables this.
    :raises SettingsInvalid: with every fault of the file, one per line.
    """
    result = check_node_settings(path, metrics_port)
    if isinstance(result, Failure):
        lines = [str(fault) for fault in result.failure()]
        raise SettingsInvalid('\n'.join(lines))
    return result.unwrap()
