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

"""Merging and limiting the news of several routers, without I/O."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from lifttrestle.internal.fleet.news.messages import EngineNews
from lifttrestle.internal.fleet.news.messages import HeldEntry
from lifttrestle.internal.fleet.news.messages import SpeedEntry
from lifttrestle.internal.fleet.news.messages import UseEntry

# Upper bound of the values in a message; a larger one would be refused.
MAX_COUNT = 2**53
# Bytes of a message besides the name of its sender and its entries: the
# numbers with up to 9 bytes each and the headers of the lists.
HEADER_BYTES = 32
# Parts of a message for speeds and for uses. The rest is for held tokens, as
# an engine without memory preempts or rejects requests. What one list does
# not need goes to the others.
SPEEDS_SHARE = 0.25
USES_SHARE = 0.25
Entry = HeldEntry | SpeedEntry | UseEntry
T = TypeVar('T', HeldEntry, SpeedEntry, UseEntry)


def merge_news(news: Iterable[EngineNews]) -> EngineNews:
    """Return the combined news of several routers.

    Held tokens and uses are added, each shared part of an engine counts once.
    The lowest slowdown of an engine is kept with the sum of the samples.
    """
    tokens: dict[int, int] = {}
    parts: dict[int, dict[int, int]] = {}
    speeds: dict[int, tuple[int, int]] = {}
    uses: dict[int, tuple[int, int]] = {}
    for item in news:
        for held in item.held:
            tokens[held.engine] = tokens.get(held.engine, 0) + held.tokens
            known = parts.setdefault(held.engine, {})
            for digest, size in held.parts:
                known[digest] = max(known.get(digest, 0), size)
        for speed in item.speeds:
            lowest, samples = speeds.get(speed.engine, (MAX_COUNT, 0))
            speeds[speed.engine] = (
                min(lowest, speed.slowdown_percent),
                samples + speed.samples,
            )
        for use in item.uses:
            asked, used = uses.get(use.workspace, (0, 0))
            uses[use.workspace] = (asked + use.asked_ms, used + use.used_ms)
    return EngineNews(
        [
            HeldEntry(engine, _bound(total), list(parts[engine].items()))
            for engine, total in tokens.items()
        ],
        [
            SpeedEntry(engine, lowest, _bound(samples))
            for engine, (lowest, samples) in speeds.items()
        ],
        [
            UseEntry(workspace, _bound(asked), _bound(used))
            for workspace, (asked, used) in uses.items()
        ],
    )


def subtract_news(total: EngineNews, own: EngineNews) -> EngineNews:
    """Return merged news without the contribution of one router.

    A shared part stays in the result, since other routers may use it too; who
    adds up the memory of an engine must count a part once that this router
    uses as well. The same holds for the lowest slowdown, unless all samples
    are of this router.

    :param own: what ``total`` includes of the router.
    """
    own_held = {entry.engine: entry for entry in own.held}
    own_speeds = {entry.engine: entry.samples for entry in own.speeds}
    own_uses = {entry.workspace: entry for entry in own.uses}
    held = [
        _subtract_held(entry, own_held[entry.engine])
        if entry.engine in own_held
        else entry
        for entry in total.held
    ]
    speeds = [
        msgspec.structs.replace(
            entry, samples=entry.samples - own_speeds.get(entry.engine, 0)
        )
        for entry in total.speeds
        if entry.samples > own_speeds.get(entry.engine, 0)
    ]
    uses = [
        _subtract_use(entry, own_uses[entry.workspace])
        if entry.workspace in own_uses
        else entry
        for entry in total.uses
    ]
    return EngineNews(
        [entry for entry in held if entry.tokens or entry.parts],
        speeds,
        [entry for entry in uses if entry.asked_ms or entry.used_ms],
    )


def limit_message_news(
    news: EngineNews, vm: str, max_bytes: int
) -> EngineNews:
    """Return the most important entries that fit into a message.

    :param vm: sender of the message.
    :param max_bytes: size of the message in bytes.
    """
    return limit_news(news, max_bytes - HEADER_BYTES - len(vm.encode()))


def limit_news(news: EngineNews, max_bytes: int) -> EngineNews:
    """Return the most important of some entries.

    The tokens of small shared parts are added to those of their engine first,
    so that the sum of an engine stays right. Then the entries of the engines
    that hold least, are least slow, and of the workspaces that use least are
    left out.

    :param max_bytes: size of the entries in bytes.
    """
    rest = max_bytes - _measure([*news.held, *news.speeds, *news.uses])
    if rest >= 0:
        return news
    speeds_need = _measure(news.speeds)
    uses_need = _measure(news.uses)
    speeds_bytes = min(speeds_need, int(max_bytes * SPEEDS_SHARE))
    uses_bytes = min(uses_need, int(max_bytes * USES_SHARE))
    held = _limit_held(news.held, max_bytes - speeds_bytes - uses_bytes)
    spare = max_bytes - _measure(held) - uses_bytes
    speeds = _take(
        sorted(news.speeds, key=lambda entry: -entry.slowdown_percent), spare
    )
    spare = max_bytes - _measure(held) - _measure(speeds)
    uses = _take(
        sorted(
            news.uses, key=lambda entry: -max(entry.asked_ms, entry.used_ms)
        ),
        spare,
    )
    return EngineNews(held, speeds, uses)


def count_entries(news: EngineNews) -> int:
    """Return the number of entries of all lists."""
    return len(news.held) + len(news.speeds) + len(news.uses)


def _bound(value: int) -> int:
    return min(value, MAX_COUNT)


def _subtract_held(total: HeldEntry, own: HeldEntry) -> HeldEntry:
    tokens = max(total.tokens - own.tokens, 0)
    parts = list(total.parts)
    listed = {digest for digest, _ in parts}
    for digest, size in own.parts:
        if digest not in listed and tokens >= size:
            # The limit of the message added this part to the tokens.
            tokens -= size
            parts.append((digest, size))
    return HeldEntry(total.engine, tokens, parts)


def _subtract_use(total: UseEntry, own: UseEntry) -> UseEntry:
    return UseEntry(
        total.workspace,
        max(total.asked_ms - own.asked_ms, 0),
        max(total.used_ms - own.used_ms, 0),
    )


def _measure(entries: Iterable[Entry]) -> int:
    """Return the encoded size of entries in bytes."""
    return sum(len(msgspec.msgpack.encode(entry)) for entry in entries)


def _sum_held(entry: HeldEntry) -> int:
    return entry.tokens + sum(size for _, size in entry.parts)


def _limit_held(held: list[HeldEntry], max_bytes: int) -> list[HeldEntry]:
    entries = {entry.engine: entry for entry in held}
    size = _measure(held)
    parts = sorted(
        (tokens, entry.engine, digest)
        for entry in held
        for digest, tokens in entry.parts
    )
    for tokens, engine, digest in parts:
        if size <= max_bytes:
            break
        before = entries[engine]
        after = HeldEntry(
            engine,
            _bound(before.tokens + tokens),
            [part for part in before.parts if part[0] != digest],
        )
        entries[engine] = after
        size += _measure([after]) - _measure([before])
    if size <= max_bytes:
        return list(entries.values())
    ranked = sorted(entries.values(), key=_sum_held, reverse=True)
    return _take(ranked, max_bytes)


def _take(ranked: list[T], max_bytes: int) -> list[T]:
    """Return the first entries of a list that fit."""
    taken = []
    for entry in ranked:
        max_bytes -= _measure([entry])
        if max_bytes < 0:
            break
        taken.append(entry)
    return taken
