"""Elects one instance that schedules the requests of all instances."""
