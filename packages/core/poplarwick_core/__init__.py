"""Ids, errors, clocks, logging and settings shared by every package."""
