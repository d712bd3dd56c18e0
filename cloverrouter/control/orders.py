"""The replicated state machine of the configuration: decides on operators' orders and applies updates.

The chain of replicas embeds it. The head decides on orders. Every replica, including the head, applies the
resulting updates in order. A reply without an update depends on all updates applied before it, so it may be
sent only after those are committed.
"""

from __future__ import annotations

import hashlib
import json
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from cloverrouter.control.document import ConfigurationState, compact
from cloverrouter.control.errors import ConfigurationInvalid
from cloverrouter.control.updates import (
    ConfigurationPatched,
    ConfigurationReplaced,
    Update,
    apply_update,
    decode_message,
    decode_update,
)
from cloverrouter.messages.codec import encode, message
from cloverrouter.messages.errors import MessageError

if TYPE_CHECKING:
    from cloverrouter.coordination.effects import Decision

MAX_REMEMBERED_ORDERS = 4096
DIGEST_BYTES = 16

_ENTRY = struct.Struct(f">{DIGEST_BYTES}sQ")  # digest of an accepted order, and its version


class OrderStatus:
    """The HTTP status codes of replies to orders."""

    OK = 200
    BAD_REQUEST = 400
    METHOD_NOT_ALLOWED = 405
    PRECONDITION_FAILED = 412
    PRECONDITION_REQUIRED = 428
    SERVICE_UNAVAILABLE = 503


@message(300)
class Order:
    """An operator's request to change the configuration, as received."""

    method: str
    """PUT or PATCH."""
    if_match: str | None
    body: bytes


@message(301)
class OrderReply:
    """The reply to an order."""

    status: int
    body: bytes
    """JSON for the operator."""
    version: int
    """The version in force after the order."""


@message(302)
class MachineSnapshot:
    """The full state of a `ConfigurationMachine`."""

    version: int
    document: bytes
    """JSON; empty while there is no configuration."""
    accepted: bytes
    """The digests of accepted orders with the versions that they created, oldest first."""


Review = Callable[[bytes, ConfigurationState], tuple[dict[str, Any], ConfigurationState]]


@attrs.frozen(slots=True)
class ReviewResult:
    """The result of reviewing an order. It is valid only for the state `base`."""

    digest: bytes
    base: ConfigurationState
    reply: bytes
    update: bytes | None
    candidate: ConfigurationState | None
    """The state after the update."""


