"""Checks that each generated header records the digest of its schema."""
import hashlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def stale_headers():
    folders = (ROOT / "schema", ROOT / "platform" / "schema")
    for schema in sorted(path for folder in folders for path in folder.glob("*.json")):
        header = schema.parent.parent / "generated" / f"{schema.stem}.h"
        digest_line = "// schema-digest: " + hashlib.sha256(schema.read_bytes()).hexdigest()
        first_line = header.read_text().split("\n", 1)[0] if header.exists() else ""
        if first_line != digest_line:
            yield f"{header.relative_to(ROOT)} does not match {schema.relative_to(ROOT)}"


if __name__ == "__main__":
    problems = list(stale_headers())
    print("\n".join(problems))
    sys.exit(1 if problems else 0)
