"""Settings of all unit tests."""

from __future__ import annotations

import hypothesis

# The time of an example, and of making it, depends on the machine: the first
# text takes seconds where hypothesis builds its table of characters. No test
# has a bound on time.
hypothesis.settings.register_profile(
    "untimed",
    deadline=None,
    suppress_health_check=(hypothesis.HealthCheck.too_slow,),
)
hypothesis.settings.load_profile("untimed")
