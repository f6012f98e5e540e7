"""Limits the requests at an endpoint during its cold start."""

from __future__ import annotations

from poplarwick_configuration import document

WARM_COMPLETIONS = 32
WARM_SAMPLES = 8
WARM_RATIO = 1.5
COLD_RATIO = 4.0
COLD_SAMPLES = 5
# Below this ratio, the prefix is taken to have been cached.
CACHED_RATIO = 0.6
# First tokens expected sooner than this are not used as samples.
SAMPLE_PREFILL_S = 0.05


class ColdStartLimiter:
    """Raises the request limit with each completion, as in TCP slow start.

    One more slot for each completion doubles the limit with each round of
    requests. The endpoint counts as warm, and the limit no longer applies,
    after `WARM_COMPLETIONS`, or earlier after `WARM_SAMPLES` first tokens at
    the warm rate. Each slow first token takes two of these samples back.

    Attributes:
        is_warm: Whether the endpoint counts as warm.
    """

    def __init__(self, cold_start: document.ColdStart) -> None:
        self.is_warm = False
        self._cold_start = cold_start
        self._completed = 0
        self._warm_samples = 0
        self._slow_samples = 0

    @property
    def max_requests(self) -> int:
        """Maximum number of requests in progress during the cold start."""
        return self._cold_start.concurrent + self._completed

    @property
    def max_prompt_tokens(self) -> int:
        """Maximum prompt tokens in progress during the cold start."""
        growth = self.max_requests / self._cold_start.concurrent
        return int(self._cold_start.tokens * growth)

    def can_admit(
        self, in_progress: int, in_progress_tokens: int, prompt_tokens: int
    ) -> bool:
        """Returns whether one more request fits the current limits.

        Args:
            in_progress: Number of requests in progress.
            in_progress_tokens: Their prompt tokens.
            prompt_tokens: Prompt tokens of the request.
        """
        if self.is_warm:
            return True
        if in_progress >= self.max_requests:
            return False
        return in_progress_tokens + prompt_tokens <= self.max_prompt_tokens

    def reset(self) -> None:
        """Resets the limits to the configured values of a cold endpoint."""
        self.is_warm = False
        self._completed = 0
        self._warm_samples = 0
        self._slow_samples = 0

    def record_completions(self, count: int = 1) -> None:
        """Records requests that the endpoint has completed since its start."""
        self._completed += count
        if self._completed >= WARM_COMPLETIONS:
            self.is_warm = True

    def record_first_token(self, measured_s: float, expected_s: float) -> bool:
        """Compares a time to first token with that of a warm endpoint.

        Args:
            measured_s: Time from sending to the first token.
            expected_s: Time to first token at a warm endpoint.

        Returns:
            Whether a warm endpoint has become so slow that it counts as cold
            again; the limiter is reset in this case.
        """
        if expected_s < SAMPLE_PREFILL_S:
            return False
        ratio = measured_s / expected_s
        if ratio < CACHED_RATIO:
            # With a cached prefix, the time says nothing about the speed.
            return False
        if ratio < WARM_RATIO:
            self._warm_samples += 1
        else:
            self._warm_samples = max(self._warm_samples - 2, 0)
        self._slow_samples = self._slow_samples + 1 if ratio > COLD_RATIO else 0
        if self._warm_samples >= WARM_SAMPLES:
            self.is_warm = True
        if self.is_warm and self._slow_samples >= COLD_SAMPLES:
            self.reset()
            return True
        return False
