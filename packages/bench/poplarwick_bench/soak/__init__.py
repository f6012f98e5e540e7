"""Fault soak: real instances against stand-ins of the users' platform."""
