"""Replays loads on the placing decisions, with engines on a virtual clock."""
