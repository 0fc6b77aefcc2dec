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

"""The configured upstreams of a router, by name and group."""

from collections.abc import Iterator

from lifttrestle.internal.clock.clock import Clock
from lifttrestle.internal.http.address import parse_address
from lifttrestle.internal.http.client_pool import ClientPool
from lifttrestle.internal.membership.listed_vms import ListedVms
from lifttrestle.internal.settings.router import RouterSettings
from lifttrestle.internal.settings.upstream import UpstreamKind
from lifttrestle.internal.store.vm import Vm
from lifttrestle.internal.store.vm import VmState
from lifttrestle.internal.upstream.exclusion import AttemptContext
from lifttrestle.internal.upstream.exclusion import Exclusion
from lifttrestle.internal.upstream.exclusion import find_exclusion
from lifttrestle.internal.upstream.exclusion import Target
from lifttrestle.internal.upstream.state import UpstreamState


class UpstreamRegistry:
    """Holds the state of each upstream and selects those for a request."""

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, UpstreamState] = {}
        self._groups: dict[tuple[UpstreamKind, str], list[UpstreamState]] = {}
        self._listed = ListedVms()
        for item in settings.upstream:
            pool = ClientPool(
                parse_address(item.address), clock, settings.deadlines.connect
            )
            state = UpstreamState(item, pool)
            self._states[item.name] = state
            group = self._groups.setdefault((item.kind, item.group), [])
            group.append(state)

    def __iter__(self) -> Iterator[UpstreamState]:
        """Iterate over the upstreams in the order of the settings."""
        return iter(self._states.values())

    def get(self, name: str) -> UpstreamState:
        """Return the upstream with that name."""
        return self._states[name]

    def list_available(
        self, target: Target, tried: set[str]
    ) -> list[UpstreamState]:
        """Return the upstreams that may serve ``target`` now."""
        context = AttemptContext(tried, self._clock.monotonic())
        return [
            upstream
            for upstream in self._list_group(target)
            if find_exclusion(upstream, target, context) is Exclusion.NONE
        ]

    def explain(self, target: Target, tried: set[str]) -> str:
        """Return why no upstream may serve ``target``, for the log."""
        context = AttemptContext(tried, self._clock.monotonic())
        reasons = [
            f'{upstream.name}'
            f' {find_exclusion(upstream, target, context).value}'
            for upstream in self._list_group(target)
        ]
        return ', '.join(reasons) or 'no upstream of this group'

    def _list_group(self, target: Target) -> list[UpstreamState]:
        return self._groups.get((target.kind, target.group), [])

    def apply_vms(self, vms: dict[str, Vm]) -> None:
        """Mark the upstreams whose VM is leaving or no longer listed."""
        self._listed.update(vms)
        for upstream in self._states.values():
            name = upstream.settings.vm
            if not self._listed.was_listed(name):
                continue
            vm = vms.get(name)
            upstream.leaving = vm is None or vm.state is VmState.LEAVING

    def close(self) -> None:
        """Close all pooled connections."""
        for upstream in self._states.values():
            upstream.pool.close()
