"""Leased, fenced ownership of endpoints and claim shards."""
