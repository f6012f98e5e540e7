"""Forwards callers' requests to endpoints and answers back."""
