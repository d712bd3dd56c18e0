"""One soak run: a fleet of processes under faults, with clients on persistent connections and an operator."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import attrs

from cloverrouter.lab.fleet import deployment
from cloverrouter.lab.fleet.client import Client
from cloverrouter.lab.fleet.control_calls import NoDefinitiveAnswer
from cloverrouter.lab.fleet.exchange import ServerSpec
from cloverrouter.lab.fleet.judge import Finding, Judge, ObservedAnswer
from cloverrouter.lab.fleet.load import LoadGenerator, RequestKind
from cloverrouter.lab.fleet.nodes import NodeSpec
from cloverrouter.lab.fleet.registration import Departure, Registration, start_server
from cloverrouter.lab.soak import checks
from cloverrouter.lab.soak.machines import Machine, now
from cloverrouter.lab.soak.orders import BRANCH_SERVICE, Operator, initial_document
from cloverrouter.lab.soak.plan import Act, Fault, Plan
from cloverrouter.lab.soak.watch import Watch

READY_TIMEOUT_S = 30.0
RECOVERY_S = 12.0
ORDER_GAP_S = 0.7
CLIENTS_PER_MACHINE = 3
MAX_REQUESTS_PER_S = 80.0  # maximum over all clients
LAG_SAMPLE_S = 0.05
FINAL_REQUESTS_PER_ROUTE = 6  # per chosen machine, at the end
SERVES_BEFORE_DEPARTURE_S = 2.0  # of an added server
FIRST_LEAVING_NUMBER, LAST_SERVER_NUMBER = 20, 120  # of the servers that leave
EARLY_EVERY = 3  # long requests at the server that answers early
LONG_REQUEST_SHARE = 0.02
LONG_KIND = attrs.evolve(deployment.KINDS[2], name="upload", body_bytes=4_190_000)
"""Requests that may run once, too long for the buffers of a connection."""
MIN_SERVED_RATIO = 0.25  # of the served share of the first routes
MAX_REPORTED_FINDINGS = 12


@attrs.define(slots=True)
class Report:
    """The result of a run. `findings` are the violations of rules."""

    seed: int
    machines: int
    findings: list[Finding] = attrs.field(factory=list)
    process_count: int = 0
    early_signals: int = 0  # signals to an interpreter that had not yet started the program
    orders: int = 0
    confirmed: int = 0
    requests: int = 0
    served: int = 0
    statuses: dict[str, int] = attrs.field(factory=dict)
    lag_s: float = 0.0  # the longest scheduling delay of this process

    @property
    def passed(self) -> bool:
        """Returns whether no rule was violated."""
        return not self.findings


@attrs.frozen(slots=True)
class PinnedFrontend:
    """Sends all connections of a client to one machine."""

    address: str

    def frontend(self, zone: str) -> str:
        """Returns that machine's frontend."""
        return self.address


