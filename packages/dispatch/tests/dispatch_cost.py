"""Prints the CPU time of one request at the dispatcher.

`python packages/dispatch/tests/dispatch_cost.py` counts one acquire and two
reports (first token, end) in the same process.
"""

from __future__ import annotations

import time

import dispatch_fakes as fakes
from loguru import logger

from poplarwick_peers.wire import grant_pb2

REQUESTS = 5_000


async def _measure(endpoints, organisations):
    weights = {f"o{n}": 1 for n in range(organisations)}
    view = fakes.make_view(endpoints=endpoints, weights=weights)
    async with fakes.Testbed(view) as testbed:
        subject = testbed.dispatcher
        start_s = time.process_time()
        for number in range(REQUESTS):
            name = f"o{number % organisations}"
            request = fakes.make_request(organisation=name)
            grant = (await subject.acquire(request)).grant
            for kind in (
                grant_pb2.REPORT_FIRST_TOKEN,
                grant_pb2.REPORT_COMPLETE,
            ):
                await subject.report(fakes.make_report(grant, kind, 50))
        return (time.process_time() - start_s) / REQUESTS


if __name__ == "__main__":
    logger.remove()
    for sizes in ((2, 10), (11, 10), (11, 1_300)):
        seconds = fakes.run(_measure(*sizes))
        print(f"endpoints={sizes[0]} organisations={sizes[1]}", end=" ")
        print(f"processor_us={seconds * 1e6:.0f}")
