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

"""The numbers of a generated trace."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A day's hour at one deployment, in numbers.

    Lengths are in tokens and times in seconds. Workspaces get weights that
    fall like 1/rank, so that a few are large.

    :ivar sheets: puzzles or inventory sheets in use by each workspace.
    :ivar hot_share: the part of all requests that go to one hot sheet.
    :ivar hot_shifts: times at which another sheet becomes the hot one.
    :ivar burst_at: when a burst begins, or a negative time for none.
    :ivar urgent_share: the part of the burst that is of priority 0.
    """

    title: str
    upstreams: int
    rate: float
    seconds: float
    instructions: int
    sheet: int
    question: int
    output: int
    sheets: int
    workspaces: int = 8
    hot_share: float = 0.0
    hot_shifts: tuple[float, ...] = ()
    burst_at: float = -1.0
    burst_seconds: float = 0.0
    burst_factor: float = 1.0
    urgent_share: float = 0.0


SCENARIOS: dict[str, Scenario] = {
    'bangkok-morning': Scenario(
        title='Bangkok, the morning peak of the crosswords',
        upstreams=5,
        rate=30.0,
        seconds=120.0,
        instructions=1200,
        sheet=2400,
        question=80,
        output=60,
        sheets=6,
        burst_at=40.0,
        burst_seconds=40.0,
        burst_factor=1.6,
    ),
    'bangkok-contest': Scenario(
        title='Bangkok, Contest Sunday with a hot grid that shifts',
        upstreams=5,
        rate=36.0,
        seconds=120.0,
        instructions=1200,
        sheet=2400,
        question=80,
        output=60,
        sheets=4,
        hot_share=0.5,
        hot_shifts=(40.0, 80.0),
    ),
    'sofia-workbench': Scenario(
        title='Sofia, restorers rereading long inventory sheets',
        upstreams=5,
        rate=8.0,
        seconds=240.0,
        instructions=900,
        sheet=9000,
        question=150,
        output=120,
        sheets=3,
    ),
    'sofia-fire': Scenario(
        title='Sofia, a fire warning that displaces festival traffic',
        upstreams=5,
        rate=8.0,
        seconds=240.0,
        instructions=900,
        sheet=9000,
        question=150,
        output=120,
        sheets=3,
        burst_at=100.0,
        burst_seconds=30.0,
        burst_factor=3.0,
        urgent_share=0.3,
    ),
}
