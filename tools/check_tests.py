"""Checks a ctest log: succeeds if every failure is listed in KNOWN-RED.txt.

An entry is a line "red: TEST: REGEX". A failed test is covered if each of its output lines that
begin with "FAILED" matches, from the start, the expression of an entry of this test, and its summary
line ("N passed, M failed") counts as many failures. Usage: tools/check_tests.py CTEST_LOG
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = re.compile(r"^red: (\w+): (.+)$", re.MULTILINE)
RESULT = re.compile(r"^ *\d+/\d+ Test +#\d+: (\w+) \.*( +Passed|\*{3}\w[\w ]*?) +[\d.]+ sec", re.MULTILINE)
SUMMARY = re.compile(r"^\d+% tests passed, (\d+) tests? failed out of (\d+)$", re.MULTILINE)
TEST_SUMMARY = re.compile(r"^\d+ passed, (\d+) failed\b", re.MULTILINE)


def results(log):
    """Yields (test, result, output) per test; ctest prints the output of failed tests only."""
    found = list(RESULT.finditer(log))
    output_ends = [match.start() for match in found[1:]] + [len(log)]
    for match, end in zip(found, output_ends):
        yield match[1], match[2].strip(" *"), log[match.end():end]


def is_covered(test, result, output, entries):
    failures = re.findall(r"^FAILED.*$", output, re.MULTILINE)
    counts = TEST_SUMMARY.findall(output)
    return (result == "Failed" and failures and counts == [str(len(failures))]
            and all(any(name == test and re.match(regex, line) for name, regex in entries)
                    for line in failures))


def main():
    log = pathlib.Path(sys.argv[1]).read_text()
    entries = ENTRY.findall((ROOT / "KNOWN-RED.txt").read_text())
    summary = SUMMARY.search(log)
    tests = list(results(log))
    failed = [each for each in tests if each[1] != "Passed"]
    if not summary or (int(summary[1]), int(summary[2])) != (len(failed), len(tests)):
        print("the log of ctest is not complete")
        return 1
    uncovered = [test for test, *rest in failed if not is_covered(test, *rest, entries)]
    for test, *_ in failed:
        print(f"{test}: " + ("failed, not in KNOWN-RED.txt" if test in uncovered else "known red"))
    return 1 if uncovered else 0


if __name__ == "__main__":
    sys.exit(main())
