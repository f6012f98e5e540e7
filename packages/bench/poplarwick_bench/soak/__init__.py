"""Fault soak of real instances against stand-ins for the users' platform."""
