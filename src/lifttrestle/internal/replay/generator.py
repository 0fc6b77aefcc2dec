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

"""Generates traces of a scenario from a seed."""

import hashlib
import random

from lifttrestle.internal.replay.request import TraceRequest
from lifttrestle.internal.replay.scenario import Scenario
from lifttrestle.internal.replay.trace import make_header
from lifttrestle.internal.replay.trace import Trace

DIGEST_BYTES = 8
URGENT_PRIORITY = 0
DEFAULT_PRIORITY = 5
LOW_PRIORITY = 8


def generate_trace(scenario: Scenario, seed: int) -> Trace:
    """Generate a trace; equal seeds give equal traces."""
    source = random.Random(seed)
    requests = []
    at = 0.0
    number = 0
    while True:
        at += source.expovariate(_get_request_rate(scenario, at))
        if at >= scenario.duration_seconds:
            break
        number += 1
        requests.append(_make_request(scenario, source, at, number))
    return Trace(make_header(scenario.title, scenario.upstreams), requests)


def _get_request_rate(scenario: Scenario, at: float) -> float:
    return scenario.requests_per_second * (
        scenario.burst_factor if _is_burst(scenario, at) else 1.0
    )


def _is_burst(scenario: Scenario, at: float) -> bool:
    if scenario.burst_at < 0:
        return False
    end = scenario.burst_at + scenario.burst_seconds
    return scenario.burst_at <= at < end


def _make_request(
    scenario: Scenario, source: random.Random, at: float, number: int
) -> TraceRequest:
    ranks = range(1, scenario.workspaces + 1)
    weights = [1 / rank for rank in ranks]
    workspace = source.choices(ranks, weights)[0]
    document = source.randrange(scenario.documents)
    if source.random() < scenario.hot_share:
        workspace = 1
        shifts = sum(at >= shift for shift in scenario.hot_shifts)
        document = scenario.documents + shifts
    question_tokens = max(int(source.gauss(scenario.question_tokens, 20)), 10)
    instructions_end = scenario.instruction_tokens
    document_end = instructions_end + scenario.document_tokens
    levels = (
        (_hash(f'{workspace}'), instructions_end),
        (_hash(f'{workspace} {document}'), document_end),
    )
    urgent = (
        _is_burst(scenario, at) and source.random() < scenario.urgent_share
    )
    priority = DEFAULT_PRIORITY if workspace <= 2 else LOW_PRIORITY
    return TraceRequest(
        at=round(at, 6),
        workspace=f'workspace-{workspace}',
        model='model',
        levels=levels,
        tokens=document_end + question_tokens,
        output_tokens=max(
            int(source.expovariate(1 / scenario.output_tokens)), 1
        ),
        priority=URGENT_PRIORITY if urgent else priority,
    )


def _hash(text: str) -> str:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()
