"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors

from poplarwick_core import clock


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual time by the requested timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "no timer is scheduled; the loop would block forever"
            )
        self.now_s += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now_s


def run(scenario, monkeypatch) -> None:
    """Runs a coroutine function on virtual time."""
    loop = VirtualLoop()
    monkeypatch.setattr(clock, "now_s", loop.time)
    try:
        loop.run_until_complete(scenario(loop))
    finally:
        loop.close()
