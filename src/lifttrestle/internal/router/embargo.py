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

"""Keeps paths closed until their release time."""

import datetime
import posixpath
import re
import urllib.parse

from lifttrestle.errors import RequestRefused
from lifttrestle.internal.configuration.model import Workspace
from lifttrestle.internal.refusal.kind import ErrorKind

PARAMETER = re.compile(r';[^/]*')


def normalise_path(path: str) -> str:
    """Return a path as the service will read it.

    Escapes are decoded, parameters behind a semicolon dropped and dots
    resolved, so that no other spelling of a closed path gets around its rule.
    """
    decoded = path
    while '%' in decoded:
        once = urllib.parse.unquote(decoded)
        if once == decoded:
            break
        decoded = once
    slashes = PARAMETER.sub('', decoded.replace('\\', '/'))
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
    """Refuse a path that is not released yet.

    :param clock_error_seconds: how far this clock may be ahead; the path
        opens when even a slow clock would say so.
    :raises RequestRefused: with the time until the release.
    """
    normal = normalise_path(path).lower()
    sure = now - datetime.timedelta(seconds=clock_error_seconds)
    for embargo in workspace.embargoes:
        if embargo.service != service or embargo.release <= sure:
            continue
        if normal.startswith(normalise_path(embargo.path_prefix).lower()):
            wait = (embargo.release - sure).total_seconds()
            raise RequestRefused(
                ErrorKind.EMBARGOED,
                f'{path!r} is closed until {embargo.release.isoformat()}',
                field='path',
                retry_after=wait,
            )
