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

"""Direct delivery of news between simulated routers."""

from collections.abc import Sequence

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.source import NewsDraft
from lifttrestle.internal.fleet.news.source import NewsSource
from lifttrestle.internal.fleet.state.catalogue import CallerLimits
from lifttrestle.internal.fleet.state.catalogue import Catalogue
from lifttrestle.internal.fleet.state.catalogue import EngineConfig
from lifttrestle.internal.fleet.state.catalogue import Service

NEWS_SECONDS = 0.25
# The service of tests.support.entries.make_entry, with large slots.
SERVICE = 's'
CATALOGUE = Catalogue(
    1,
    {},
    {SERVICE: Service(SERVICE, 100, EngineConfig(2, 20_000, ('m',), 1e6))},
    CallerLimits(10_000, 10_000, 1.0, 1.0),
    None,
)


def exchange_news(sources: Sequence[NewsSource], now: float) -> None:
    """Deliver the speeds that each source knows to all others."""
    drafts = []
    known: dict[int, list[tuple[int, int]]] = {}
    for number, source in enumerate(sources):
        draft = NewsDraft()
        source.add_news(draft, now)
        drafts.append(draft)
        for entry in draft.speeds:
            found = known.setdefault(entry.engine, [])
            found.append((entry.slowdown_percent, number))
    samples: dict[int, int] = {}
    for draft in drafts:
        for entry in draft.speeds:
            total = samples.get(entry.engine, 0)
            samples[entry.engine] = total + entry.samples
    # Only the two lowest can be the lowest of all sources but one.
    lowest = {engine: sorted(found)[:2] for engine, found in known.items()}
    for number, source in enumerate(sources):
        own = {item.engine: item.samples for item in drafts[number].speeds}
        others = [
            SpeedEntry(
                engine, percents[0], samples[engine] - own.get(engine, 0)
            )
            for engine, found in lowest.items()
            if (percents := [item[0] for item in found if item[1] != number])
        ]
        source.apply_news(EngineNews(speeds=others), now)
