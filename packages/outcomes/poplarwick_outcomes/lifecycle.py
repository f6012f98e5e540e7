"""State machine for one request, from receipt to verdict."""

from __future__ import annotations

import enum

import transitions

from poplarwick_core import errors
from poplarwick_outcomes import verdicts


class Stage(enum.Enum):
    """Stage of a request.

    Attributes:
        RECEIVED: The request was received and parsed.
        ADMITTED: The key, limits and fields were accepted.
        GRANTED: A dispatcher has granted permission to send it.
        SENT: It may have reached an endpoint.
        STREAMING: Part of the answer was sent to the caller.
        ENDED: The outcome is decided.
    """

    RECEIVED = "received"
    ADMITTED = "admitted"
    GRANTED = "granted"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


class LifecycleError(errors.PoplarwickError):
    """The transition is not allowed from the current stage."""


class Lifecycle:
    """Tracks the stage and attempts of one request.

    Attributes:
        stage: Current stage.
        is_idempotent: Whether the request can safely be retried.
        attempts: Number of times the request was sent to an endpoint.
        verdict: Verdict, or None while the request has not ended.
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
        """Whether the request may be sent, or sent again, to an endpoint."""
        return self.is_idempotent or not self.may_have_run

    def admit(self) -> None:
        """Records that the key, limits and fields were accepted."""
        self._move("admit")

    def grant(self) -> None:
        """Records that a dispatcher granted the next attempt."""
        self._move("grant")

    def send(self) -> None:
        """Records that the request is about to be sent to an endpoint.

        Raises:
            LifecycleError: The request is not idempotent and an earlier
                attempt may have run, or no attempt was granted.
        """
        if not self.may_send:
            raise LifecycleError(
                "non-idempotent request may have run; not resending"
            )
        self._move("send")
        self.attempts += 1
        self._open_attempts += 1

    def record_refusal(self) -> None:
        """Records that the endpoint refused to run the latest attempt."""
        self._move("withdraw")
        self._open_attempts -= 1

    def record_loss(self) -> None:
        """Records that the latest attempt was lost and may have run."""
        self._move("withdraw")

    def stream(self) -> None:
        """Records that the first part of the answer is sent to the caller."""
        self._move("stream")

    def end(self, ending: verdicts.Ending) -> verdicts.Verdict:
        """Ends the request.

        Only the first call decides; later calls return the same verdict.

        Args:
            ending: Event that ended the request.

        Returns:
            The verdict to report to the caller.
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
    in_progress: list[str | enum.Enum | transitions.State] = [
        Stage.SENT,
        Stage.STREAMING,
    ]
    not_sent: list[str | enum.Enum | transitions.State] = [
        Stage.ADMITTED,
        Stage.GRANTED,
    ]
    machine.add_transition("admit", Stage.RECEIVED, Stage.ADMITTED)
    machine.add_transition("grant", [*not_sent, *in_progress], Stage.GRANTED)
    machine.add_transition("send", Stage.GRANTED, Stage.SENT)
    machine.add_transition("withdraw", in_progress, Stage.ADMITTED)
    machine.add_transition("stream", in_progress, Stage.STREAMING)
    machine.add_transition(
        "end", [Stage.RECEIVED, *not_sent, *in_progress], Stage.ENDED
    )
    return machine


# Shared by all requests: the stage is stored in the `Lifecycle`.
_MACHINE = _make_machine()
