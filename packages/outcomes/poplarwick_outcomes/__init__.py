"""Outcomes, idempotency claims and answer streams."""
