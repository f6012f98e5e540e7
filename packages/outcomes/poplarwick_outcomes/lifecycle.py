"""Lifecycle of one request, from its receipt to its verdict."""

from __future__ import annotations

import enum

import transitions

from poplarwick_core import errors
from poplarwick_outcomes import verdicts


class Stage(enum.Enum):
    """How far a request has come.

    Attributes:
        RECEIVED: The request was read.
        ADMITTED: Key, limits and fields were accepted.
        GRANTED: A dispatcher has allowed it to be sent to an endpoint.
        SENT: It may have reached an endpoint.
        STREAMING: A part of the answer was sent to the caller.
        ENDED: The outcome is decided.
    """

    RECEIVED = "received"
    ADMITTED = "admitted"
    GRANTED = "granted"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


class LifecycleError(errors.PoplarwickError):
    """A request was moved to a stage that cannot follow its present one."""


class Lifecycle:
    """Follows one request through its stages.

    Attributes:
        stage: How far the request has come.
        is_idempotent: Whether it may be repeated without harm.
        attempts: Number of times that it was sent to an endpoint.
        verdict: How it ended, or None.
    """

    def __init__(self, *, is_idempotent: bool) -> None:
        self.stage = Stage.RECEIVED
        self.is_idempotent = is_idempotent
        self.attempts = 0
        self.verdict: verdicts.Verdict | None = None
        self._open_attempts = 0

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have run the request."""
        return self._open_attempts > 0

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent to an endpoint (again)."""
        return self.is_idempotent or not self.may_have_run

    def admit(self) -> None:
        """Notes that key, limits and fields were accepted."""
        self._move("admit")

    def grant(self) -> None:
        """Notes that a dispatcher allowed the next attempt."""
        self._move("grant")

    def send(self) -> None:
        """Notes that the request is about to be sent to an endpoint.

        Raises:
            LifecycleError: It may have run and must not be repeated.
        """
        if not self.may_send:
            raise LifecycleError("a request that may have run is not resent")
        self._move("send")
        self.attempts += 1
        self._open_attempts += 1

    def record_refusal(self) -> None:
        """Notes that the endpoint ran nothing of the latest attempt."""
        self._move("withdraw")
        self._open_attempts -= 1

    def record_loss(self) -> None:
        """Notes that the latest attempt was lost and may have run."""
        self._move("withdraw")

    def stream(self) -> None:
        """Notes that a first part of the answer goes to the caller."""
        self._move("stream")

    def end(self, ending: verdicts.Ending) -> verdicts.Verdict:
        """Ends the request and returns the verdict.

        The first ending decides; later ones return the same verdict.
        """
        if self.verdict is None:
            self._move("end")
            self.verdict = verdicts.decide_outcome(
                ending,
                may_have_run=self.may_have_run,
                is_idempotent=self.is_idempotent,
            )
        return self.verdict

    def _move(self, trigger: str) -> None:
        try:
            _MACHINE.events[trigger].trigger(self)
        except transitions.MachineError as error:
            raise LifecycleError(str(error)) from error


def _make_machine() -> transitions.Machine:
    machine = transitions.Machine(
        model=None,
        states=Stage,
        initial=Stage.RECEIVED,
        model_attribute="stage",
        auto_transitions=False,
    )
    running: list[str | enum.Enum | transitions.State] = [
        Stage.SENT,
        Stage.STREAMING,
    ]
    waiting: list[str | enum.Enum | transitions.State] = [
        Stage.ADMITTED,
        Stage.GRANTED,
    ]
    machine.add_transition("admit", Stage.RECEIVED, Stage.ADMITTED)
    machine.add_transition("grant", [*waiting, *running], Stage.GRANTED)
    machine.add_transition("send", Stage.GRANTED, Stage.SENT)
    machine.add_transition("withdraw", running, Stage.ADMITTED)
    machine.add_transition("stream", running, Stage.STREAMING)
    machine.add_transition(
        "end", [Stage.RECEIVED, *waiting, *running], Stage.ENDED
    )
    return machine


# One machine serves all requests, as it holds no state of its own.
_MACHINE = _make_machine()
