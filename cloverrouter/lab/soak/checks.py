"""What is wrong with a soak run: the contract's rules CONFIG, FAULT and LOST, from what was seen. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from operator import attrgetter

import attrs

from cloverrouter.lab.fleet.judge import Finding, Judge, Request, differences
from cloverrouter.lab.soak.machines import Life
from cloverrouter.lab.soak.orders import OTHER_VERSION, ReadBack, Sent
from cloverrouter.lab.soak.watch import Sight

ENDED_BY_SIGTERM = -15
MAY_CUT = 3  # requests that a machine may cut off after it passed them on


@attrs.frozen(slots=True)
class Bounds:
    """Times of the contract, in seconds."""

    propagation_s: float
    connectivity_s: float
    recovery_s: float
    grace_s: float


@attrs.frozen(slots=True)
class History:
    """The trouble of each machine as spans of time, and which machines are of the core."""

    troubles: dict[str, list[tuple[float, float]]]
    core: frozenset[str]
    bounds: Bounds

    def in_touch(self, machine: str, at: float, for_s: float | None = None) -> bool:
        """Whether the rules bound by time hold for a machine, or have held for so long."""
        span = (at - (self.bounds.connectivity_s if for_s is None else for_s), at)
        return not any(self._is_in(span, name) for name in {machine, *self.core})

    def _is_in(self, span: tuple[float, float], machine: str) -> bool:
        return any(begun <= span[1] and ended >= span[0] for begun, ended in self.troubles[machine])


def check_orders(sent: Sequence[Sent]) -> Iterator[Finding]:
    """Invalid orders that were confirmed, two confirmed on one version, and confirmed ones refused again."""
    taken: dict[int, Sent] = {}
    for order in sorted((each for each in sent if each.is_acknowledged), key=attrgetter("sent_at")):
        if not order.is_valid:
            yield Finding("CONFIG", f"an invalid order is confirmed ({order.what}): version {order.version}")
        rival = taken.setdefault(order.base, order)
        if rival.document != order.document:
            yield Finding(
                "CONFIG", f"versions {rival.version} and {order.version} are both confirmed on {order.base}"
            )
    for order in sent:
        if order.what == "again" and order.status is not None and order.status >= 400:
            if not _may_have_changed(order, sent):
                yield Finding("CONFIG", f"version {order.version}, confirmed, is refused: {order.status}")
        elif order.is_valid and order.status is not None and 400 <= order.status < 500:
            if order.status != OTHER_VERSION:
                yield Finding("CONFIG", f"a valid order ({order.what}) is refused: {order.status}")
            elif not _has_rival(order, sent):
                yield Finding("CONFIG", f"version {order.version} on {order.base} is refused: 412")


def _may_have_changed(order: Sent, sent: Sequence[Sent]) -> bool:
    return any(
        each.may_be_in_force and each.version > order.version and each.sent_at < (order.answered_at or 0)
        for each in sent
    )


def _has_rival(order: Sent, sent: Sequence[Sent]) -> bool:
    """Whether another order may have come first."""
    return any(
        each is not order
        and each.may_be_in_force
        and each.base >= order.base
        and each.version != order.version
        for each in sent
        if each.sent_at < (order.answered_at or 0)
    )


def check_reads(reads: Sequence[ReadBack], sent: Sequence[Sent]) -> Iterator[Finding]:
    """Reads that tell less than was confirmed before they were sent, or what was never ordered."""
    documents = {order.version: order for order in sent if order.may_be_in_force}
    for read in reads:
        confirmed = _due(sent, read.sent_at)
        if read.version < confirmed:
            text = f"{read.address} reads version {read.version}, {confirmed} was confirmed before"
            yield Finding("CONFIG", text)
        order = documents.get(read.version)
        if order is None:
            yield Finding("CONFIG", f"{read.address} reads version {read.version}, which can't be in force")
        elif different := differences(order.document, read.document):
            yield Finding("CONFIG", f"version {read.version} differs when read: {', '.join(different)}")


def check_sights(sights: Sequence[Sight], sent: Sequence[Sent], history: History) -> Iterator[Finding]:
    """Machines that do not have in time what was confirmed, or that go back within one life."""
    newest: dict[tuple[str, int], int] = {}
    for sight in sorted(sights, key=attrgetter("answered_at")):
        key = (sight.machine, sight.pid)
        if sight.version < newest.get(key, 0):
            yield Finding("CONFIG", f"{sight.machine} goes back from {newest[key]} to {sight.version}")
        newest[key] = max(sight.version, newest.get(key, 0))
        due = _due(sent, sight.asked_at - history.bounds.propagation_s)
        # Without any configuration it refuses, and promises that nothing has run: that may take its recovery.
        for_s = history.bounds.recovery_s if sight.version == 0 else None
        if sight.version < due and history.in_touch(sight.machine, sight.asked_at, for_s):
            text = f"{sight.machine} has version {sight.version} at {sight.asked_at:.2f}, {due} is due"
            yield Finding("CONFIG", text)


def _due(sent: Sequence[Sent], at: float) -> int:
    """The newest version that was confirmed by then."""
    return max((o.version for o in sent if o.is_acknowledged and (o.answered_at or 0) <= at), default=0)


def check_routes(judge: Judge, sent: Sequence[Sent], history: History) -> Iterator[Finding]:
    """Requests that machines in touch have handled as no configuration that may be in force allows."""
    for request in judge.requests.values():
        answer = judge.answers.get(request.attempt_id)
        if answer is None or not request.route.startswith("r-soak-"):
            continue
        if not history.in_touch(request.zone, answer.ended_at):
            continue
        allowed = _allowed(request, sent, request.sent_at - history.bounds.propagation_s, answer.ended_at)
        for run in judge.runs.get(request.attempt_id, ()):
            if run.backend not in allowed:
                text = f"{run.backend} runs {request.route} for {request.zone} at {request.sent_at:.2f}"
                yield Finding("CONFIG", f"{text}, allowed: {sorted(map(str, allowed))}")
        is_unknown = answer.status == 404 and None not in allowed
        if not answer.stamp and (is_unknown or answer.status == 401):
            text = f"{request.route}: {answer.status} of {request.zone} at {request.sent_at:.2f}"
            yield Finding("CONFIG", text)


def _allowed(request: Request, sent: Sequence[Sent], from_s: float, until_s: float) -> set[str | None]:
    """The services that a route may go to; None among them: there may be no such route."""
    least = _due(sent, from_s)
    found: set[str | None] = set()
    for order in sent:
        if order.may_be_in_force and order.version >= least and order.sent_at <= until_s:
            items = [item for item in order.document["route-table"] if item["name"] == request.route]
            found.update(_services(items[0]) if items else {None})
    return found


def _services(item: dict[str, object]) -> set[str]:
    split = item.get("traffic-split")
    if isinstance(split, list):
        return {part["backend"] for part in split if part["weight"]}
    return {str(item["backend"])}


def check_lives(name: str, lives: Sequence[Life], grace_s: float) -> Iterator[Finding]:
    """Processes that ended by themselves, with another code than 0 when told to end, or too late."""
    for number, life in enumerate(lives):
        if life.ended_at is None or life.was_sent("KILL"):
            continue
        told_at = life.first("TERM")
        age_s = life.ended_at - life.started_at
        signals = ", ".join(f"{sent} at {at - life.started_at:.3f} s" for at, sent in life.signals) or "none"
        text = f"{name}, process {number}, ended with {life.code} after {age_s:.2f} s; signals: {signals}"
        if told_at is None:
            yield Finding("FAULT", text)
        elif life.code == ENDED_BY_SIGTERM and life.too_soon:
            continue
        elif life.code != 0:
            yield Finding("FAULT", f"{text}; it was told to end")
        elif life.ended_at - told_at > grace_s + 0.5:
            yield Finding("FAULT", f"{text}; {life.ended_at - told_at:.2f} s after SIGTERM")


def check_cuts(judge: Judge, lives: Mapping[str, Sequence[Life]], grace_s: float) -> Iterator[Finding]:
    """Requests that were passed on, and whose connection ended without an answer. All servers are sound."""
    cuts: dict[str, list[str]] = {}
    for request in judge.requests.values():
        answer = judge.answers.get(request.attempt_id)
        if answer is None or not answer.was_cut:
            continue
        if not judge.runs.get(request.attempt_id):
            continue
        own, sent_at, ended_at = lives[request.zone], request.sent_at, answer.ended_at
        if _was_killed(own, sent_at, ended_at) or _was_late(own, sent_at, ended_at, grace_s):
            continue
        lasted = answer.ended_at - request.sent_at
        cuts.setdefault(request.zone, []).append(
            f"{request.attempt_id} ({request.route}) sent at {request.sent_at:.2f}, cut after {lasted:.2f} s"
        )
    for name, texts in cuts.items():
        told = any(life.was_sent("TERM") for life in lives[name])
        if told or len(texts) > MAY_CUT:
            yield from (Finding("LOST", f"{name}: {text}") for text in texts)


def _was_killed(lives: Iterable[Life], begun: float, ended: float) -> bool:
    """Whether a process was killed or frozen meanwhile, or ended by itself."""
    for life in lives:
        blows = [at for at, sent in life.signals if sent in ("KILL", "STOP")]
        if any(begun - 0.1 <= at <= ended + 0.1 for at in blows):
            return True
        if life.code and life.ended_at is not None and begun - 0.1 <= life.ended_at <= ended + 0.3:
            return True
    return False


def _was_late(lives: Iterable[Life], sent: float, ended: float, grace_s: float) -> bool:
    """Whether the server was at work in the last sixth of the grace period, on a request sent early in it."""
    for life in lives:
        told_at = life.first("TERM")
        if told_at is not None and told_at <= ended <= told_at + grace_s + 1.0:
            return sent <= told_at + 3.0 and ended >= told_at + grace_s * 5 / 6
    return False


def check_log(name: str, text: str) -> Iterator[Finding]:
    """Errors that a process did not handle."""
    lines = text.splitlines()
    for number, line in enumerate(lines):
        if line.startswith("Traceback ") or "Exception in callback" in line or "never retrieved" in line:
            last = next((each for each in lines[number + 1 :] if each and not each.startswith(" ")), "")
            yield Finding(
                "FAULT", f"{name} logs an error that it did not handle: {line[:80]} ... {last[:160]}"
            )
