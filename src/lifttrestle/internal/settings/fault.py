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

"""A fault in a settings file, as shown to the operator."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Fault:
    """An invalid or missing value in a settings file and how to correct it.

    :ivar line: the line number from 1, or 0 if it is not known.
    :ivar key: the dotted path of the key; indices are in brackets.
    :ivar value: the invalid value as text.
    :ivar remedy: what is wrong or how to correct it.
    """

    file: str
    line: int
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        """Return ``FILE:LINE: KEY = VALUE: REMEDY``."""
        location = f'{self.file}:{self.line}' if self.line else self.file
        return f'{location}: {self.key} = {self.value}: {self.remedy}'
