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

"""Rows of the table service, and transactions on them."""

import msgspec

ABSENT = 0
REMOVED = msgspec.Raw(b'null')


class Row(msgspec.Struct, frozen=True):
    """A row of the table.

    :ivar value: the encoded JSON value.
    :ivar version: the number of the commit that wrote the row.
    """

    key: str
    value: msgspec.Raw
    version: int


class Check(msgspec.Struct, frozen=True):
    """Precondition of a transaction: the version of a row is unchanged.

    :ivar version: the expected version, ``ABSENT`` if the row must not exist.
    """

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row to an encoded JSON value; ``REMOVED`` deletes the row."""

    key: str
    value: msgspec.Raw

    @property
    def is_removal(self) -> bool:
        """Return whether the write deletes the row."""
        return bytes(self.value) == bytes(REMOVED)


def make_write(key: str, value: object) -> Write:
    """Return the write that sets a row to ``value``, encoded as JSON."""
    return Write(key, msgspec.Raw(msgspec.json.encode(value)))


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
