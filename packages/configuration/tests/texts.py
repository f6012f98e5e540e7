"""Builds small document texts."""

import json

DIGEST = "0" * 64


def make_text(environment="trial", weight=1, **changes):
    """Returns the text of a valid document with some fields replaced."""
    content = {
        "environment": environment,
        "organisations": [{"id": "soap", "keys": [], "weight": weight}],
        "models": [
            {"id": "lm", "context_tokens": 10_000, "memory_tokens": 20_000}
        ],
        "services": [{"id": "orders", "routes": [{"path": "/"}]}],
        "domains": [{"id": "d1", "region": "r1"}],
        "endpoints": [
            {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"},
            {"id": "e2", "address": "h:2", "domain": "d1", "service": "orders"},
        ],
    }
    content.update(changes)
    return "// as written\n" + json.dumps(content, indent=2) + "\n"
