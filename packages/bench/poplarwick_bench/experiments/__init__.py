"""Experiments: each module has a coroutine `run(trial)` that gives figures."""
