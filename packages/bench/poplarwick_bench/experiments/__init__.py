"""Experiments: the coroutine `run` of each module returns metrics."""
