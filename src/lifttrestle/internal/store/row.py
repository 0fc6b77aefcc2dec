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

"""A row of the table service and what a transaction says about it."""

import msgspec

ABSENT = 0
REMOVED = msgspec.Raw(b'null')


class Row(msgspec.Struct, frozen=True):
    """One row: its key, its JSON value and the commit that wrote it."""

    key: str
    value: msgspec.Raw
    version: int


class Check(msgspec.Struct, frozen=True):
    """A condition: the row still has this version; ``ABSENT`` for none."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Sets a row to a JSON value, or removes it with ``REMOVED``."""

    key: str
    value: msgspec.Raw

    @property
    def removes(self) -> bool:
        """Return whether the row is to be removed."""
        return bytes(self.value) == bytes(REMOVED)


def make_write(key: str, value: object) -> Write:
    """Return a write that sets a row to ``value``, encoded as JSON."""
    return Write(key, msgspec.Raw(msgspec.json.encode(value)))


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together if every check holds."""

    checks: tuple[Check, ...]
    writes: tuple[Write, ...]
