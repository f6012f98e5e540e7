"""Passes changes of the platform's store on to instances that missed them."""

from __future__ import annotations

from poplarwick_peers.wire import placement_pb2
from poplarwick_platform import kv
from poplarwick_platform import mirror


def encode_changes(
    copy: mirror.Mirror, since: kv.Revision
) -> placement_pb2.Changes:
    """Encodes what is known to have changed after a revision."""
    return placement_pb2.Changes(
        revision=copy.revision,
        items=[
            placement_pb2.StoredItem(
                key=change.key,
                value=change.entry.value if change.entry else b"",
                revision=change.revision,
                removed=change.entry is None,
            )
            for change in copy.read_changes_since(since)
        ],
    )


def apply_changes(copy: mirror.Mirror, message: placement_pb2.Changes) -> None:
    """Takes over changes that another instance sent."""
    copy.apply_changes(
        [_decode_item(item) for item in message.items],
        kv.Revision(message.revision),
    )


def _decode_item(item: placement_pb2.StoredItem) -> kv.Change:
    revision = kv.Revision(item.revision)
    if item.removed:
        return kv.Change(item.key, None, revision)
    entry = kv.Entry(item.key, item.value, revision, revision)
    return kv.Change(item.key, entry, revision)
