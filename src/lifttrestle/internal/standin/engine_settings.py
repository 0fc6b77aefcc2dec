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

"""Settings of an engine stand-in."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """The size and speed of an engine stand-in.

    :ivar name: name of the engine, part of the IDs of its streams.
    :ivar versions: version of the weights for each loaded model.
    :ivar software: version of its software in its reports, may be empty.
    :ivar cache_blocks: number of blocks that fit into the prefix cache; the
        least recently used ones are evicted first.
    :ivar cache_seconds: how long an unused block stays cached.
    :ivar slots: number of generations that run at the same time.
    :ivar prefill_tokens_per_second: prefill rate for tokens not cached.
    :ivar decode_seconds: time to generate one token.
    :ivar checks_fencing: whether orders with a fencing number lower than an
        earlier one are refused.
    """

    name: str
    versions: dict[str, str]
    cache_blocks: int = 4096
    cache_seconds: float = 60.0
    slots: int = 32
    prefill_tokens_per_second: float = 200000.0
    decode_seconds: float = 0.002
    checks_fencing: bool = True
    software: str = ''
