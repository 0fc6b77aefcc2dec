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

"""How long an upstream that declines a request is sent nothing.

It may ask for a pause. The pause is kept by this router alone, and the others
keep theirs.
"""

# A longer pause would take an upstream out of service for good by mistake.
MAX_REQUESTED_SECONDS = 600.0


def limit_pause(seconds: float) -> float:
    """Return the pause that is kept when an upstream asks for ``seconds``."""
    return min(max(seconds, 0.0), MAX_REQUESTED_SECONDS)
