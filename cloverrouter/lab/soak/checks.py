"""Checks a soak run's observations against the contract's rules CONFIG, DRAIN, FAULT and LOST. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from operator import attrgetter

import attrs

from cloverrouter.lab.fleet.judge import Finding, Judge, Request, differences
from cloverrouter.lab.soak.machines import ProcessRecord
from cloverrouter.lab.soak.orders import VERSION_CONFLICT, ObservedRead, SentOrder
from cloverrouter.lab.soak.watch import Observation

ENDED_BY_SIGTERM = -15
END_SLACK_S = 0.5  # for a process to end after its grace period
MAX_CUT_REQUESTS = 3  # forwarded requests that a machine may interrupt


@attrs.frozen(slots=True)
class Bounds:
    """Time limits of the contract, in seconds."""

    propagation_s: float
    connectivity_s: float
    recovery_s: float
    grace_s: float


@attrs.frozen(slots=True)
class History:
    """Each machine's disturbances as spans of time, and the core: the machines with a disk."""

    disturbances: dict[str, list[tuple[float, float]]]
    core: frozenset[str]
    bounds: Bounds

    def was_undisturbed(self, machine: str, at: float, for_s: float | None = None) -> bool:
        """Returns whether the machine and the core were undisturbed for `for_s` seconds before `at`.

        Only then the rules with a time limit apply. Default: the contract's connectivity time.
        """
        span = (at - (self.bounds.connectivity_s if for_s is None else for_s), at)
        return not any(self._overlaps_disturbance(span, name) for name in {machine, *self.core})

    def _overlaps_disturbance(self, span: tuple[float, float], machine: str) -> bool:
        return any(
            started_at <= span[1] and ended_at >= span[0]
            for started_at, ended_at in self.disturbances[machine]
        )


def check_orders(sent: Sequence[SentOrder]) -> Iterator[Finding]:
    """Finds confirmed invalid orders, two orders confirmed on one version, and wrongly refused orders."""
    confirmed_by_base: dict[int, SentOrder] = {}
    for order in sorted((each for each in sent if each.is_acknowledged), key=attrgetter("sent_at")):
        if not order.is_valid:
            yield Finding(
                "CONFIG", f"an invalid order is confirmed ({order.description}): version {order.version}"
            )
        rival = confirmed_by_base.setdefault(order.base, order)
        if rival.document != order.document:
            yield Finding(
                "CONFIG", f"versions {rival.version} and {order.version} are both confirmed on {order.base}"
            )
    for order in sent:
        if order.description == "again" and order.status is not None and order.status >= 400:
            if not _may_have_changed(order, sent):
                yield Finding("CONFIG", f"version {order.version}, confirmed, is refused: {order.status}")
        elif order.is_valid and order.status is not None and 400 <= order.status < 500:
            if order.status != VERSION_CONFLICT:
                yield Finding("CONFIG", f"a valid order ({order.description}) is refused: {order.status}")
            elif not _has_rival(order, sent):
                yield Finding("CONFIG", f"version {order.version} on {order.base} is refused: 412")


def _may_have_changed(order: SentOrder, sent: Sequence[SentOrder]) -> bool:
    return any(
        each.may_be_in_force and each.version > order.version and each.sent_at < (order.answered_at or 0)
        for each in sent
    )


def _has_rival(order: SentOrder, sent: Sequence[SentOrder]) -> bool:
    """Returns whether another order may have been applied first."""
    return any(
        each is not order
        and each.may_be_in_force
        and each.base >= order.base
        and each.version != order.version
        for each in sent
        if each.sent_at < (order.answered_at or 0)
    )


def check_reads(reads: Sequence[ObservedRead], sent: Sequence[SentOrder]) -> Iterator[Finding]:
    """Finds reads older than what was confirmed before them, or of what was never ordered."""
    documents = {order.version: order for order in sent if order.may_be_in_force}
    for read in reads:
        confirmed = _newest_confirmed(sent, read.sent_at)
        if read.version < confirmed:
            text = f"{read.address} reads version {read.version}, {confirmed} was confirmed before"
            yield Finding("CONFIG", text)
        order = documents.get(read.version)
        if order is None:
            yield Finding("CONFIG", f"{read.address} reads version {read.version}, which can't be in force")
        elif different := differences(order.document, read.document):
            yield Finding("CONFIG", f"version {read.version} differs when read: {', '.join(different)}")


