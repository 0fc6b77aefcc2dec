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

"""Messages by which routers share what they decide by under load.

News is a state, not an increment: the newest message of a sender replaces the
last one, so a lost, repeated or late message has no lasting effect.
"""

from typing import Annotated

import msgspec

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Digests of starts and of workspaces have four bytes.
ShortDigest = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class HeldEntry(msgspec.Struct, frozen=True, array_like=True):
    """KV cache that the running requests of some routers use at an engine.

    :ivar engine: short digest of the start of the engine.
    :ivar tokens: tokens of the unshared parts of prompts and of answers.
    :ivar parts: short digests and tokens of the shared parts in use.
    """

    engine: ShortDigest
    tokens: Count
    parts: list[tuple[ShortDigest, Count]] = []


class SpeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """How slow an engine or plain upstream was recently.

    :ivar engine: short digest of the start of the upstream.
    :ivar slowdown_percent: lowest observed time to first token, as a
        percentage of the expected one.
    :ivar samples: number of answers that were observed.
    """

    engine: ShortDigest
    slowdown_percent: Count
    samples: Count


class UseEntry(msgspec.Struct, frozen=True, array_like=True):
    """Engine time of a workspace, in milliseconds per second.

    :ivar workspace: short digest of the name of the workspace.
    :ivar asked_ms: engine time of the requests that arrived.
    :ivar used_ms: engine time of the requests that were sent to engines.
    """

    workspace: ShortDigest
    asked_ms: Count
    used_ms: Count


class EngineNews(msgspec.Struct, frozen=True, array_like=True):
    """What one or more routers know; each list has one entry per key."""

    held: list[HeldEntry] = []
    speeds: list[SpeedEntry] = []
    uses: list[UseEntry] = []


class NewsReport(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """News of one router; replaces its previous report.

    :ivar number: sequence number of the report.
    :ivar for_aggregator: the receiver merges it with other reports.
    """

    vm: str
    number: Count
    news: EngineNews
    for_aggregator: bool = False


class GroupNews(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Merged news of all routers that report to the aggregator ``vm``."""

    vm: str
    number: Count
    news: EngineNews


class FleetNews(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Merged news of all routers, sent to one of them.

    :ivar included: number of the receiver's own report that the news contains,
        zero if there is none.
    """

    vm: str
    number: Count
    included: Count
    news: EngineNews


NewsMessage = NewsReport | GroupNews | FleetNews
