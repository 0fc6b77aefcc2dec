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

"""Runs every test, prints the counts, and knows the known failures.

``KNOWN-RED.txt`` at the root may list, one a line, up to three tests that
fail for a real fault: ``TEST, CAUSE, ISSUE``. The run passes over just these,
prints them, and fails if one of them passes, so that the list stays true.
"""

import logging
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MAX_KNOWN_RED = 3
SLOWEST_SHOWN = 5


class TimedResult(unittest.TextTestResult):
    """Remembers how long each test took, and which passed."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.seconds: dict[str, float] = {}
        self.passed: set[str] = set()
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:
        """Note the start."""
        self._started = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:
        """Note the end."""
        self.seconds[test.id()] = time.monotonic() - self._started
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Note a pass."""
        self.passed.add(test.id())
        super().addSuccess(test)


def read_known_red() -> dict[str, str]:
    """Return the listed tests with their causes."""
    if not KNOWN_RED.exists():
        return {}
    lines = [
        line.strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.strip() and not line.startswith('#')
    ]
    if len(lines) > MAX_KNOWN_RED:
        sys.exit(f'{KNOWN_RED.name} lists {len(lines)} tests; 3 at most')
    return {line.split(',')[0].strip(): line for line in lines}


def main(names: list[str]) -> int:
    """Run the named tests, or all; return the exit code."""
    # What the code under test logs is no part of the report.
    logging.getLogger('lifttrestle').addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(resultclass=TimedResult, verbosity=1)
    result = runner.run(suite)
    assert isinstance(result, TimedResult)
    return report(result, bool(names))


def report(result: TimedResult, partial: bool) -> int:
    """Print the counts and return the exit code."""
    known = read_known_red()
    bad = {test.id() for test, _ in result.failures + result.errors}
    bad |= {test.id() for test in result.unexpectedSuccesses}
    expected = bad & known.keys()
    mended = sorted(known.keys() & result.passed)
    slowest = sorted(result.seconds, key=result.seconds.__getitem__)
    for name in reversed(slowest[-SLOWEST_SHOWN:]):
        print(f'{result.seconds[name]:6.2f} s  {name}')
    for name in sorted(expected):
        print(f'known failure: {known[name]}')
    for name in mended:
        print(f'listed as failing, but passes; take it off: {name}')
    passed = len(result.passed)
    skipped = len(result.skipped)
    print(f'{passed} passed, {len(bad)} failed, {skipped} skipped')
    unknown = known.keys() - bad - result.passed
    if unknown and not partial:
        print(f'listed as failing, but not run: {sorted(unknown)}')
        return 1
    if not passed or bad - expected or mended:
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
