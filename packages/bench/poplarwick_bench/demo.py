"""Demo system: serves one prompt, then runs until interrupted."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time

import msgspec

from poplarwick_bench import caller
from poplarwick_bench import fleet
from poplarwick_bench import testbed
from poplarwick_core import cli
from poplarwick_standins import engine_settings

ORGANISATION = "labels"
MAX_TOKENS = 64


async def run(text: str, *, once: bool) -> int:
    """Starts the system and sends a prompt through an instance.

    Args:
        text: The prompt.
        once: Whether to exit after the response.

    Returns:
        The exit code.
    """
    started_s = time.monotonic()
    plan = fleet.Plan(
        engine=engine_settings.EngineSettings(models=(fleet.MODEL,))
    )
    async with testbed.Testbed() as testbed_:
        system = fleet.Fleet(testbed_, plan)
        await system.start()
        print(f"system ready after {time.monotonic() - started_s:.1f} s\n")
        is_complete = await _send(system, text)
        _print_addresses(system)
        if not once:
            await _wait_for_interrupt()
    return cli.ExitCode.OK if is_complete else cli.ExitCode.FAILURE


async def _send(system: fleet.Fleet, text: str) -> bool:
    call = caller.Call(
        name="demo",
        organisation=ORGANISATION,
        secret=fleet.make_secret(ORGANISATION),
        body={
            "model": fleet.MODEL,
            "prompt": text,
            "max_tokens": MAX_TOKENS,
            "stream": True,
        },
    )
    sender = caller.Caller(system.testbed.session, system.nodes[0].address)
    record = await sender.send(call, on_text=_print_text)
    print("\n")
    if not record.is_complete:
        print(f"incomplete response: status {record.status}, {record.code}")
        print(f"logs: {system.testbed.folder}")
        return False
    first_ms = (record.first_token_s or 0.0) * 1_000
    print(f"time to first token: {first_ms:.1f} ms")
    print(f"served by: {record.endpoint} through {record.instance}")
    return True


def _print_text(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


def _print_addresses(system: fleet.Fleet) -> None:
    print("\ninstances:")
    for node in system.node_settings:
        listen = node.listen
        print(
            f"  {node.instance} callers {listen.callers}"
            f" administration {listen.administration}"
        )
    print(f"key-value service: {system.kv.address}")
    for child in system.engines + system.services:
        print(f"{child.name}: {child.address}")
    print(f"operator token: {fleet.OPERATOR_TOKEN}")
    print(f"logs: {system.testbed.folder}")
    body = {"model": fleet.MODEL, "prompt": "Hello", "max_tokens": 16}
    secret = fleet.make_secret(ORGANISATION)
    print(
        "\ntry:\n"
        f"  curl http://{system.nodes[0].address}/v1/completions \\\n"
        f"    -H 'Authorization: Bearer {secret}' \\\n"
        f"    -H 'Content-Type: application/json' \\\n"
        f"    -d '{msgspec.json.encode(body).decode()}'"
    )


async def _wait_for_interrupt() -> None:
    print("\nPress Ctrl-C to stop the system.", flush=True)
    # asyncio.run cancels the main task on Ctrl-C; the test bed then cleans up.
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
