"""Load and experiment tool, fault proxy and invariant checks."""
