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

"""Registered routers, as stored in the table service."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One running router process.

    :ivar instance: id that is unique to this process, so that a restarted
        router has to acknowledge plans again.
    :ivar peers: address, as HOST:PORT, at which other routers reach it.
    :ivar listed: whether its VM has appeared in the VM list. The list lags,
        so a VM that is missing from it is either new or gone; only one that
        was listed before can be gone.
    """

    instance: str
    name: str
    vm: str
    data_centre: str
    peers: str
    listed: bool = False


class Members(msgspec.Struct, frozen=True):
    """The table row that lists all registered routers."""

    routers: tuple[Member, ...] = ()

    def add(self, member: Member) -> 'Members':
        """Return the row with ``member`` in place of its predecessor.

        A process of the same name on the same VM is a restart of that
        router; its predecessor has ended, since two processes can't bind one
        address.
        """
        others = tuple(
            item for item in self.routers if not _is_same_router(item, member)
        )
        return Members((*others, member))

    def contains(self, instance: str) -> bool:
        """Return whether the row lists a process."""
        return any(item.instance == instance for item in self.routers)

    def remove(self, instances: set[str]) -> 'Members':
        """Return the row without the processes of these instance ids."""
        return Members(
            tuple(
                item for item in self.routers if item.instance not in instances
            )
        )


def _is_same_router(known: Member, member: Member) -> bool:
    return known.name == member.name and known.vm == member.vm
