"""Decides whether a request is placed, queued or refused, and where it runs."""
