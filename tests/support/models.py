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

"""Runs the state machine of a stateful test with derandomized examples."""

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful


def run_model(machine: type, examples: int = 200, steps: int = 40) -> None:
    """Run a state machine; raise the first failure, without shrinking it."""
    stateful.run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            report_multiple_bugs=False,
            phases=(Phase.generate,),
        ),
    )
