"""Decides where a request runs, waits or is refused."""
