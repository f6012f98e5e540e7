"""Event loop with virtual time that advances to the next timer."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError(
                "all tasks are blocked and no timer is scheduled"
            )
        self.now_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now_s


def run(main):
    """Runs a coroutine in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
