"""Writes docs/reference/log_events.md from the typed events.

With `--check`, tells whether the page is up to date instead.
"""

from __future__ import annotations

import importlib
import inspect
import pathlib
import sys

from poplarwick_core import logs

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "reference" / "log_events.md"
MODULES = (
    "poplarwick_forwarding.log_events",
    "poplarwick_coordination.log_events",
    "poplarwick_catalogue.log_events",
    "poplarwick_platform.log_events",
    "poplarwick_node.log_events",
)
HEADING = """# Log events

Made by `scripts/write_log_reference.py` from the event classes; do not edit.

Every line is a row of `key=value` pairs and begins with `time` (UTC), `level`,
`event`, `at_s` (the instance's monotonic clock in seconds) and `instance`.
Fields that are not known are left out. Values with spaces stand in double
quotes, with `\\"`, `\\\\`, `\\n` and `\\r` escaped.
"""


def main() -> int:
    """Writes or checks the page."""
    text = make_page()
    if "--check" not in sys.argv[1:]:
        PAGE.write_text(text, encoding="utf-8")
        return 0
    if PAGE.read_text(encoding="utf-8") == text:
        return 0
    print(f"{PAGE} is out of date; run {__file__}", file=sys.stderr)
    return 1


def make_page() -> str:
    """Returns the text of the page."""
    parts = [HEADING]
    for name in MODULES:
        module = importlib.import_module(name)
        parts.append(f"\n## {(module.__doc__ or '').rstrip('.')}\n")
        kinds = [
            kind
            for _, kind in inspect.getmembers(module, inspect.isclass)
            if issubclass(kind, logs.Event) and kind.__module__ == name
        ]
        parts.extend(_describe(kind) for kind in kinds)
    return "".join(parts)


def _describe(kind: type[logs.Event]) -> str:
    doc = inspect.getdoc(kind) or ""
    summary, _, attributes = doc.partition("\n\nAttributes:\n")
    lines = [
        f"\n### `{logs.read_event_name(kind)}` ({kind.level.lower()})\n",
        f"\n{summary}\n",
    ]
    fields = inspect.cleandoc(attributes).replace("\n    ", " ")
    if fields:
        lines.append("\n")
        for line in fields.splitlines():
            name, _, text = line.partition(": ")
            lines.append(f"- `{name}`: {text}\n")
    return "".join(lines)


if __name__ == "__main__":
    sys.exit(main())