class Soak:
    """One run. `write_line` receives each line of progress."""

    def __init__(self, plan: Plan, folder: Path, write_line: Callable[[str], None]) -> None:
        self._plan = plan
        self._folder = folder
        self._write_line = write_line
        self._random = random.Random(f"run {plan.seed}")
        self._prefix = deployment.choose_loopback_prefix(plan.seed, folder)
        specs = _specs(self._prefix, plan)
        seeds = tuple(spec.control_plane for spec in specs if spec.has_disk)[:3]
        fleet = attrs.evolve(
            deployment.fleet_settings(tuple(specs)),
            seeds=seeds,
            machines_lost_at_once=plan.shape.lost_at_once,
        )
        controls = [spec.control_plane for spec in specs]
        self.machines = [Machine(spec, fleet, folder, plan.pause_s, now, controls) for spec in specs]
        self.judge = Judge()
        self.judge.drain_grace_s = float("inf")  # `check_departures` knows which machines are disturbed
        self._controls = controls
        self.operator = Operator(controls, plan.seed, now)
        self.watch = Watch(self.machines, 0.25 if plan.shape.size < 20 else 2.0, now)
        self._generator = LoadGenerator(deployment.TENANTS[:2], plan.seed)
        self._registrations: list[Registration] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._run_started_at = now()
        self._lag_s = 0.0
        self._extra_findings: list[Finding] = []

    async def run(self) -> Report:
        """Runs everything and returns the report."""
        self._run_started_at = now()
        try:
            if await self._bring_up():
                await self._inject_faults()
                await self._check_final_state()
        finally:
            await self._stop()
        return self._report()

    # Start

    async def _bring_up(self) -> bool:
        for machine in self.machines:
            machine.start(bootstrap=True)
        self._tasks += [asyncio.create_task(machine.supervise()) for machine in self.machines]
        self._tasks.append(asyncio.create_task(self._measure_lag()))
        for spec in _servers(self._prefix):
            heartbeat_s = deployment.HEARTBEAT_MS / 1000
            self._registrations.append(
                await start_server(spec, self._controls, heartbeat_s, self.judge, now, self._plan.seed)
            )
        try:
            await self.operator.submit_initial(initial_document(), READY_TIMEOUT_S)
        except NoDefinitiveAnswer as error:
            self._extra_findings.append(Finding("FAULT", f"no first configuration: {error}"))
            return False
        if not self.operator.sent[0].is_acknowledged:
            self._extra_findings.append(Finding("FAULT", "the first configuration is not confirmed"))
            return False
        self.watch.poller.start()
        if not await self._all_ready(READY_TIMEOUT_S):
            return False
        self._write_line(f"{self._elapsed_s():6.1f} s  {len(self.machines)} machines are ready")
        return True

    async def _all_ready(self, within_s: float) -> bool:
        """Waits until all machines are ready with the current configuration, else records a finding."""
        until = now() + within_s
        while now() < until:
            not_ready = [machine.spec.name for machine in self.machines if not self._is_up_to_date(machine)]
            if not not_ready:
                return True
            await asyncio.sleep(0.1)
        self._extra_findings.append(
            Finding("FAULT", f"not ready within {within_s:g} s: {', '.join(not_ready[:8])}")
        )
        return False

    def _is_up_to_date(self, machine: Machine) -> bool:
        observation = self.watch.newest.get(machine.spec.name)
        if observation is None or not machine.is_up or observation.pid != machine.process.pid:
            return False
        return observation.is_ready and observation.version >= self.operator.current["version"]

    # Faults

    async def _inject_faults(self) -> None:
        client_tasks = [asyncio.create_task(self._run_client(machine)) for machine in self._client_machines()]
        operator_task = asyncio.create_task(self.operator.run(ORDER_GAP_S))
        started_at = now()
        self._tasks += [
            asyncio.create_task(self._depart_at(started_at + at_s, how, number))
            for number, (at_s, how) in enumerate(self._plan.departures)
        ]
        for fault in self._plan.faults:
            await asyncio.sleep(max(0.0, started_at + fault.at_s - now()))
            targets = self.machines[: self._plan.shape.disks]
            for machine in targets if fault.act is Act.KILL_ALL else [self.machines[fault.machine_index]]:
                machine.inject(fault)
        await asyncio.sleep(max(0.0, started_at + self._plan.seconds - now()))
        operator_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await operator_task
        if self._plan.ends_with_kill_all:
            await self._kill_all()
        await self._all_ready(self._longest_disturbance_s() + RECOVERY_S)
        for task in client_tasks:
            task.cancel()
        await asyncio.gather(*client_tasks, return_exceptions=True)

    def _longest_disturbance_s(self) -> float:
        """Returns the longest time from SIGTERM to the restart: the grace period plus the restart pause."""
        return float(deployment.BOUNDS["grace-period-s"]) + self._plan.pause_s

    async def _kill_all(self) -> None:
        """Kills every machine's process right after a confirmed change and an acknowledged departure."""
        self._write_line(f"{self._elapsed_s():6.1f} s  last change, then all processes are killed")
        registration = await self._add_server(LAST_SERVER_NUMBER)
        await asyncio.sleep(SERVES_BEFORE_DEPARTURE_S)
        with contextlib.suppress(NoDefinitiveAnswer):
            await asyncio.wait_for(self.operator.change(), RECOVERY_S)
        await registration.depart(self._plan.last_departure, RECOVERY_S)
        for machine in self.machines:
            machine.inject(Fault(0.0, Act.KILL, 0))

    # Servers that leave. Each serves on until the end of the run.

    async def _depart_at(self, at: float, how: Departure, number: int) -> None:
        """Adds a server, which leaves at that time or soon after."""
        await asyncio.sleep(max(0.0, at - SERVES_BEFORE_DEPARTURE_S - now()))
        registration = await self._add_server(FIRST_LEAVING_NUMBER + number)
        await asyncio.sleep(SERVES_BEFORE_DEPARTURE_S)
        await registration.depart(how, RECOVERY_S)

    async def _add_server(self, number: int) -> Registration:
        spec = deployment.server(deployment.DESK_SERVICE, number, _server_prefix(self._prefix))
        heartbeat_s = deployment.HEARTBEAT_MS / 1000
        registration = await start_server(spec, self._controls, heartbeat_s, self.judge, now, self._plan.seed)
        self._registrations.append(registration)
        return registration

    def _client_machines(self) -> list[Machine]:
        return [machine for machine in self.machines for _ in range(CLIENTS_PER_MACHINE)]

    async def _run_client(self, machine: Machine) -> None:
        """Runs one client against one machine, on connections that it never closes by itself."""
        client = self._client(machine)
        pause_s = max(0.05, CLIENTS_PER_MACHINE * len(self.machines) / MAX_REQUESTS_PER_S)
        try:
            while True:
                await client.perform(self._draw_kind())
                await asyncio.sleep(self._random.uniform(0.0, 2 * pause_s))
        finally:
            client.close()

    def _client(self, machine: Machine) -> Client:
        pinned = PinnedFrontend(machine.spec.frontend)
        return Client(machine.spec.name, pinned, self._generator, self.judge, now, ignores_close=True)

    def _draw_kind(self) -> RequestKind:
        route_names = [item["name"] for item in self.operator.current["route-table"]]
        names = [name for name in route_names if name.startswith("r-soak-")]
        if names and self._random.random() < 0.4:
            return _soak_kind(self._random.choice(names))
        if self._random.random() < LONG_REQUEST_SHARE:
            return LONG_KIND
        return self._random.choice(deployment.KINDS)

    # Final checks

    async def _check_final_state(self) -> None:
        """Checks that after all faults a change is confirmed, applied in time, served, and read back."""
        await asyncio.sleep(float(deployment.BOUNDS["connectivity-ms"]) / 1000)
        await self.operator.refresh()
        for kind in ("add", "move"):
            order = await self.operator.change(kind)
            if not order.is_acknowledged:
                self._extra_findings.append(
                    Finding("CONFIG", f"a last change is not confirmed: {order.status}")
                )
                return
        await asyncio.sleep(float(deployment.BOUNDS["propagation-ms"]) / 1000 + 0.2)
        await self._request_all_routes()
        found = None
        for _ in range(10):
            found = found or await self.operator.read()
        if found is None:
            self._extra_findings.append(Finding("CONFIG", "the configuration can't be read back"))

    async def _request_all_routes(self) -> None:
        """Checks that added routes are served about as well as the first ones, at up to 12 machines."""
        names = [item["name"] for item in self.operator.current["route-table"]]
        added = [name for name in names if name.startswith("r-soak-")]
        chosen = self._random.sample(self.machines, min(len(self.machines), 12))
        shares = {name: [0, 0] for name in ("first", *added)}
        for machine in chosen:
            client = self._client(machine)
            for _ in range(FINAL_REQUESTS_PER_ROUTE):
                for name in shares:
                    kind = deployment.KINDS[3] if name == "first" else _soak_kind(name)
                    shares[name][0] += await self._is_served(client, kind)
                    shares[name][1] += 1
            client.close()
        first = shares["first"][0] / max(1, shares["first"][1])
        for name in added:
            share = shares[name][0] / max(1, shares[name][1])
            if share < MIN_SERVED_RATIO * first or first < 0.9:
                text = f"{name} is served {share:.2f}, the first routes {first:.2f}"
                self._extra_findings.append(Finding("CONFIG", text))

    async def _is_served(self, client: Client, kind: RequestKind) -> bool:
        before = set(self.judge.operations)
        await client.perform(kind)
        return any(
            self.judge.operations[each].served_at is not None for each in set(self.judge.operations) - before
        )

    async def _stop(self) -> None:
        self.watch.poller.stop()
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.stop()
        for machine in self.machines:
            await asyncio.to_thread(machine.wait_stopped)
        for registration in self._registrations:
            registration.stop()
            registration.server.abort()

    async def _measure_lag(self) -> None:
        while True:
            started_at = now()
            await asyncio.sleep(LAG_SAMPLE_S)
            self._lag_s = max(self._lag_s, now() - started_at - LAG_SAMPLE_S)

    def _elapsed_s(self) -> float:
        return now() - self._run_started_at

    # Report

    def _report(self) -> Report:
        self.judge.finish()
        answers = self.judge.answers.values()
        report = Report(self._plan.seed, len(self.machines), lag_s=self._lag_s)
        report.findings = [*self._extra_findings, *self.judge.findings, *self._run_checks()]
        report.process_count = sum(len(machine.processes) for machine in self.machines)
        report.early_signals = sum(
            process.early_signals for machine in self.machines for process in machine.processes
        )
        report.orders = len(self.operator.sent)
        report.confirmed = sum(sent.is_acknowledged for sent in self.operator.sent)
        report.requests = len(self.judge.requests)
        report.served = sum(answer.is_complete and answer.status == 200 for answer in answers)
        report.statuses = dict(Counter(_outcome(answer) for answer in answers).most_common())
        return report

    def _run_checks(self) -> Iterator[Finding]:
        timing_bounds = deployment.BOUNDS
        bounds = checks.Bounds(
            propagation_s=timing_bounds["propagation-ms"] / 1000,
            recovery_s=RECOVERY_S,
            connectivity_s=timing_bounds["connectivity-ms"] / 1000,
            grace_s=timing_bounds["grace-period-s"],
        )
        disturbances = {machine.spec.name: machine.disturbances() for machine in self.machines}
        core = frozenset(machine.spec.name for machine in self.machines if machine.spec.has_disk)
        history = checks.History(disturbances, core, bounds)
        processes = {machine.spec.name: machine.processes for machine in self.machines}
        sent = self.operator.sent
        yield from checks.check_orders(sent)
        yield from checks.check_reads(self.operator.reads, sent)
        yield from checks.check_observations(self.watch.observations, sent, history)
        yield from checks.check_routes(self.judge, sent, history)
        drain_timeout_s = deployment.DRAIN_TIMEOUT_MS / 1000
        yield from checks.check_departures(self.judge, history, drain_timeout_s)
        yield from checks.check_cuts(self.judge, processes, bounds.grace_s)
        for machine in self.machines:
            yield from checks.check_processes(machine.spec.name, machine.processes, bounds.grace_s)
            yield from checks.check_log(machine.spec.name, machine.node.log_path.read_text(errors="replace"))


