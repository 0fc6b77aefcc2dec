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

"""Authorisation of operators by the digests of their tokens."""

import pathlib

import msgspec

from lifttrestle.errors import RequestRefused
from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.http.head import RequestHead
from lifttrestle.internal.operators.role import Role
from lifttrestle.internal.refusal.kind import ErrorKind
from lifttrestle.internal.router.authentication import digest_token
from lifttrestle.internal.router.authentication import read_token


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator; the file holds only the digest of the token."""

    name: str
    role: Role
    token_digest: str


class TokenFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the tokens file."""

    operator: tuple[Operator, ...] = ()


class OperatorTokens:
    """Identifies the operator of a request and checks the role."""

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._by_digest = {item.token_digest: item for item in operators}

    def authorise(self, head: RequestHead, required: Role) -> Operator:
        """Return the operator who sent a request.

        :raises RequestRefused: if there is no token, it is unknown or its
            role does not include ``required``.
        """
        operator = self._by_digest.get(digest_token(read_token(head)))
        if operator is None:
            raise RequestRefused(
                ErrorKind.UNAUTHORISED,
                'the bearer token belongs to no operator of this router',
                field='authorization',
            )
        if not operator.role.includes(required):
            raise RequestRefused(
                ErrorKind.ROLE_LACKING,
                f'operator {operator.name!r} is a {operator.role.value};'
                f' this request requires a {required.value}',
                field='role',
            )
        return operator


def load_tokens(path: str) -> OperatorTokens:
    """Read the tokens file; an empty path means no operators.

    :raises SettingsInvalid: if the file can't be read or decoded.
    """
    if not path:
        return OperatorTokens(())
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        content = msgspec.toml.decode(text, type=TokenFile)
    except (OSError, ValueError) as error:
        raise SettingsInvalid(
            f'{path}: {error}; write [[operator]] tables with name, role and'
            ' token_digest'
        ) from error
    return OperatorTokens(content.operator)
