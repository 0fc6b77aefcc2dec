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

"""Checks the figures of a replay against the bounds stated for the trace."""

import pathlib

import msgspec

from lifttrestle.errors import SettingsInvalid
from lifttrestle.internal.replay.figures import Figures


class StatedOutcome(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the figures of one policy under one fault.

    :ivar hit_rate_of_ideal: minimum hit rate, as a fraction of the ideal one.
    :ivar first_p99: maximum of the 99th percentile of the time to the first
        token, in seconds.
    :ivar wasted_share: maximum number of wasted tokens, as a fraction of
        all prompt tokens.
    """

    policy: str
    fault: str
    hit_rate_of_ideal: float
    first_p99: float
    wasted_share: float


class OutcomeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file format of the outcomes stated for a trace."""

    outcome: tuple[StatedOutcome, ...]


def read_outcomes(path: pathlib.Path) -> tuple[StatedOutcome, ...]:
    """Return the outcomes in a file, or none if there is no such file.

    :raises SettingsInvalid: if the file can't be read or is malformed.
    """
    if not path.exists():
        return ()
    try:
        text = path.read_text(encoding='utf-8')
        return msgspec.toml.decode(text, type=OutcomeFile).outcome
    except (OSError, ValueError) as error:
        raise SettingsInvalid(
            f'{path}: {error}; write [[outcome]] tables as docs/TRACES.md says'
        ) from error


def find_differences(
    figures: Figures, stated: tuple[StatedOutcome, ...]
) -> list[str]:
    """Return a message for each stated bound that the figures violate."""
    lines = []
    for outcome in stated:
        if (outcome.policy, outcome.fault) != (figures.policy, figures.fault):
            continue
        title = f'{figures.policy}, {figures.fault}'
        ratio = figures.hit_rate / figures.ideal_hit_rate
        wasted = figures.wasted_tokens / figures.prompt_tokens
        if ratio < outcome.hit_rate_of_ideal:
            lines.append(
                f'{title}: hit rate is {ratio:.3f} of the ideal, stated'
                f' {outcome.hit_rate_of_ideal:g}'
            )
        if figures.first_p99 > outcome.first_p99:
            lines.append(
                f'{title}: p99 to the first token is'
                f' {figures.first_p99:.3f} s, stated {outcome.first_p99:g}'
            )
        if wasted > outcome.wasted_share:
            lines.append(
                f'{title}: {wasted:.4f} of the tokens are wasted, stated'
                f' {outcome.wasted_share:g}'
            )
    return lines
