"""Judges the log of ctest: passes if each failed test is an entry of KNOWN-RED.txt, and only that.

An entry is a line "red: TEST: REGEX". A failed test is covered if each of its lines that begin with
"FAILED" matches the expression of one of its entries from the start, and its closing line counts
just as many failures. Usage: tools/check_tests.py CTEST_LOG
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = re.compile(r"^red: (\w+): (.+)$", re.MULTILINE)
RESULT = re.compile(r"^ *\d+/\d+ Test +#\d+: (\w+) \.*( +Passed|\*{3}\w[\w ]*?) +[\d.]+ sec", re.MULTILINE)
SUMMARY = re.compile(r"^\d+% tests passed, (\d+) tests? failed out of (\d+)$", re.MULTILINE)
CLOSING = re.compile(r"^\d+ passed, (\d+) failed\b", re.MULTILINE)


def results(log):
    """(test, result, output) of each test; ctest prints the output of failed tests alone."""
    found = list(RESULT.finditer(log))
    ends = [match.start() for match in found[1:]] + [len(log)]
    for match, end in zip(found, ends):
        yield match[1], match[2].strip(" *"), log[match.end():end]


def is_covered(test, result, output, entries):
    failures = re.findall(r"^FAILED.*$", output, re.MULTILINE)
    counts = CLOSING.findall(output)
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
