"""Encodes and decodes what instances exchange, in the version on the path.

    python probe.py COMMAND < ARGUMENT.json > RESULT.json

It uses only names that both versions have. Bytes are exchanged in hexadecimal.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import json
import os
import pathlib
import sys
import tempfile
import zlib

from google.protobuf import json_format

from poplarwick_adapter import entry_codec
from poplarwick_adapter import keys
from poplarwick_adapter import settings
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import quarantines
from poplarwick_catalogue import rate_limits
from poplarwick_coordination import endpoint_notices
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import store_changes
from poplarwick_coordination import tenure
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_platform import kv
from poplarwick_platform import mirror
from poplarwick_reach import handshake
from poplarwick_standins import platform_documents

MESSAGES = {
    "PlacerMessage": placement_pb2.PlacerMessage,
    "EntryMessage": placement_pb2.EntryMessage,
}

UNKNOWN_FIELD = b"\xa2\x38\x05later"
"""Field 900 of any message, of a version that does not exist yet."""

INSTANCE = "front-0"
TENURE_WAIT_S = 0.5
"""Time in which an instance that finds its own stale tenure takes it anew; it
does so without a delay."""

STORED_ITEM = placement_pb2.StoredItem(key="op/x", value=b"1", revision=3)

TEXTS = {
    "result": "broken",
    "reason": "no_time",
    "compressed": zlib.compress(
        placement_pb2.Changes(items=[STORED_ITEM]).SerializeToString()
    ),
}
"""Values of fields that not every text is valid for."""

EXCLUSIVE = {"Quarantine": ("parts", "fingerprint")}
"""Fields of which a valid message has one, besides those of a `oneof`."""


def describe():
    """Returns number, type and presence of each field by message and name."""
    return {
        message.name: {
            field.name: [
                field.number,
                field.type,
                field.is_repeated,
                field.has_presence,
                field.message_type.name if field.message_type else None,
            ]
            for field in message.fields
        }
        for message in placement_pb2.DESCRIPTOR.message_types_by_name.values()
    }


def fill(message):
    """Sets all fields of a message to values that differ by field."""
    for field in message.DESCRIPTOR.fields:
        if field.message_type is not None:
            part = getattr(message, field.name)
            fill(part.add() if field.is_repeated else part)
            if not field.is_repeated:
                part.SetInParent()
            continue
        value = make_value(field)
        if field.is_repeated:
            getattr(message, field.name).append(value)
        else:
            setattr(message, field.name, value)
    return message


def make_value(field):
    """Returns a value for a field that is no message."""
    match field.cpp_type:
        case field.CPPTYPE_STRING:
            text = TEXTS.get(field.name, f"{field.name} {field.number}")
            is_bytes = field.type == field.TYPE_BYTES
            return text.encode() if is_bytes and isinstance(text, str) else text
        case field.CPPTYPE_BOOL:
            return True
        case field.CPPTYPE_DOUBLE | field.CPPTYPE_FLOAT:
            return field.number + 0.5
        case field.CPPTYPE_ENUM:
            return field.enum_type.values[-1].number
        case _:
            return field.number + 40


def list_alternatives(descriptor):
    """Returns the groups of fields of which a valid message has one."""
    groups = [
        [field.name for field in group.fields]
        for group in descriptor.oneofs
        if not group.name.startswith("_")
    ]
    if descriptor.name in EXCLUSIVE:
        groups.append(list(EXCLUSIVE[descriptor.name]))
    return groups


def sample():
    """Returns messages of all kinds: type, then kind, then variant."""
    return {
        name: {
            field.name: {
                variant: part.SerializeToString().hex()
                for variant, part in make_variants(message, field.name)
            }
            for field in message.DESCRIPTOR.oneofs_by_name["kind"].fields
        }
        for name, message in MESSAGES.items()
    }


def make_variants(message, kind):
    """Yields messages of a kind that differ in the fields that they have."""
    empty = message()
    getattr(empty, kind).SetInParent()
    yield "empty", empty
    groups = list_alternatives(getattr(empty, kind).DESCRIPTOR)
    for chosen in groups[0] if groups else [""]:
        variant = message()
        part = getattr(variant, kind)
        fill(part)
        for other in groups[0] if groups else ():
            if other != chosen:
                part.ClearField(other)
        if chosen and part.DESCRIPTOR.fields_by_name[chosen].message_type:
            fill(getattr(part, chosen))
        yield f"full {chosen}".strip(), variant
        if kind in ENCODERS:
            encoded = message()
            getattr(encoded, kind).CopyFrom(ENCODERS[kind](part))
            yield f"codec {chosen}".strip(), encoded
        part.MergeFromString(UNKNOWN_FIELD)
        yield f"later {chosen}".strip(), variant
    yield from make_codec_variants(message, kind)


def make_codec_variants(message, kind):
    """Yields messages that the codec makes: stored entries, enumerations."""
    if kind == "changes":
        store_mirror = mirror.Mirror()
        store_mirror.apply_snapshot(kv.Snapshot((), 1, 3))
        entry = kv.Entry("op/y", b"2", 4, 4)
        store_mirror.apply_changes(
            [kv.Change("op/y", entry, 4), kv.Change("op/z", None, 5)],
            kv.Position(3, 5),
        )
        changes = message()
        changes.changes.CopyFrom(
            store_changes.encode_changes(store_mirror, kv.Position(3, 1))
        )
        yield "stored", changes
    if kind == "decision" and message is placement_pb2.PlacerMessage:
        for reason in messages.RefusalReason:
            refusal = messages.Refusal(reason, 0.5)
            yield reason.name, wire_codec.encode_decision(1, refusal)
    if kind == "ended" and message is placement_pb2.EntryMessage:
        for result in messages.Result:
            ended = message()
            ended.ended.CopyFrom(wire_codec.encode_ended(1, result, None, None))
            yield result.name, ended


def read(samples):
    """Returns what this version understands of messages."""
    return {
        name: {
            kind: {
                variant: read_message(name, bytes.fromhex(data))
                for variant, data in variants.items()
            }
            for kind, variants in kinds.items()
        }
        for name, kinds in samples.items()
    }


def read_message(name, data):
    """Returns the kind, the fields, and the decoded value of a message."""
    message = MESSAGES[name].FromString(data)
    kind = message.WhichOneof("kind")
    reading = {
        "kind": kind,
        "fields": json_format.MessageToDict(
            message, preserving_proto_field_name=True
        ),
        "decoded": None,
        "error": None,
    }
    try:
        handle(name, message)
        if kind in DECODERS:
            value = DECODERS[kind](getattr(message, kind))
            reading["decoded"] = make_plain(value)
    except Exception as error:
        reading["error"] = repr(error)
    return reading


def handle(name, message):
    """Passes a message to the instance, or the placer, that receives it."""
    store_mirror = mirror.Mirror()
    known = catalogue.Catalogue(store_mirror, entry_codec.decode_entry)
    deployment = read_deployment()
    if name == "PlacerMessage":
        client = placement_client.PlacementClient(
            known,
            store_mirror,
            deployment,
            lambda *observed: None,
            lambda: True,
            lambda *handover: None,
        )
        connection = placement_client.PlacerConnection(
            "front-1", 1_000, lambda sent: None, clock.now_s()
        )
        client.attach(connection)
        client.handle(connection, message)
        return
    notices = endpoint_notices.EndpointNotices(
        known, lambda start: None, lambda start, per_s: None
    )
    serving = placer.Placer(
        INSTANCE,
        known,
        store_mirror,
        deployment,
        lambda address: None,
        1_000,
        None,
        lambda: True,
        notices,
    )
    session = serving.open_session("front-1", lambda sent: None)
    serving.handle(session, message)


def read_deployment():
    """Returns the deployment of a settings file of the stand-ins."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        ports = (8_227, 8_220, 7_340, 7_341)
        path.write_text(
            json.dumps(
                platform_documents.make_settings(INSTANCE, ports, "127.0.0.1:1")
            )
        )
        return settings.read_settings(path)


