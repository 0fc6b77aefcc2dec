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

"""Refuses requests to paths before their release time."""

import datetime
import posixpath
import re
import urllib.parse

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind

PATH_PARAMETER = re.compile(r';[^/]*')


def normalise_path(path: str) -> str:
    """Return a path as the service will interpret it.

    Escapes are decoded, parameters after a semicolon removed and dot segments
    resolved, so that no other spelling of a path bypasses its embargo.
    """
    decoded = path
    while '%' in decoded:
        once = urllib.parse.unquote(decoded)
        if once == decoded:
            break
        decoded = once
    slashes = PATH_PARAMETER.sub('', decoded.replace('\\', '/'))
    normal = posixpath.normpath('/' + slashes.lstrip('/'))
    if slashes.endswith('/') and normal != '/':
        normal += '/'
    return normal


def check_embargo(
    workspace: Workspace,
    service: str,
    path: str,
    now: datetime.datetime,
    clock_error_seconds: float,
) -> None:
    """Refuse a request to a path that is not released yet.

    :param clock_error_seconds: how far the clock may be ahead. The path is
        opened later by that much, so that it never opens early.
    :raises RequestRefused: if it is not released; ``retry_after`` is the time
        until it will be.
    """
    normal = normalise_path(path).lower()
    earliest_now = now - datetime.timedelta(seconds=clock_error_seconds)
    for embargo in workspace.embargoes:
        if embargo.service != service or embargo.release <= earliest_now:
            continue
        if normal.startswith(normalise_path(embargo.path_prefix).lower()):
            wait = (embargo.release - earliest_now).total_seconds()
            raise RequestRefused(
                ErrorKind.EMBARGOED,
                f'{path!r} is closed until {embargo.release.isoformat()}',
                field='path',
                retry_after=wait,
            )
