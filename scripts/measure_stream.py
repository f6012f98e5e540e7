"""Measures the CPU time of the stream reader per event.

Requires the packages on the path:
`PYTHONPATH=packages/core:packages/outcomes python scripts/measure_stream.py`.
"""

from __future__ import annotations

import json
import time

from poplarwick_core import ids
from poplarwick_outcomes import stream

EVENTS = 100_000
BATCH_SIZES = (1, 4, 16)
STREAM = ids.StreamId("str-0123456789abcdef01234567")
US_PER_S = 1_000_000


def main() -> None:
    """Prints microseconds per event for several numbers of events per read."""
    events = [_make_event(seq) for seq in range(EVENTS)]
    events.append(_make_event(EVENTS, "stop"))
    for batch_size in BATCH_SIZES:
        reads = [
            b"".join(events[start : start + batch_size])
            for start in range(0, len(events), batch_size)
        ]
        print(
            f"events_per_read={batch_size} us_per_event={_measure(reads):.2f}"
        )


def _measure(reads: list[bytes]) -> float:
    reader = stream.StreamReader(STREAM)
    started_s = time.process_time()
    for data in reads:
        reader.feed(data)
    reader.feed(stream.DONE_EVENT)
    cpu_s = time.process_time() - started_s
    if not reader.is_complete:
        raise SystemExit("the stream reader reports an incomplete answer")
    return cpu_s / EVENTS * US_PER_S


def _make_event(seq: int, finish_reason: str | None = None) -> bytes:
    fields = {
        "id": "cmpl-1",
        "object": "text_completion",
        "created": 1_700_000_000,
        "model": "writer-large",
        "choices": [
            {
                "index": 0,
                "text": " hello",
                "logprobs": None,
                "finish_reason": finish_reason,
            }
        ],
        "stream": STREAM,
        "seq": seq,
        "tokens": 1,
    }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


if __name__ == "__main__":
    main()