class ConfigurationMachine:
    """The configuration in force, and the digests of the newest `MAX_REMEMBERED_ORDERS` accepted orders."""

    def __init__(self) -> None:
        self._state = ConfigurationState()
        self._accepted: dict[bytes, int] = {}
        self._prepared: tuple[bytes, ConfigurationState] | None = None
        self._provided_review: ReviewResult | None = None

    @property
    def state(self) -> ConfigurationState:
        """The configuration in force; a new object after each change."""
        return self._state

    @property
    def version(self) -> int:
        """The version in force; 0 before the first configuration."""
        return self._state.version

    @property
    def document(self) -> dict[str, Any]:
        """The document in force."""
        return self._state.document()

    def decide(self, command: bytes) -> Decision:
        """Returns the reply to an encoded `Order`, and the update if the order is accepted."""
        from cloverrouter.coordination.effects import Decision  # imported here so that only replicas load it

        try:
            order = decode_message(command, Order)
        except MessageError as error:
            return Decision(self._refused(OrderStatus.BAD_REQUEST, f"not an order: {error}"), None)
        reviewed, self._provided_review = self._provided_review, None
        digest = order_digest(order)
        accepted_version = self._accepted.get(digest)
        if accepted_version is not None:
            return Decision(self._reply(OrderStatus.OK, {"version": accepted_version}), None)
        refusal = self._refusal(order)
        if refusal is not None:
            return Decision(refusal, None)
        if reviewed is None or reviewed.digest != digest or reviewed.base is not self._state:
            reviewed = review(order, digest, self._state)
        if reviewed.update is not None and reviewed.candidate is not None:
            self._prepared = (reviewed.update, reviewed.candidate)
        return Decision(reviewed.reply, reviewed.update)

    def prepare(self, command: bytes) -> ReviewResult | None:
        """Reviews an order ahead of `decide`. This is the slow part of the decision and may run in a thread.

        Changes nothing. Returns None if there is nothing to review.
        """
        state = self._state
        try:
            order = decode_message(command, Order)
        except MessageError:
            return None
        digest = order_digest(order)
        if digest in self._accepted or base_version(order.if_match or "") != state.version:
            return None
        return review(order, digest, state) if order.method in ("PUT", "PATCH") else None

    def provide_review(self, reviewed: ReviewResult) -> None:
        """Hands in the result of `prepare` for the next call of `decide`."""
        self._provided_review = reviewed

    def _refusal(self, order: Order) -> bytes | None:
        """Returns the refusal of an order that can be refused without reading its body, or None."""
        if order.method not in ("PUT", "PATCH"):
            return self._refused(OrderStatus.METHOD_NOT_ALLOWED, f"no order is given by {order.method}")
        if order.if_match is None:
            return self._refused(
                OrderStatus.PRECONDITION_REQUIRED,
                "If-Match has to name the version that the order builds on",
            )
        base = base_version(order.if_match)
        if base is not None and self._may_be_forgotten(base):
            return self._refused(
                OrderStatus.SERVICE_UNAVAILABLE,
                f"orders on version {base} are not remembered any more",
            )
        if base != self.version:
            text = f"version {self.version} is current; the order builds on {order.if_match[:40]}"
            return self._refused(OrderStatus.PRECONDITION_FAILED, text)
        return None

    def _may_be_forgotten(self, base: int) -> bool:
        """Returns whether an order on that version may have been accepted and its digest dropped since."""
        return len(self._accepted) >= MAX_REMEMBERED_ORDERS and base < next(iter(self._accepted.values()))

    def _refused(self, status: int, text: str) -> bytes:
        return self._reply(status, {"error-message": text, "version": self.version})

    def _reply(self, status: int, body: dict[str, Any]) -> bytes:
        return encode(OrderReply(status, _json(body), self.version))

    def apply(self, update: bytes) -> None:
        """Applies an update. Raises `UpdateOutOfOrder` if it builds on another version."""
        prepared, self._prepared = self._prepared, None
        self._provided_review = None
        change = decode_update(update)
        if prepared is not None and prepared[0] == update and change.base == self.version:
            self._state = prepared[1]
        else:
            self._state = apply_update(self._state, change)
        self._remember(change.digest, change.version)

    def _remember(self, digest: bytes, version: int) -> None:
        self._accepted[digest] = version
        while len(self._accepted) > MAX_REMEMBERED_ORDERS:
            del self._accepted[next(iter(self._accepted))]

    def snapshot(self) -> bytes:
        """Returns the full state as an encoded `MachineSnapshot`."""
        document = self._state.json() if self.version else b""
        accepted = b"".join(_ENTRY.pack(digest, version) for digest, version in self._accepted.items())
        return encode(MachineSnapshot(self.version, document, accepted))

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot. Empty bytes stand for the state before the first order."""
        self._prepared = self._provided_review = None
        self._accepted = {}
        self._state = read_snapshot(snapshot, self._state)
        if snapshot:
            self._accepted = dict(_ENTRY.iter_unpack(decode_message(snapshot, MachineSnapshot).accepted))


def review(order: Order, digest: bytes, state: ConfigurationState) -> ReviewResult:
    """Validates an order and returns its reply and update. Takes about a second for some megabytes."""
    from cloverrouter.control.review import review_document, review_patch  # only the head validates orders

    review_body: Review = review_document if order.method == "PUT" else review_patch
    kind: Callable[..., Update] = ConfigurationReplaced if order.method == "PUT" else ConfigurationPatched
    try:
        content, candidate = review_body(order.body, state)
    except ConfigurationInvalid as error:
        refusal = OrderReply(OrderStatus.BAD_REQUEST, _json(error.body()), state.version)
        return ReviewResult(digest, state, encode(refusal), None, None)
    if order.method == "PUT":
        content = {}  # frees megabytes: the update uses the JSON that the state already has
        text = candidate.json()
    else:
        text = compact(content).encode("ascii")
    update = encode(kind(candidate.version, state.version, digest, text))
    reply = OrderReply(OrderStatus.OK, _json({"version": candidate.version}), candidate.version)
    return ReviewResult(digest, state, encode(reply), update, candidate)


def read_snapshot(snapshot: bytes, known: ConfigurationState | None = None) -> ConfigurationState:
    """Returns the configuration in a snapshot. Typed items that are equal in `known` are shared with it."""
    document = decode_message(snapshot, MachineSnapshot).document if snapshot else b""
    if not document:
        return ConfigurationState()
    return (known or ConfigurationState()).replaced(json.loads(document))


def order_digest(order: Order) -> bytes:
    """Returns the digest that identifies an order. A retry of the same order has the same digest."""
    hashed = hashlib.sha256()
    for part in (
        order.method.encode(),
        normalize_if_match(order.if_match).encode("utf-8", "replace"),
        order.body,
    ):
        hashed.update(struct.pack(">Q", len(part)))
        hashed.update(part)
    return hashed.digest()[:DIGEST_BYTES]


def normalize_if_match(if_match: str | None) -> str:
    """Returns the value of If-Match without blanks and quotes; an entity tag is the version in quotes."""
    return "" if if_match is None else if_match.strip().strip('"')


def base_version(if_match: str) -> int | None:
    """Returns the version in an If-Match value, or None if it is not a version."""
    text = normalize_if_match(if_match)
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 18 else None


def _json(body: dict[str, Any]) -> bytes:
    return compact(body).encode("ascii")
