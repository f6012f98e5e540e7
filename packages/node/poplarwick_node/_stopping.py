"""Ends requests that a stopping instance can no longer serve in time.

Load pattern: an instance is stopped while requests queue for busy engines, at
its own dispatcher or at that of another instance. One that starts too late is
cut off by the end of the grace period. So is one that runs on an engine for
longer; its caller needs an answer before that.
"""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_core import ids
from poplarwick_entry import grants
from poplarwick_entry import request_errors
from poplarwick_forwarding import graceful_stop


class AnswerLimit:
    """Answers requests without an answer before the instance ends.

    Args:
        stop: Knows when the instance ends.
    """

    def __init__(self, stop: graceful_stop.GracefulStop) -> None:
        self._stop = stop

    @contextlib.asynccontextmanager
    async def limit(self, has_begun: Callable[[], bool]) -> AsyncIterator[None]:
        """Limits the time until a caller receives something.

        Args:
            has_begun: Returns whether the caller has.

        Raises:
            request_errors.RequestEndedError: The instance ends before that.
        """
        try:
            async with self._stop.limit_answer(has_begun):
                yield
        except graceful_stop.StoppingError as error:
            raise request_errors.make_stop_refusal(
                "the instance stops before the request is answered"
            ) from error


class WaitLimit:
    """Limits how long requests queue once the instance is told to stop.

    Args:
        stop: Knows until when requests may start.
        read_view: Returns the configuration in force; None before the first.
    """

    def __init__(
        self,
        stop: graceful_stop.GracefulStop,
        read_view: Callable[[], document.View | None],
    ) -> None:
        self._stop = stop
        self._read_view = read_view

    @contextlib.asynccontextmanager
    async def limit(
        self, grant_request: grants.GrantRequest
    ) -> AsyncIterator[None]:
        """Limits the wait inside the context to the request's latest start.

        Raises:
            request_errors.RequestEndedError: The instance stops too soon.
        """
        duration_s = self._calculate_shortest_duration_s(grant_request)
        try:
            async with self._stop.limit_wait(duration_s):
                yield
        except graceful_stop.StoppingError as error:
            raise request_errors.make_stop_refusal(
                "the instance stops before it could serve the request"
            ) from error

    def _calculate_shortest_duration_s(
        self, grant_request: grants.GrantRequest
    ) -> float:
        """Returns how long a request takes on an idle engine.

        Calls of plain services are taken for short.
        """
        view = self._read_view()
        model = None
        if view is not None and grant_request.model:
            model = view.find_model(ids.ModelId(grant_request.model))
        if model is None:
            return 0.0
        return (
            grant_request.prompt_tokens / model.prefill_tokens_per_s
            + grant_request.output_tokens / model.decode_tokens_per_s
        )
