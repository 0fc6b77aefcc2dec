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

"""Lists the models that a workspace may use."""

import msgspec

from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.http.answer import Answer


def list_models(view: View, workspace: Workspace) -> Answer:
    """Return the answer to ``GET /v1/models``."""
    data = [
        {
            'id': name,
            'object': 'model',
            'created': 0,
            'owned_by': workspace.name,
        }
        for name in workspace.models
        if name in view.document.models
    ]
    body = msgspec.json.encode({'object': 'list', 'data': data})
    return Answer(200, (('content-type', 'application/json'),), body)
