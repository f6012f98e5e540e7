"""Conversion between claims and protobuf messages."""

from __future__ import annotations

from poplarwick_outcomes.claims import keys
from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import replies
from poplarwick_peers.wire import claim_pb2

_SIMPLE_REPLIES: dict[claim_pb2.ClaimResult, replies.ClaimReply] = {
    claim_pb2.CLAIM_GRANTED: replies.Granted(),
    claim_pb2.CLAIM_LOST: replies.Lost(),
    claim_pb2.CLAIM_RUNNING: replies.Running(),
    claim_pb2.CLAIM_CONFLICT: replies.Conflict(),
    claim_pb2.CLAIM_EXPIRED: replies.Expired(),
}
_SIMPLE_RESULTS = {reply: result for result, reply in _SIMPLE_REPLIES.items()}
_CHANGE_REPLIES = {
    claim_pb2.CHANGE_STORED: replies.ChangeReply.STORED,
    claim_pb2.CHANGE_UNAVAILABLE: replies.ChangeReply.UNAVAILABLE,
    claim_pb2.CHANGE_NOT_OWNER: replies.ChangeReply.NOT_OWNER,
}
_CHANGE_RESULTS = {reply: result for result, reply in _CHANGE_REPLIES.items()}


def encode_attempt(attempt: records.Record) -> claim_pb2.Attempt:
    """Returns the message for an attempt."""
    return claim_pb2.Attempt(
        shard=keys.find_shard(attempt.key),
        key=attempt.key,
        key_time_ms=attempt.key_time_ms,
        content=attempt.content,
        nonce=attempt.nonce,
        run_until_ms=attempt.run_until_ms,
    )


def decode_attempt(message: claim_pb2.Attempt) -> records.Record:
    """Returns the attempt in a message."""
    return records.Record(
        key=message.key,
        key_time_ms=message.key_time_ms,
        content=message.content,
        nonce=message.nonce,
        state=records.State.CLAIMED,
        run_until_ms=message.run_until_ms,
    )


def encode_answer(answer: records.Answer) -> claim_pb2.Answer:
    """Returns the message for an answer."""
    headers = [claim_pb2.Header(name=n, value=v) for n, v in answer.headers]
    return claim_pb2.Answer(
        status=answer.status, headers=headers, body=answer.body
    )


def decode_answer(message: claim_pb2.Answer) -> records.Answer:
    """Returns the answer in a message."""
    headers = tuple((header.name, header.value) for header in message.headers)
    return records.Answer(message.status, headers, message.body)


def encode_claim_reply(reply: replies.ClaimReply) -> claim_pb2.ClaimReply:
    """Returns the message for a reply."""
    match reply:
        case replies.Answered(answer):
            return claim_pb2.ClaimReply(
                result=claim_pb2.CLAIM_ANSWERED, answer=encode_answer(answer)
            )
        case replies.AnswerDropped(status):
            return claim_pb2.ClaimReply(
                result=claim_pb2.CLAIM_ANSWER_DROPPED, status=status
            )
        case replies.NotOwner(is_claimed):
            return claim_pb2.ClaimReply(
                result=claim_pb2.CLAIM_NOT_OWNER, is_claimed=is_claimed
            )
        case replies.Unavailable(retry_after_s):
            return claim_pb2.ClaimReply(
                result=claim_pb2.CLAIM_UNAVAILABLE,
                retry_after_s=retry_after_s,
            )
    return claim_pb2.ClaimReply(result=_SIMPLE_RESULTS[reply])


def decode_claim_reply(message: claim_pb2.ClaimReply) -> replies.ClaimReply:
    """Returns the reply in a message.

    An unknown result becomes `NotOwner`, so that it never grants a claim.
    """
    match message.result:
        case claim_pb2.CLAIM_ANSWERED:
            return replies.Answered(decode_answer(message.answer))
        case claim_pb2.CLAIM_ANSWER_DROPPED:
            return replies.AnswerDropped(message.status)
        case claim_pb2.CLAIM_UNAVAILABLE:
            return replies.Unavailable(message.retry_after_s)
    fallback = replies.NotOwner(message.is_claimed)
    return _SIMPLE_REPLIES.get(message.result, fallback)


def encode_change_reply(reply: replies.ChangeReply) -> claim_pb2.ChangeResult:
    """Returns the wire value of a reply to a change."""
    return _CHANGE_RESULTS[reply]


def decode_change_reply(result: claim_pb2.ChangeResult) -> replies.ChangeReply:
    """Returns the reply for a wire value.

    An unknown value becomes `UNAVAILABLE`, so that the change is retried.
    """
    return _CHANGE_REPLIES.get(result, replies.ChangeReply.UNAVAILABLE)
