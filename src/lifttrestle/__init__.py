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

"""Routes language-model requests within their permitted data centres.

The product is the command ``lifttrestle``. The public names of this package
are for programs that use its settings and errors; everything else is under
``internal``.
"""

from lifttrestle.errors import LifttrestleError
from lifttrestle.errors import RequestRefused
from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.refusal.execution import Execution
from lifttrestle.internal.refusal.kind import ErrorKind

__version__ = '0.1.0'

__all__ = [
    'ErrorKind',
    'Execution',
    'LifttrestleError',
    'RequestRefused',
    'SettingsInvalid',
    '__version__',
]
