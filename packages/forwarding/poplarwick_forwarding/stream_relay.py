"""Passes the stream of an endpoint on to its caller."""

from __future__ import annotations

from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_forwarding import backpressure
from poplarwick_forwarding import endpoint_attempt
from poplarwick_forwarding import events
from poplarwick_forwarding import http_exchange
from poplarwick_forwarding import outcomes
from poplarwick_forwarding import request_progress
from poplarwick_forwarding import response_checks
from poplarwick_forwarding import response_timeout
from poplarwick_forwarding import upstream
from poplarwick_placement import messages

MIN_PROGRESS_BYTES = 1_024
"""Bytes of an incomplete event that count as progress of a stream. A sound
endpoint sends an event of a few hundred bytes at once; an endpoint that sends a
byte now and then counts as stalled."""


async def relay(
    exchange: http_exchange.Exchange,
    sink: outcomes.Sink,
    progress: request_progress.RequestProgress,
    attempt: endpoint_attempt.Attempt,
    response: upstream.Response,
    timeout: response_timeout.ResponseTimeout,
    placements: placement_client.PlacementClient,
) -> None:
    """Passes the events of a stream on to the caller as they arrive.

    Args:
        exchange: The request.
        sink: Response to the caller.
        progress: What is known of the request.
        attempt: The attempt that is answered.
        response: The endpoint's response.
        timeout: Limits the wait for the next event.
        placements: Is told of the first event.

    Raises:
        SendError: The stream is broken.
    """
    patience = response_timeout.choose_stall_patience(exchange)
    splitter = events.EventSplitter()
    bytes_without_event = 0
    has_event = False
    async for chunk in response.iter_chunks():
        if timeout.is_over:
            raise upstream.SendError(
                "the endpoint went on after another one had answered",
                messages.Result.SILENT,
                may_have_run=True,
            )
        try:
            new_events = splitter.feed(chunk)
            data = _join_events(new_events, progress)
        except events.EventError as error:
            raise upstream.SendError(
                str(error), messages.Result.BROKEN, may_have_run=True
            ) from error
        if data:
            has_event = True
            attempt.last_event_at_s = clock.now_s()
            timeout.suspend()
            placements.record_first_event(attempt.request_number)
            if not sink.has_begun:
                await sink.begin(response.status, response.headers)
            await backpressure.write(sink, data, response)
        bytes_without_event += len(chunk)
        if data or bytes_without_event >= MIN_PROGRESS_BYTES:
            bytes_without_event = 0
            timeout.start(patience)
    if splitter.has_incomplete_event:
        raise upstream.SendError(
            "stream ended inside an event",
            messages.Result.BROKEN,
            may_have_run=True,
            is_cut=not response.is_delimited,
        )
    if not has_event and not (
        response.is_delimited and response_checks.has_events(response)
    ):
        # A process that ends also closes its connections.
        raise upstream.SendError(
            "connection ended before the first event",
            messages.Result.BROKEN,
            may_have_run=True,
            is_cut=not response.is_delimited,
        )
    if not sink.has_begun:
        await sink.begin(response.status, response.headers)


def _join_events(
    new_events: list[events.Event], progress: request_progress.RequestProgress
) -> bytes:
    """Checks that events are consecutive and returns their bytes.

    Raises:
        EventError: An event is missing, duplicated or without an id.
    """
    last = progress.last_event_id
    for event in new_events:
        if event.id is None and event.is_comment:
            continue
        if event.id is None:
            raise events.EventError("event without an id")
        if last is not None and event.id != last + 1:
            raise events.EventError(f"event {event.id} after event {last}")
        last = event.id
        progress.events += 1
    progress.last_event_id = last
    return b"".join(event.data for event in new_events)
