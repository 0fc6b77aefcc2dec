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

"""Finds the workspace of a request from its head alone."""

import hashlib

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.configuration.view import View
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.refusal.kind import ErrorKind

SCHEME = 'bearer'


def read_token(head: RequestHead) -> str:
    """Return the bearer token of a request.

    :raises RequestRefused: if there is none.
    """
    scheme, _, token = head.get_header('authorization').partition(' ')
    if scheme.lower() != SCHEME or not token.strip():
        raise RequestRefused(
            ErrorKind.UNAUTHORISED,
            'the request has no bearer token',
            field='authorization',
        )
    return token.strip()


def digest_token(token: str) -> str:
    """Return the digest under which a token is configured."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify_workspace(head: RequestHead, view: View) -> Workspace:
    """Return the workspace whose token the request carries.

    :raises RequestRefused: for a missing or unknown token.
    """
    digest = digest_token(read_token(head))
    name = view.document.workspace_by_token.get(digest)
    if name is None:
        raise RequestRefused(
            ErrorKind.UNAUTHORISED,
            'the bearer token is not known here',
            field='authorization',
        )
    return view.document.workspaces[name]


def check_place(workspace: Workspace, data_centre: str) -> None:
    """Refuse a request whose workspace may not be served here.

    Only the head was read: no byte of the prompt is taken in.

    :raises RequestRefused: naming the data centres that may serve it.
    """
    if data_centre in workspace.data_centres:
        return
    raise RequestRefused(
        ErrorKind.WRONG_PLACE,
        f'workspace {workspace.name!r} is not served in {data_centre!r};'
        f' send it to {", ".join(workspace.data_centres) or "no place yet"}',
        field='data_centre',
        details={'data_centres': list(workspace.data_centres)},
    )
