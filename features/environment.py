"""Hooks of the behave run."""
