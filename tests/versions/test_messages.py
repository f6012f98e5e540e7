"""Messages between instances of two versions.

Each version writes messages of all its kinds, with every field set, with none,
and with fields of a later version. The other version must read of them what the
writer itself reads, as far as it knows the fields.
"""

from __future__ import annotations

import checkouts
import pytest

from poplarwick_peers.wire import placement_pb2

TYPES = {
    "PlacerMessage": placement_pb2.PlacerMessage,
    "EntryMessage": placement_pb2.EntryMessage,
}
KINDS = [
    (name, field.name)
    for name, message in TYPES.items()
    for field in message.DESCRIPTOR.oneofs_by_name["kind"].fields
]
DIRECTIONS = [("previous", "present"), ("present", "previous")]
UNKNOWN_KIND = "a23805" + b"later".hex()
"""Field 900 of the message, in hexadecimal."""


@pytest.fixture(scope="module")
def schemas(versions):
    return {name: v.probe("describe") for name, v in versions.items()}


@pytest.fixture(scope="module")
def samples(versions):
    return {name: v.probe("sample") for name, v in versions.items()}


@pytest.fixture(scope="module")
def readings(versions, samples):
    """Returns what a reader understands, by writer and reader."""
    return {
        (writer, reader): versions[reader].probe("read", samples[writer])
        for writer in versions
        for reader in versions
    }


def keep_known(fields, message, schema):
    """Returns the fields of a message that a schema has."""
    known = {}
    for name, value in fields.items():
        if name not in schema[message]:
            continue
        part = schema[message][name][-1]
        if part is None:
            known[name] = value
        elif isinstance(value, list):
            known[name] = [keep_known(v, part, schema) for v in value]
        else:
            known[name] = keep_known(value, part, schema)
    return known


def keep_common(one, other):
    """Returns both values without the attributes that only one has."""
    if isinstance(one, dict) and isinstance(other, dict):
        pairs = {k: keep_common(one[k], other[k]) for k in one if k in other}
        return tuple({k: p[i] for k, p in pairs.items()} for i in (0, 1))
    if isinstance(one, list) and isinstance(other, list):
        if len(one) == len(other):
            pairs = [keep_common(a, b) for a, b in zip(one, other, strict=True)]
            return [p[0] for p in pairs], [p[1] for p in pairs]
    return one, other


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
@pytest.mark.parametrize("message,kind", KINDS)
def test_other_version_reads_all_fields_that_it_knows(
    schemas, readings, writer, reader, message, kind
):
    if kind not in schemas[writer][message]:
        return  # The writer does not have this kind.
    own = readings[writer, writer][message][kind]
    for variant, found in readings[writer, reader][message][kind].items():
        # The codec must write all that a message with all fields says.
        meant = own[variant.replace("codec", "full")]
        place = f"{message}.{kind} {variant}"
        if kind not in schemas[reader][message]:
            assert (found["kind"], found["error"]) == (None, None), place
            continue
        assert found["kind"] == kind, place
        schema = schemas[reader]
        assert keep_known(meant["fields"], message, schema) == keep_known(
            found["fields"], message, schemas[writer]
        ), place
        if variant == "empty":
            # Some messages are invalid without fields, for both alike.
            assert bool(found["error"]) == bool(meant["error"]), place
        else:
            assert found["error"] is None, place
        if meant["error"] is None:
            one, other = keep_common(meant["decoded"], found["decoded"])
            assert one == other, place


def test_every_kind_is_covered(samples):
    present = samples["present"]
    assert KINDS == [
        (name, k) for name, kinds in present.items() for k in kinds
    ]
    for name, kinds in samples["previous"].items():
        assert kinds.keys() <= present[name].keys()
        assert all(len(variants) >= 3 for variants in kinds.values())


def test_no_field_changes_its_number_or_type(schemas):
    for message, fields in schemas["previous"].items():
        present = schemas["present"][message]
        assert {name: present.get(name) for name in fields} == fields, message
        numbers = [number for number, *_ in present.values()]
        assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize("reader", ["previous", "present"])
@pytest.mark.parametrize("message", TYPES)
def test_kind_of_a_later_version_is_ignored(versions, reader, message):
    unknown = {message: {"later": {"": UNKNOWN_KIND}}}
    reading = versions[reader].probe("read", unknown)[message]["later"][""]
    assert reading["kind"] is None
    assert reading["error"] is None


@pytest.mark.parametrize("writer,reader", DIRECTIONS)
def test_relay_handshake_is_read_by_the_other_version(versions, writer, reader):
    hello = versions[writer].probe("write_hello")
    meant = versions[writer].probe("read_hello", hello)
    assert versions[reader].probe("read_hello", hello) == meant
    assert meant[0] == ["10.0.0.1:80", "r1"]


def test_history_without_the_previous_version_fails_clearly(tmp_path):
    """A shallow clone must not skip these tests."""
    with pytest.raises(pytest.fail.Exception, match="the history lacks"):
        checkouts.unpack(tmp_path, "0" * 40)


def test_versions_are_two(versions):
    assert versions["previous"].root != checkouts.ROOT
    assert versions["previous"].probe("describe") != versions["present"].probe(
        "describe"
    )
