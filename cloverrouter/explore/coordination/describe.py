"""Readable one-line descriptions of messages and writes.

The descriptions are part of the action labels in saved histories: a changed text makes old histories
impossible to replay.
"""

from __future__ import annotations

from typing import Any

from cloverrouter.coordination.messages import (
    Announce,
    Commit,
    Fetch,
    Forward,
    GenesisState,
    Heartbeat,
    Install,
    Promise,
    Propose,
    Refused,
    Report,
    State,
    Stored,
    Support,
)
from cloverrouter.coordination.views import GENESIS_EPOCH, View
from cloverrouter.explore.coordination.replica_state import NAMES, Delivery, Item, disk_name
from cloverrouter.store import Record


def epoch_name(epoch: int) -> str:
    """Returns an epoch as its counter followed by the name of its proposer."""
    if epoch <= GENESIS_EPOCH:
        return str(epoch)
    return f"{epoch >> 16}{disk_name(f'{epoch & 0xFFFF:016x}')}"


def text_of(item: Item) -> str:
    """Describes a delivery or a disk write."""
    if isinstance(item, Delivery):
        what = f"{type(item.message).__name__} {message_text(item.message)}".rstrip()
        return f"{NAMES[item.source]} > {NAMES[item.target]}: {what}"
    return f"{NAMES[item.position]} writes {record_text(item.record)}"


def record_text(record: Record) -> str:
    """Describes the content of a record."""
    parts = []
    meta = record.meta
    if meta is not None:
        parts.append(
            f"promised {epoch_name(meta.promised)} view {epoch_name(meta.view_epoch)} "
            f"synced {epoch_name(meta.synced)}{' settled' if meta.settled else ''} committed {meta.committed}"
        )
    if record.snapshot is not None:
        parts.append(f"state {record.snapshot.seq}")
    parts += [f"{update.seq}={update.data.decode()}" for update in record.updates]
    return ", ".join(parts)


def view_text(view: View | None) -> str:
    """Describes a view."""
    if view is None:
        return "no view"
    chain = "".join(map(disk_name, view.chain)) or "none"
    voters = "".join(disk_name(member.identity) for member in view.voters)
    old = "".join(disk_name(member.identity) for member in view.old_voters)
    return f"view {epoch_name(view.epoch)} chain {chain} voters {voters}{f' old {old}' if old else ''}"


def message_text(message: Any) -> str:
    """Describes the content of a message, without its type."""
    if isinstance(message, Heartbeat):
        force = "in force" if message.active else "not in force"
        return f"{epoch_name(message.epoch)} round {message.round} {force} committed {message.committed}"
    if isinstance(message, Report):
        promised, synced = epoch_name(message.promised), epoch_name(message.synced)
        answered = f"{epoch_name(message.round_epoch)}/{message.round}"
        return f"promised {promised} round {answered} synced {synced} stored {message.seq}"
    if isinstance(message, Forward):
        updates = " ".join(update.decode() for update in message.updates)
        return f"{epoch_name(message.epoch)} {message.first_seq}: {updates}; stored {message.stored}"
    if isinstance(message, Stored | Commit):
        return f"{epoch_name(message.epoch)} {message.seq}"
    if isinstance(message, Promise):
        return f"{epoch_name(message.epoch)} has {epoch_name(message.synced)}/{message.seq}"
    if isinstance(message, Install):
        whole = "whole" if message.snapshot is not None else f"from {message.from_seq}"
        return f"{view_text(message.view)}, state {message.seq} {whole}"
    if isinstance(message, Announce):
        return view_text(message.view)
    if isinstance(message, State):
        return f"{epoch_name(message.epoch)} has {epoch_name(message.synced)}/{message.seq}"
    if isinstance(message, Support):
        return "yes" if message.granted else "no"
    if isinstance(message, Refused):
        return f"{epoch_name(message.epoch)}, promised {epoch_name(message.promised)}"
    if isinstance(message, Propose | Fetch):
        return epoch_name(message.epoch)
    if isinstance(message, GenesisState):
        return f"{'adoptable' if message.adoptable else 'not adoptable'} view {message.view_epoch}"
    return _rest(message)


def _rest(message: Any) -> str:
    shown = []
    for name in ("attempt", "ballot", "accepted_ballot", "promised"):
        if hasattr(message, name):
            shown.append(f"{name} {getattr(message, name)}")
    if hasattr(message, "voters"):
        shown.append("voters " + "".join(disk_name(member.identity) for member in message.voters))
    return " ".join(shown)
