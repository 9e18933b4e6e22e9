"""Checks that each generated header records the digest of its schema."""
import hashlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def stale_headers():
    folders = (ROOT / "schema", ROOT / "platform" / "schema")
    for schema in sorted(path for folder in folders for path in folder.glob("*.json")):
        header = schema.parent.parent / "generated" / f"{schema.stem}.h"
        mark = "// schema-digest: " + hashlib.sha256(schema.read_bytes()).hexdigest()
        first = header.read_text().split("\n", 1)[0] if header.exists() else ""
        if first != mark:
            yield f"{header.relative_to(ROOT)} does not match {schema.relative_to(ROOT)}"


if __name__ == "__main__":
    found = list(stale_headers())
    print("\n".join(found))
    sys.exit(1 if found else 0)
