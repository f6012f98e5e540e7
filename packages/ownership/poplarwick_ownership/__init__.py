"""Leased ownership of endpoints and claim shards, with fencing epochs."""
