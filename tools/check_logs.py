"""Checks that docs/LOGS.md lists exactly the log events of the entry host (`anvilmill machine`)."""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("src/daemon/batch", "src/daemon/loop", "platform")
EVENT = re.compile(r'"((?:host|hosts|job|run|executor|peer|store|server|settings|socket|log|configuration|evacuation)\.[a-zA-Z]{2,})"')


def logged_events():
    files = [path for folder in FOLDERS for path in (ROOT / folder).glob("*.cpp")]
    files += [ROOT / "src/tools/machinecommand.cpp", ROOT / "src/daemon/linebuffer.cpp"]
    return {event for path in files for event in EVENT.findall(path.read_text())}


def documented_events():
    rows = re.findall(r"^\| `([a-zA-Z.]+)`", (ROOT / "docs/LOGS.md").read_text(), re.MULTILINE)
    return set(rows)


if __name__ == "__main__":
    code, page = logged_events(), documented_events()
    for event in sorted(code - page):
        print(f"docs/LOGS.md does not list {event}")
    for event in sorted(page - code):
        print(f"docs/LOGS.md lists {event}, but the code does not log it")
    sys.exit(0 if code == page else 1)
