"""How much an endpoint carries during a cold start."""

from __future__ import annotations

from poplarwick_configuration import document

WARM_COMPLETIONS = 32
WARM_SAMPLES = 8
WARM_RATIO = 1.5
COLD_RATIO = 4.0
COLD_SAMPLES = 5
CACHED_RATIO = 0.6
SAMPLE_PREFILL_S = 0.05


class ColdStartWindow:
    """Opens by one place for each completed request, as in slow start.

    One more place for each completion doubles the window for each round of
    requests. It is wide open after `WARM_COMPLETIONS`, or earlier after
    `WARM_SAMPLES` first tokens at the warm rate, of which each slow one takes
    two back.

    Attributes:
        is_open: Whether the endpoint counts as warm.
    """

    def __init__(self, cold_start: document.ColdStart) -> None:
        self.is_open = False
        self._cold_start = cold_start
        self._completed = 0
        self._warm_samples = 0
        self._slow_samples = 0

    @property
    def concurrent(self) -> int:
        """Requests in progress that the endpoint carries now."""
        return self._cold_start.concurrent + self._completed

    @property
    def tokens(self) -> int:
        """Prompt tokens in progress that the endpoint carries now."""
        growth = self.concurrent / self._cold_start.concurrent
        return int(self._cold_start.tokens * growth)

    def has_room(
        self, in_progress: int, in_progress_tokens: int, prompt_tokens: int
    ) -> bool:
        """Returns whether one more request fits.

        Args:
            in_progress: Requests in progress.
            in_progress_tokens: Their prompt tokens.
            prompt_tokens: Prompt tokens of the request.
        """
        if self.is_open:
            return True
        if in_progress >= self.concurrent:
            return False
        return in_progress_tokens + prompt_tokens <= self.tokens

    def close(self) -> None:
        """Goes back to what the document says of a cold endpoint."""
        self.is_open = False
        self._completed = 0
        self._warm_samples = 0
        self._slow_samples = 0

    def note_complete(self, count: int = 1) -> None:
        """Counts requests that the endpoint completed since its start."""
        self._completed += count
        if self._completed >= WARM_COMPLETIONS:
            self.is_open = True

    def note_first_token(self, measured_s: float, expected_s: float) -> bool:
        """Compares a time to first token with that of a warm endpoint.

        Args:
            measured_s: Time from sending to the first token.
            expected_s: Time that a warm endpoint needs.

        Returns:
            Whether the endpoint has become so slow that it must be cold; the
            window is closed then.
        """
        if expected_s < SAMPLE_PREFILL_S:
            return False
        ratio = measured_s / expected_s
        if ratio < CACHED_RATIO:
            # A cached prefix says nothing about the speed.
            return False
        if ratio < WARM_RATIO:
            self._warm_samples += 1
        else:
            self._warm_samples = max(self._warm_samples - 2, 0)
        self._slow_samples = self._slow_samples + 1 if ratio > COLD_RATIO else 0
        if self._warm_samples >= WARM_SAMPLES:
            self.is_open = True
        if self.is_open and self._slow_samples >= COLD_SAMPLES:
            self.close()
            return True
        return False
