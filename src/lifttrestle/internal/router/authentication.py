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

"""Authenticates requests by their bearer token, from the head alone."""

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
    """Return the digest by which the configuration lists a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def identify_workspace(head: RequestHead, view: View) -> Workspace:
    """Return the workspace to which the token of a request belongs.

    :raises RequestRefused: if the token is missing or unknown.
    """
    digest = digest_token(read_token(head))
    name = view.document.workspace_by_token.get(digest)
    if name is None:
        raise RequestRefused(
            ErrorKind.UNAUTHORISED,
            'the bearer token is unknown',
            field='authorization',
        )
    return view.document.workspaces[name]


def check_data_centre(workspace: Workspace, data_centre: str) -> None:
    """Refuse a request whose workspace may not be served here.

    This is checked on the head alone, before any byte of the prompt is read.

    :param data_centre: the data centre of this router.
    :raises RequestRefused: with the data centres that may serve it.
    """
    if data_centre in workspace.data_centres:
        return
    raise RequestRefused(
        ErrorKind.WRONG_PLACE,
        f'workspace {workspace.name!r} is not served in {data_centre!r};'
        ' send it to'
        f' {", ".join(workspace.data_centres) or "no data centre yet"}',
        field='data_centre',
        details={'data_centres': list(workspace.data_centres)},
    )
