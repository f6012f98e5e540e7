"""Measures the CPU time per placement decision by number of endpoints.

Prints one line per number of endpoints: microseconds for a request with a
short prompt and for one with a long prompt, with half of the slots in use.

With `--waiting N`, all slots are in use, N more requests wait, and the
decisions under contention are in force. Each figure is then the time of a
scheduling round after one arrival, divided by the requests that it decides on;
the round itself is printed beside it. Every tenth round one request ends, so
that the round places one as well.
"""

from __future__ import annotations

import argparse
import random
import sys
import time

from poplarwick_bench.replay import engines
from poplarwick_core import ids
from poplarwick_placement import messages
from poplarwick_placement import scheduler
from poplarwick_placement import service_pool

SIZES = (16, 54, 78, 200, 490)
SHORT_TOKENS = 5_000
LONG_TOKENS = 180_000
SLOT_UTILIZATION = 0.5


def main() -> int:
    """Runs the measurement from the command line.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument(
        "--waiting", type=int, default=0, help="number of queued requests"
    )
    arguments = parser.parse_args()
    requests = arguments.requests
    if arguments.waiting:
        _print_rounds(requests, arguments.waiting)
        return 0
    print("endpoints  short_us  long_us")
    for endpoints in SIZES:
        short_us = measure(endpoints, SHORT_TOKENS, requests)
        long_us = measure(endpoints, LONG_TOKENS, max(requests // 10, 1))
        print(f"{endpoints:9d}  {short_us:8.0f}  {long_us:7.0f}")
    return 0


def measure(endpoints: int, tokens: int, requests: int) -> float:
    """Returns the mean CPU time of a placement decision in microseconds.

    Args:
        endpoints: Number of endpoints.
        tokens: Number of prompt tokens of each request.
        requests: Number of requests to decide on.
    """
    placement_scheduler = engines.make_scheduler(seed=1)
    placement_scheduler.set_candidates(
        service_pool.Candidate(
            engines.make_endpoint(number),
            engines.PROFILE,
            True,
            0.0,
            36.0,
        )
        for number in range(endpoints)
    )
    _fill_slots(placement_scheduler, endpoints)
    now_s, spent_s = 1_000.0, 0.0
    for number in range(requests):
        now_s += 1.0
        started_s = time.process_time()
        placement_scheduler.submit(
            ("m", number), _make_request(tokens, now_s), now_s
        )
        placement_scheduler.decide_new(("m", number), now_s)
        spent_s += time.process_time() - started_s
        placement_scheduler.record_first_event(("m", number), now_s + 0.5)
        placement_scheduler.record_end(
            ("m", number), messages.Result.DONE, now_s + 0.6
        )
    return spent_s / requests * 1e6


def _print_rounds(requests: int, waiting: int) -> None:
    print("endpoints  short_us  long_us  short_round_us  long_round_us")
    for endpoints in SIZES:
        short = measure_round(endpoints, SHORT_TOKENS, requests, waiting)
        long = measure_round(
            endpoints, LONG_TOKENS, max(requests // 10, 1), waiting
        )
        print(
            f"{endpoints:9d}  {short[0]:8.0f}  {long[0]:7.0f}"
            f"  {short[1]:14.0f}  {long[1]:13.0f}"
        )


def measure_round(
    endpoints: int, tokens: int, rounds: int, waiting: int
) -> tuple[float, float]:
    """Returns the mean CPU time of a decision and of a scheduling round.

    Args:
        endpoints: Number of endpoints.
        tokens: Number of prompt tokens of the request that arrives.
        rounds: Number of rounds.
        waiting: Number of queued requests.

    Returns:
        Microseconds per request that a round decides on, and per round.
    """
    placement_scheduler = engines.make_scheduler(seed=1, has_contention=True)
    placement_scheduler.set_candidates(
        service_pool.Candidate(
            engines.make_endpoint(number), engines.PROFILE, True, 0.0, 36.0
        )
        for number in range(endpoints)
    )
    _fill_slots(placement_scheduler, endpoints, 1.0)
    now_s, spent_s, decided = 0.1, 0.0, 0
    sent = 0
    for number in range(rounds):
        # Requests that were refused or placed are replaced.
        while placement_scheduler.queued_count < waiting:
            placement_scheduler.submit(
                ("w", sent), _make_request(SHORT_TOKENS, now_s), now_s
            )
            sent += 1
        now_s += 0.001
        if number % 10 == 0:
            placement_scheduler.record_end(
                ("f", number // 10), messages.Result.DONE, now_s
            )
        decided += placement_scheduler.queued_count + 1
        started_s = time.process_time()
        placement_scheduler.submit(
            ("m", number), _make_request(tokens, now_s), now_s
        )
        placement_scheduler.decide_new(("m", number), now_s)
        placement_scheduler.decide(now_s)
        spent_s += time.process_time() - started_s
    return spent_s / decided * 1e6, spent_s / rounds * 1e6


def _fill_slots(
    placement_scheduler: scheduler.Scheduler,
    endpoints: int,
    utilization: float = SLOT_UTILIZATION,
) -> None:
    rng = random.Random(1)
    slots = engines.PROFILE.slots
    for number in range(int(endpoints * slots * utilization)):
        endpoint = ids.EndpointId(
            f"e{int(number / (slots * utilization)) % endpoints}"
        )
        request = _make_request(rng.randrange(1_000, 10_000), 0.0)
        placement_scheduler.adopt(
            ("f", number), request, endpoint, 0.0, has_begun=True
        )


def _make_request(tokens: int, now_s: float) -> messages.PlacementRequest:
    return messages.PlacementRequest(
        request_id=ids.RequestId("r"),
        service=engines.POOL,
        prompt_tokens=tokens,
        output_tokens=1_000,
        on_time_at_s=now_s + 3.0,
        deadline_at_s=now_s + 20.0,
        pause_limit_s=0.25,
    )


if __name__ == "__main__":
    sys.exit(main())