def apply_limit(message):
    """Returns the rates that are known after a message."""
    limits = rate_limits.RateLimits()
    wire_codec.apply_limit(limits, message)
    return [[make_plain(k), v] for k, v in limits.known.items()]


def apply_changes(message):
    """Returns the entries that are known after a message."""
    store_mirror = mirror.Mirror()
    start = kv.Snapshot((), kv.Revision(1), kv.Era(message.era))
    store_mirror.apply_snapshot(start)
    store_changes.apply_changes(store_mirror, message)
    return [
        [e.key, e.value.hex(), e.mod_revision] for e in store_mirror.entries
    ]


def encode_limit(message):
    """Returns the message that the rate in a message is told with."""
    limits = rate_limits.RateLimits()
    wire_codec.apply_limit(limits, message)
    [(start, per_s)] = limits.known.items()
    return wire_codec.encode_limit(start, per_s)


ENCODERS = {
    "ask": lambda m: wire_codec.encode_request(
        m.ask, wire_codec.decode_request(m, 0.0), 0.0
    ),
    "ended": lambda m: wire_codec.encode_ended(
        m.ask,
        messages.Result(m.result),
        m.blamed,
        wire_codec.decode_answer(m),
    ),
    "decision": lambda m: (
        wire_codec.encode_decision(
            m.ask, wire_codec.decode_decision(m)
        ).decision
    ),
    "quarantine": lambda m: wire_codec.encode_quarantine(
        wire_codec.decode_quarantine(m)
    ),
    "endpoint_leaving": lambda m: wire_codec.encode_start(
        wire_codec.decode_start(m)
    ),
    "endpoint_limit": encode_limit,
}
"""Decode a message that has all fields and encode it again."""

