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

"""Parameters of generated traces."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load of one deployment.

    A prompt consists of instructions, which all requests of a workspace
    share, a document such as a puzzle or an inventory sheet, and a question.
    The share of a workspace is proportional to 1/rank, so that a few
    workspaces send most requests. All times are in seconds.

    :ivar requests_per_second: mean request rate outside of bursts.
    :ivar question_tokens: mean length of a question.
    :ivar output_tokens: mean length of an answer.
    :ivar documents: number of documents in use by each workspace.
    :ivar hot_share: fraction of all requests that refer to one hot document
        of the first workspace.
    :ivar hot_shifts: times at which another document becomes the hot one.
    :ivar burst_at: start time of a burst, or a negative number for none.
    :ivar burst_factor: request rate during a burst, relative to the mean.
    :ivar urgent_share: fraction of the burst that has priority 0.
    """

    title: str
    upstreams: int
    requests_per_second: float
    duration_seconds: float
    instruction_tokens: int
    document_tokens: int
    question_tokens: int
    output_tokens: int
    documents: int
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
        requests_per_second=30.0,
        duration_seconds=120.0,
        instruction_tokens=1200,
        document_tokens=2400,
        question_tokens=80,
        output_tokens=60,
        documents=6,
        burst_at=40.0,
        burst_seconds=40.0,
        burst_factor=1.6,
    ),
    'bangkok-contest': Scenario(
        title='Bangkok, Contest Sunday with a hot grid that shifts',
        upstreams=5,
        requests_per_second=36.0,
        duration_seconds=120.0,
        instruction_tokens=1200,
        document_tokens=2400,
        question_tokens=80,
        output_tokens=60,
        documents=4,
        hot_share=0.5,
        hot_shifts=(40.0, 80.0),
    ),
    'sofia-workbench': Scenario(
        title='Sofia, restorers rereading long inventory sheets',
        upstreams=5,
        requests_per_second=8.0,
        duration_seconds=240.0,
        instruction_tokens=900,
        document_tokens=9000,
        question_tokens=150,
        output_tokens=120,
        documents=3,
    ),
    'sofia-fire': Scenario(
        title='Sofia, a fire warning that displaces festival traffic',
        upstreams=5,
        requests_per_second=8.0,
        duration_seconds=240.0,
        instruction_tokens=900,
        document_tokens=9000,
        question_tokens=150,
        output_tokens=120,
        documents=3,
        burst_at=100.0,
        burst_seconds=30.0,
        burst_factor=3.0,
        urgent_share=0.3,
    ),
}