def check_observations(
    observations: Sequence[Observation], sent: Sequence[SentOrder], history: History
) -> Iterator[Finding]:
    """Finds machines that apply a confirmed version late, or whose version decreases in one process."""
    newest: dict[tuple[str, int], int] = {}
    for observation in sorted(observations, key=attrgetter("answered_at")):
        key = (observation.machine, observation.pid)
        if observation.version < newest.get(key, 0):
            yield Finding(
                "CONFIG",
                f"{observation.machine} went back from version {newest[key]} to {observation.version}",
            )
        newest[key] = max(observation.version, newest.get(key, 0))
        expected_version = _newest_confirmed(sent, observation.asked_at - history.bounds.propagation_s)
        # Without a configuration it refuses requests without executing them, which the recovery time allows.
        for_s = history.bounds.recovery_s if observation.version == 0 else None
        if observation.version < expected_version and history.was_undisturbed(
            observation.machine, observation.asked_at, for_s
        ):
            text = (
                f"{observation.machine} has version {observation.version} at {observation.asked_at:.2f}, "
                f"{expected_version} is due"
            )
            yield Finding("CONFIG", text)


def _newest_confirmed(sent: Sequence[SentOrder], at: float) -> int:
    """Returns the newest version confirmed by then."""
    return max((o.version for o in sent if o.is_acknowledged and (o.answered_at or 0) <= at), default=0)


def check_routes(judge: Judge, sent: Sequence[SentOrder], history: History) -> Iterator[Finding]:
    """Finds requests that undisturbed machines handled against every configuration that may be in force."""
    for request in judge.requests.values():
        answer = judge.answers.get(request.attempt_id)
        if answer is None or not request.route.startswith("r-soak-"):
            continue
        if not history.was_undisturbed(request.zone, answer.ended_at):
            continue
        allowed = _allowed(request, sent, request.sent_at - history.bounds.propagation_s, answer.ended_at)
        for run in judge.runs.get(request.attempt_id, ()):
            if run.backend not in allowed:
                text = f"{run.backend} runs {request.route} for {request.zone} at {request.sent_at:.2f}"
                yield Finding("CONFIG", f"{text}, allowed: {sorted(map(str, allowed))}")
        is_unknown = answer.status == 404 and None not in allowed
        if not answer.signature and (is_unknown or answer.status == 401):
            text = f"{request.route}: {answer.status} of {request.zone} at {request.sent_at:.2f}"
            yield Finding("CONFIG", text)


def _allowed(request: Request, sent: Sequence[SentOrder], from_s: float, until_s: float) -> set[str | None]:
    """Returns the services that a route may lead to. None among them: the route may not exist."""
    oldest_version = _newest_confirmed(sent, from_s)
    found: set[str | None] = set()
    for order in sent:
        if order.may_be_in_force and order.version >= oldest_version and order.sent_at <= until_s:
            items = [item for item in order.document["route-table"] if item["name"] == request.route]
            found.update(_services(items[0]) if items else {None})
    return found


def _services(item: dict[str, object]) -> set[str]:
    split = item.get("traffic-split")
    if isinstance(split, list):
        return {part["backend"] for part in split if part["weight"]}
    return {str(item["backend"])}


def check_departures(judge: Judge, history: History, drain_timeout_s: float) -> Iterator[Finding]:
    """Finds requests that undisturbed machines passed on to a server long after its acknowledged departure.

    A kill of everything disturbs for twice the connectivity time.
    """
    for_s = 2 * history.bounds.connectivity_s
    for attempt_id, runs in judge.runs.items():
        request = judge.requests.get(attempt_id)
        for run in runs if request is not None else ():
            left_at = judge.drained.get(run.instance)
            if left_at is None or run.started_at <= left_at + drain_timeout_s:
                continue
            assert request is not None
            if history.was_undisturbed(request.zone, request.sent_at, for_s):
                late_s = run.started_at - left_at
                text = f"{request.zone} passes {attempt_id} on to {run.instance} {late_s:.1f} s after it left"
                yield Finding("DRAIN", text)


