"""Measures the cost of a request's log lines relative to its placement.

Prints the number of log lines of a streamed request, the microseconds per line
and per request, and the ratio to one placement decision over sixteen engines.
The ratio is more meaningful than the times, which depend on the machine.
"""

from __future__ import annotations

import argparse
import os
import sys
import time

from poplarwick_bench.replay import engines
from poplarwick_bench.replay import traffic
from poplarwick_core import log_writer
from poplarwick_core import logs
from poplarwick_forwarding import log_events
from poplarwick_placement import messages

ENGINES = 16
PROMPT_TOKENS = 5_000


def main() -> int:
    """Runs the measurement from the command line.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2_000)
    requests = parser.parse_args().requests
    lines = _make_lines()
    request_us = _measure_logging(lines, requests)
    placement_us = _measure_placement(requests)
    print(f"lines per request {len(lines)}")
    print(f"us per line       {request_us / len(lines):.1f}")
    print(f"us per request    {request_us:.1f}")
    print(f"ratio to decision {request_us / placement_us:.2f}")
    return 0


def _make_lines() -> list[logs.Event]:
    request = "9c41d07be2a35f68"
    return [
        log_events.RequestReceived(
            request=request,
            route="r-2yhvz3p",
            service="huvo11a",
            version=7,
            priority=1,
            prompt_tokens=PROMPT_TOKENS,
            time_left_s=10.0,
        ),
        log_events.RequestPlaced(
            request=request,
            endpoint="i-7f3a91c2",
            address="10.1.64.30:8080",
            expected_first_s=0.087654,
            reason="packed running=5/8 backlog_s=0.000 pace=1.00 loss=0",
            placer="front-eu-central-a-2",
            waited_s=0.00312,
            send=1,
        ),
        log_events.RequestEnded(
            request=request,
            outcome="streamed",
            route="r-2yhvz3p",
            first_s=0.123456,
            total_s=1.98765,
            bytes=2_470,
        ),
    ]


def _measure_logging(lines: list[logs.Event], requests: int) -> float:
    descriptor = os.open(os.devnull, os.O_WRONLY)
    writer = log_writer.LineWriter(descriptor)
    logs.configure_logs(writer=writer, instance="front-eu-central-a-1")
    started_s = time.process_time()
    for _ in range(requests):
        for line in lines:
            logs.log(line)
    elapsed_s = time.process_time() - started_s
    writer.close()
    os.close(descriptor)
    return elapsed_s / requests * 1e6


def _measure_placement(requests: int) -> float:
    scheduler = engines.make_scheduler(seed=1)
    engines.Simulation(scheduler, ENGINES)
    started_s = time.process_time()
    for number in range(requests):
        now_s = number * 0.05
        request = traffic.make_request(
            traffic.LABEL, now_s, PROMPT_TOKENS, 38, f"r{number}"
        )
        scheduler.submit(number, request, now_s)
        scheduler.decide(now_s)
        scheduler.record_first_event(number, now_s + 0.1)
        if number >= ENGINES:
            scheduler.record_end(number - ENGINES, messages.Result.DONE, now_s)
    return (time.process_time() - started_s) / requests * 1e6


if __name__ == "__main__":
    sys.exit(main())
