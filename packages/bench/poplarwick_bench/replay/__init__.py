"""Replays loads against the scheduler, with engines on a virtual clock."""
