"""Forwards callers' requests to endpoints and returns the responses."""
