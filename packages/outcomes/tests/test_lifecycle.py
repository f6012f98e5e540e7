"""Tests of the request lifecycle, verdicts and error responses."""

import itertools
import json

import pytest

from poplarwick_core.outcome import Outcome
from poplarwick_outcomes import lifecycle
from poplarwick_outcomes import replies
from poplarwick_outcomes import verdicts

ENDINGS = (
    verdicts.Refused(verdicts.Reason.NO_ROOM, "full", 1.5),
    verdicts.EndpointRefused("overloaded"),
    verdicts.EndpointFailed("crashed"),
    verdicts.ConnectionLost("reset"),
    verdicts.DeadlineExceeded(),
    verdicts.CallerLeft(),
)


def make_sent(*, is_idempotent):
    request = lifecycle.Lifecycle(is_idempotent=is_idempotent)
    request.admit()
    request.grant()
    request.send()
    return request


@pytest.mark.parametrize(
    ("ending", "may_have_run", "is_idempotent"),
    list(itertools.product(ENDINGS, (True, False), (True, False))),
)
def test_not_run_is_reported_only_if_nothing_may_have_run(
    ending, may_have_run, is_idempotent
):
    verdict = verdicts.decide_outcome(
        ending, may_have_run=may_have_run, is_idempotent=is_idempotent
    )
    ran = may_have_run or isinstance(ending, verdicts.EndpointFailed)
    assert (verdict.outcome is Outcome.NOT_RUN) == (not ran)
    assert verdict.outcome is not Outcome.COMPLETE
    if ran and not is_idempotent:
        assert not verdict.is_retryable
    else:
        assert verdict.is_retryable


def test_lost_non_idempotent_call_is_unknown():
    request = make_sent(is_idempotent=False)
    verdict = request.end(verdicts.ConnectionLost("reset"))
    assert verdict.outcome is Outcome.UNKNOWN
    assert replies.make_headers(verdict) == {
        "Poplarwick-Outcome": "unknown",
        "x-should-retry": "false",
    }


def test_lost_non_idempotent_call_is_not_resent():
    request = make_sent(is_idempotent=False)
    request.record_loss()
    request.grant()
    with pytest.raises(lifecycle.LifecycleError):
        request.send()


def test_refusal_after_lost_attempt_is_failed():
    request = make_sent(is_idempotent=True)
    request.record_loss()
    request.grant()
    request.send()
    request.record_refusal()
    verdict = request.end(verdicts.EndpointRefused("overloaded"))
    assert verdict.outcome is Outcome.FAILED
    assert verdict.is_retryable


def test_request_refused_by_all_endpoints_is_not_run():
    request = make_sent(is_idempotent=False)
    request.record_refusal()
    assert request.may_send
    verdict = request.end(verdicts.EndpointRefused("overloaded", 0.2))
    assert verdict.outcome is Outcome.NOT_RUN
    assert replies.make_headers(verdict)["Retry-After"] == "1"


def test_first_ending_determines_verdict():
    request = make_sent(is_idempotent=True)
    request.stream()
    first = request.end(verdicts.AnswerComplete())
    assert request.end(verdicts.CallerLeft()) is first
    assert request.stage is lifecycle.Stage.ENDED
    with pytest.raises(lifecycle.LifecycleError):
        request.grant()


def test_send_requires_grant():
    request = lifecycle.Lifecycle(is_idempotent=True)
    request.admit()
    with pytest.raises(lifecycle.LifecycleError):
        request.send()


@pytest.mark.parametrize("reason", verdicts.Reason)
def test_header_and_body_agree_for_every_refusal(reason):
    verdict = verdicts.decide_outcome(
        verdicts.Refused(reason, "text", param="p"),
        may_have_run=False,
        is_idempotent=False,
    )
    error = json.loads(replies.encode_body(verdict))["error"]
    assert 400 <= verdict.status < 600
    assert error["code"] == reason.value
    assert error["outcome"] == "not-run"
    assert error["param"] == "p"
    assert replies.make_headers(verdict)["Poplarwick-Outcome"] == "not-run"


@pytest.mark.parametrize(
    ("ending", "status"),
    [
        (verdicts.OutcomeMissing(), 502),
        (verdicts.StillRunning(), 504),
        (verdicts.KeyExpired(), 410),
        (verdicts.AnswerDropped(201), 410),
    ],
)
def test_unresolved_earlier_call_is_unknown(ending, status):
    verdict = verdicts.decide_outcome(
        ending, may_have_run=False, is_idempotent=False
    )
    assert verdict.outcome is Outcome.UNKNOWN
    assert verdict.status == status
    assert not verdict.is_retryable


def test_answer_with_server_error_is_failed():
    verdict = verdicts.decide_outcome(
        verdicts.AnswerComplete(500), may_have_run=True, is_idempotent=False
    )
    assert verdict.outcome is Outcome.FAILED
    assert verdict.status == 500
    assert not verdict.is_retryable
