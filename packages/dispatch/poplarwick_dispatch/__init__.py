"""Admission, scheduling and grants at the owner of an endpoint."""
