"""Measures the cost of owned endpoints and organisations when idle.

Starts one real instance with increasing numbers of idle engines and prints one
JSON object per size: CPU time and memory of the instance. No requests are
sent, so the whole cost is that of the control plane.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from poplarwick_bench import fleet
from poplarwick_bench import testbed
from poplarwick_standins import engine_settings

SETTLE_S = 5.0


async def measure(engines: int, organisations: int, seconds: float) -> None:
    """Prints the CPU time and memory of one idle instance.

    Args:
        engines: Number of engines, all owned by the instance.
        organisations: Number of organisations in the document.
        seconds: Time over which CPU time is measured.
    """
    plan = fleet.Plan(
        instances=1,
        engines=engines,
        services=0,
        weights={f"o{index}": 1 for index in range(organisations)},
        engine=engine_settings.EngineSettings(models=(fleet.MODEL,)),
        log_level="WARNING",
    )
    async with testbed.Testbed() as testbed_:
        target = fleet.Fleet(testbed_, plan)
        await target.start()
        await asyncio.sleep(SETTLE_S)
        entry = target.nodes[0]
        before_s = entry.read_cpu_s()
        await asyncio.sleep(seconds)
        cpu_s = entry.read_cpu_s() - before_s
        metrics = {
            "engines": engines,
            "organisations": organisations,
            "core_percent": round(100 * cpu_s / seconds, 3),
            "memory_mb": round(entry.read_memory_bytes() / 1e6, 2),
        }
        print(json.dumps(metrics), flush=True)


def main() -> int:
    """Measures the sizes given on the command line.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, nargs="+", default=[2, 4, 8, 16])
    parser.add_argument("--organisations", type=int, nargs="+", default=[10])
    parser.add_argument("--seconds", type=float, default=10.0)
    parsed = parser.parse_args()
    for organisations in parsed.organisations:
        for engines in parsed.engines:
            asyncio.run(measure(engines, organisations, parsed.seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
