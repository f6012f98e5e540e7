"""Caller-facing HTTP API."""