def check_processes(name: str, processes: Sequence[ProcessRecord], grace_s: float) -> Iterator[Finding]:
    """Finds processes that exited unexpectedly, or after SIGTERM with a code other than 0 or too late."""
    for number, process in enumerate(processes):
        if process.ended_at is None or process.was_sent("KILL"):
            continue
        sigterm_at = process.first_sent_at("TERM")
        age_s = process.ended_at - process.started_at
        signals = (
            ", ".join(f"{sent} at {at - process.started_at:.3f} s" for at, sent in process.signals) or "none"
        )
        text = f"{name}, process {number}, ended with {process.code} after {age_s:.2f} s; signals: {signals}"
        if sigterm_at is None:
            yield Finding("FAULT", text)
        elif process.code == ENDED_BY_SIGTERM and process.early_signals:
            continue
        elif process.code != 0:
            yield Finding("FAULT", f"{text}; it was sent SIGTERM")
        elif process.ended_at > _due_end(process, sigterm_at + grace_s) + END_SLACK_S:
            yield Finding("FAULT", f"{text}; {process.ended_at - sigterm_at:.2f} s after SIGTERM")


def _due_end(process: ProcessRecord, grace_ends_at: float) -> float:
    """Returns by when the process should have ended: a frozen one can end only after it was thawed."""
    frozen_until = grace_ends_at
    stopped_at: float | None = None
    for at, sent in process.signals:
        if sent == "STOP":
            stopped_at = at
        elif sent == "CONT" and stopped_at is not None and stopped_at <= grace_ends_at < at:
            frozen_until = max(frozen_until, at)
    return frozen_until


def check_cuts(
    judge: Judge, processes: Mapping[str, Sequence[ProcessRecord]], grace_s: float
) -> Iterator[Finding]:
    """Finds forwarded requests whose connection ended without an answer. All servers are healthy."""
    cut_requests: dict[str, list[str]] = {}
    for request in judge.requests.values():
        answer = judge.answers.get(request.attempt_id)
        if answer is None or not answer.was_interrupted:
            continue
        if not judge.runs.get(request.attempt_id):
            continue
        machine_processes, sent_at, ended_at = processes[request.zone], request.sent_at, answer.ended_at
        if _was_disturbed(machine_processes, sent_at, ended_at) or _outlasted_grace(
            machine_processes, sent_at, ended_at, grace_s
        ):
            continue
        lasted = answer.ended_at - request.sent_at
        cut_requests.setdefault(request.zone, []).append(
            f"{request.attempt_id} ({request.route}) sent at {request.sent_at:.2f}, cut after {lasted:.2f} s"
        )
    for name, texts in cut_requests.items():
        was_terminated = any(process.was_sent("TERM") for process in processes[name])
        if was_terminated or len(texts) > MAX_CUT_REQUESTS:
            yield from (Finding("LOST", f"{name}: {text}") for text in texts)


def _was_disturbed(processes: Iterable[ProcessRecord], started_at: float, ended_at: float) -> bool:
    """Returns whether a process was killed or stopped meanwhile, or exited unexpectedly."""
    for process in processes:
        signal_times = [at for at, sent in process.signals if sent in ("KILL", "STOP")]
        if any(started_at - 0.1 <= at <= ended_at + 0.1 for at in signal_times):
            return True
        if (
            process.code
            and process.ended_at is not None
            and started_at - 0.1 <= process.ended_at <= ended_at + 0.3
        ):
            return True
    return False


def _outlasted_grace(
    processes: Iterable[ProcessRecord], sent: float, ended_at: float, grace_s: float
) -> bool:
    """Returns whether a request sent early in the grace period was still running in its last sixth."""
    for process in processes:
        sigterm_at = process.first_sent_at("TERM")
        if sigterm_at is not None and sigterm_at <= ended_at <= sigterm_at + grace_s + 1.0:
            return sent <= sigterm_at + 3.0 and ended_at >= sigterm_at + grace_s * 5 / 6
    return False


def check_log(name: str, text: str) -> Iterator[Finding]:
    """Finds unhandled errors in a process's log."""
    lines = text.splitlines()
    for number, line in enumerate(lines):
        if line.startswith("Traceback ") or "Exception in callback" in line or "never retrieved" in line:
            last = next((each for each in lines[number + 1 :] if each and not each.startswith(" ")), "")
            yield Finding("FAULT", f"{name} logged an unhandled error: {line[:80]} ... {last[:160]}")
