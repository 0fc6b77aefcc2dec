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

"""Configures logging to standard error, one line per message."""

import logging
import sys

FORMAT = '%(asctime)s %(levelname)s %(message)s'
ROOT = 'lifttrestle'


def set_up_logs(level: str) -> None:
    """Log the package's messages of at least ``level``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT))
    root = logging.getLogger(ROOT)
    root.handlers = [handler]
    root.setLevel(level.upper())
    root.propagate = False