DECODERS = {
    "ask": lambda m: wire_codec.decode_request(m, 0.0),
    "running": lambda m: wire_codec.decode_request(m.ask, 0.0),
    "ended": lambda m: [messages.Result(m.result), wire_codec.decode_answer(m)],
    "decision": wire_codec.decode_decision,
    "quarantine": wire_codec.decode_quarantine,
    "endpoint_leaving": wire_codec.decode_start,
    "endpoint_limit": apply_limit,
    "changes": apply_changes,
}


def make_plain(value):
    """Returns a decoded value in the types of JSON."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: make_plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, enum.Enum):
        return value.name
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, frozenset | set):
        return sorted(map(make_plain, value))
    if isinstance(value, tuple | list):
        return [make_plain(part) for part in value]
    return value


def write_entries():
    """Returns entries of the store as key and value."""
    part, request = (
        quarantines.Quarantine(
            "pool",
            frozenset({"b", "a"}),
            3,
            software_version="v1",
            endpoints=("i-1", "i-2"),
            imposed_by=INSTANCE,
        ),
        quarantines.Quarantine("pool", frozenset(), fingerprint="f1"),
    )
    entries = [
        [
            keys.MEMBER_PREFIX + INSTANCE,
            entry_codec.encode_member("h:1", 0.4, "a"),
        ]
    ]
    for quarantine in (part, request, part.lift("operator")):
        value = entry_codec.encode_quarantine(quarantine)
        entries.append([keys.QUARANTINE_PREFIX + quarantine.id, value])
    return [[key, value.hex()] for key, value in entries]


def read_entries(entries):
    """Returns the decoded entries; None for keys that are not used."""
    decoded = []
    for key, value in entries:
        item = entry_codec.decode_entry(key, bytes.fromhex(value))
        decoded.append([type(item).__name__, make_plain(item)])
    return decoded


class RecordingStore:
    """A store that records what a tenure is taken with."""

    def __init__(self):
        self.puts = []

    async def grant_lease(self, ttl_s, purpose):
        """Grants lease 1."""
        return 1

    async def commit(self, conditions, operations, purpose):
        """Records the operations and confirms them."""
        self.puts.extend(operations)
        return kv.Committed(9, 1)

    async def keep_alive(self, lease):
        """Waits until the run ends."""
        await asyncio.sleep(TENURE_WAIT_S)


def take_tenure(restored=None):
    """Returns the entry with which an instance takes the tenure, or None.

    Args:
        restored: Value of the entry in a store that was restored from a copy;
            None if the store has no entry.
    """
    store_mirror = mirror.Mirror()
    store_mirror.apply_snapshot(kv.Snapshot((), 1, 0))
    if restored is not None:
        entry = kv.Entry(keys.PLACER, bytes.fromhex(restored), 2, 2)
        store_mirror.apply_snapshot(kv.Snapshot((entry,), 5, 1))
    store = RecordingStore()
    holder = tenure.Tenure(
        store,
        store_mirror,
        keys.PLACER,
        INSTANCE,
        lambda: {INSTANCE: catalogue.MemberItem(INSTANCE, "h:1")},
        1.0,
        lambda: tenure.TakeoverState(False, 0.0, 0),
    )

    async def run():
        task = asyncio.create_task(holder.run())
        await asyncio.sleep(TENURE_WAIT_S)
        task.cancel()

    asyncio.run(run())
    return [[put.key, put.value.hex()] for put in store.puts][:1]


def write_hello():
    """Returns the first line to a relay, and the answers of one."""
    line = handshake.encode_hello("10.0.0.1:80", "r1")
    return [line.hex(), [reply.value.hex() for reply in handshake.Reply]]


def read_hello(hello):
    """Returns how a relay, and one who asks it, understands the bytes."""
    line, replies = hello
    return [
        list(handshake.decode_hello(bytes.fromhex(line).rstrip(b"\n"))),
        [handshake.Reply(bytes.fromhex(reply)).name for reply in replies],
    ]


COMMANDS = {
    "describe": lambda _: describe(),
    "sample": lambda _: sample(),
    "read": read,
    "write_entries": lambda _: write_entries(),
    "read_entries": read_entries,
    "take_tenure": take_tenure,
    "write_hello": lambda _: write_hello(),
    "read_hello": read_hello,
}


def main():
    """Runs the command that is named in the arguments."""
    loaded = pathlib.Path(wire_codec.__file__)
    assert loaded.is_relative_to(os.environ["PROBED_ROOT"]), loaded
    argument = json.load(sys.stdin)
    json.dump(COMMANDS[sys.argv[1]](argument), sys.stdout)


if __name__ == "__main__":
    main()
