"""Ids, errors, clocks, logging and file parsing for all packages."""