def _outcome(answer: ObservedAnswer) -> str:
    """Returns a label for the outcome of an attempt."""
    if answer.status is None:
        return "cut" if answer.was_interrupted else "none"
    return str(answer.status) if answer.is_complete else f"{answer.status}-part"


def _specs(prefix: str, plan: Plan) -> list[NodeSpec]:
    zones = deployment.ZONES
    return [
        NodeSpec(
            f"edge-{machine_index}",
            f"{prefix}.{machine_index + 1}",
            zones[machine_index % len(zones)],
            machine_index < plan.shape.disks,
        )
        for machine_index in range(plan.shape.size)
    ]


def _servers(prefix: str) -> list[ServerSpec]:
    """Returns the servers, at addresses in another network than the machines."""
    own = _server_prefix(prefix)
    found = deployment.initial_servers(own)
    found = [attrs.evolve(found[-1], early_every=EARLY_EVERY), *found[:-1]]
    branch = [deployment.server(deployment.DESK_SERVICE, number, own) for number in (8, 9, 10)]
    renamed = [
        attrs.evolve(spec, backend=BRANCH_SERVICE, instance_id=f"i-{BRANCH_SERVICE}-{number}")
        for number, spec in enumerate(branch)
    ]
    return [*found, *renamed]


def _server_prefix(prefix: str) -> str:
    return f"127.{int(prefix.split('.')[1]) + 1}.{prefix.split('.')[2]}"


def _soak_kind(name: str) -> RequestKind:
    return RequestKind(
        name=name,
        route=name,
        host=deployment.HOST,
        path=f"/{name}/",
        backends=frozenset({deployment.DESK_SERVICE, BRANCH_SERVICE}),
        rate_per_s=1,
        deadline_ms=1500,
        target_ms=150,
        idempotent=True,
        retries=1,
    )
