"""One soak run: a fleet of real processes, clients that never let go, an operator, and strikes."""

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
from cloverrouter.lab.fleet.control_calls import NoAnswer
from cloverrouter.lab.fleet.exchange import ServerSpec
from cloverrouter.lab.fleet.judge import AnswerSeen, Finding, Judge
from cloverrouter.lab.fleet.load import Draws, Kind
from cloverrouter.lab.fleet.nodes import NodeSpec
from cloverrouter.lab.fleet.registration import Registration, start_server
from cloverrouter.lab.soak import checks
from cloverrouter.lab.soak.machines import Machine, now
from cloverrouter.lab.soak.orders import BRANCH_SERVICE, Operator, first_document
from cloverrouter.lab.soak.plan import Act, Plan, Strike
from cloverrouter.lab.soak.watch import Watch

FIRST_WITHIN_S = 30.0
RECOVERY_S = 12.0
ORDER_GAP_S = 0.7
CLIENTS_A_MACHINE = 3
REQUESTS_A_SECOND = 80.0  # over all clients at most
LAG_LOOK_S = 0.05
CALM_ASKS = 6  # of each added route at each machine, in the end
LEAST_SERVED = 0.25  # of what the first routes get
MOST_NAMED = 12


@attrs.define(slots=True)
class Report:
    """How a run went. `findings` are the rules that were broken, with words for each."""

    seed: int
    machines: int
    findings: list[Finding] = attrs.field(factory=list)
    lives: int = 0
    too_soon: int = 0  # signals that met an interpreter which had not begun with the program
    orders: int = 0
    confirmed: int = 0
    requests: int = 0
    served: int = 0
    statuses: dict[str, int] = attrs.field(factory=dict)
    lag_s: float = 0.0  # the longest time by which this process itself was late

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.findings


@attrs.frozen(slots=True)
class Pinned:
    """Where the clients of one machine go: there, always."""

    address: str

    def frontend(self, zone: str) -> str:
        """That machine's frontend."""
        return self.address


class Soak:
    """One run. `say` is handed lines of progress."""

    def __init__(self, plan: Plan, folder: Path, say: Callable[[str], None]) -> None:
        self._plan = plan
        self._folder = folder
        self._say = say
        self._random = random.Random(f"run {plan.seed}")
        self._prefix = deployment.drawn_prefix(plan.seed, folder)
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
        self.judge.drain_grace_s = 2 * deployment.DRAIN_TIMEOUT_MS / 1000
        self._controls = controls
        self.operator = Operator(controls, plan.seed, now)
        self.watch = Watch(self.machines, 0.25 if plan.shape.size < 20 else 2.0, now)
        self._draws = Draws(deployment.TENANTS[:2], plan.seed)
        self._registrations: list[Registration] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._began_at = now()
        self._lag_s = 0.0
        self._extra: list[Finding] = []

    async def play(self) -> Report:
        """The whole run."""
        self._began_at = now()
        try:
            if await self._bring_up():
                await self._be_struck()
                await self._end_calmly()
        finally:
            await self._stop()
        return self._report()

    # The way up

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
            await self.operator.first(first_document(), FIRST_WITHIN_S)
        except NoAnswer as error:
            self._extra.append(Finding("FAULT", f"no first configuration: {error}"))
            return False
        if not self.operator.sent[0].is_acknowledged:
            self._extra.append(Finding("FAULT", "the first configuration is not confirmed"))
            return False
        self.watch.asking.begin()
        if not await self._all_ready(FIRST_WITHIN_S):
            return False
        self._say(f"{self._at():6.1f} s  {len(self.machines)} machines are ready")
        return True

    async def _all_ready(self, within_s: float) -> bool:
        """Waits until all machines say that they are ready, and have what is in force."""
        until = now() + within_s
        while now() < until:
            late = [machine.spec.name for machine in self.machines if not self._is_well(machine)]
            if not late:
                return True
            await asyncio.sleep(0.1)
        self._extra.append(Finding("FAULT", f"not ready within {within_s:g} s: {', '.join(late[:8])}"))
        return False

    def _is_well(self, machine: Machine) -> bool:
        sight = self.watch.newest.get(machine.spec.name)
        if sight is None or not machine.is_up or sight.pid != machine.life.pid:
            return False
        return sight.is_ready and sight.version >= self.operator.current["version"]

    # Trouble

    async def _be_struck(self) -> None:
        calling = [asyncio.create_task(self._call_on(machine)) for machine in self._callers()]
        ordering = asyncio.create_task(self.operator.go_on(ORDER_GAP_S))
        begun = now()
        for strike in self._plan.strikes:
            await asyncio.sleep(max(0.0, begun + strike.at_s - now()))
            struck = self.machines[: self._plan.shape.disks]
            for machine in struck if strike.act is Act.KILL_ALL else [self.machines[strike.place]]:
                machine.strike(strike)
        await asyncio.sleep(max(0.0, begun + self._plan.seconds - now()))
        ordering.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await ordering
        if self._plan.ends_with_loss:
            await self._lose_all()
        await self._all_ready(self._longest_trouble_s() + RECOVERY_S)
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)

    def _longest_trouble_s(self) -> float:
        """A process that was told to end goes on for so long, and is then started again."""
        return float(deployment.BOUNDS["grace-period-s"]) + self._plan.pause_s

    async def _lose_all(self) -> None:
        """Every machine's process is killed right after a change was confirmed."""
        self._say(f"{self._at():6.1f} s  a last change, then all are killed")
        with contextlib.suppress(NoAnswer):
            await asyncio.wait_for(self.operator.change(), RECOVERY_S)
        for machine in self.machines:
            machine.strike(Strike(0.0, Act.KILL, 0))

    def _callers(self) -> list[Machine]:
        return [machine for machine in self.machines for _ in range(CLIENTS_A_MACHINE)]

    async def _call_on(self, machine: Machine) -> None:
        """One client that asks one machine, on connections that it never lets go by itself."""
        client = self._client(machine)
        pause_s = max(0.05, CLIENTS_A_MACHINE * len(self.machines) / REQUESTS_A_SECOND)
        try:
            while True:
                await client.ask(self._any_kind())
                await asyncio.sleep(self._random.uniform(0.0, 2 * pause_s))
        finally:
            client.close()

    def _client(self, machine: Machine) -> Client:
        pinned = Pinned(machine.spec.frontend)
        return Client(machine.spec.name, pinned, self._draws, self.judge, now, is_stubborn=True)

    def _any_kind(self) -> Kind:
        held = [item["name"] for item in self.operator.current["route-table"]]
        names = [name for name in held if name.startswith("r-soak-")]
        if names and self._random.random() < 0.4:
            return _soak_kind(self._random.choice(names))
        return self._random.choice(deployment.KINDS)

    # The end

    async def _end_calmly(self) -> None:
        """A change is made, in force in time and served at all machines, and read back."""
        await asyncio.sleep(float(deployment.BOUNDS["connectivity-ms"]) / 1000)
        await self.operator.find_out()
        for kind in ("add", "move"):
            order = await self.operator.change(kind)
            if not order.is_acknowledged:
                self._extra.append(Finding("CONFIG", f"a last change is not confirmed: {order.status}"))
                return
        await asyncio.sleep(float(deployment.BOUNDS["propagation-ms"]) / 1000 + 0.2)
        await self._ask_all_routes()
        found = None
        for _ in range(10):
            found = found or await self.operator.read()
        if found is None:
            self._extra.append(Finding("CONFIG", "the configuration can't be read back"))

    async def _ask_all_routes(self) -> None:
        """Added routes are served as well as the first ones, at every machine."""
        names = [item["name"] for item in self.operator.current["route-table"]]
        added = [name for name in names if name.startswith("r-soak-")]
        chosen = self._random.sample(self.machines, min(len(self.machines), 12))
        shares = {name: [0, 0] for name in ("first", *added)}
        for machine in chosen:
            client = self._client(machine)
            for _ in range(CALM_ASKS):
                for name in shares:
                    kind = deployment.KINDS[3] if name == "first" else _soak_kind(name)
                    shares[name][0] += await self._is_served(client, kind)
                    shares[name][1] += 1
            client.close()
        first = shares["first"][0] / max(1, shares["first"][1])
        for name in added:
            share = shares[name][0] / max(1, shares[name][1])
            if share < LEAST_SERVED * first or first < 0.9:
                text = f"{name} is served {share:.2f}, the first routes {first:.2f}"
                self._extra.append(Finding("CONFIG", text))

    async def _is_served(self, client: Client, kind: Kind) -> bool:
        before = set(self.judge.asks)
        await client.ask(kind)
        return any(self.judge.asks[each].served_at is not None for each in set(self.judge.asks) - before)

    async def _stop(self) -> None:
        self.watch.asking.stop()
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        for machine in self.machines:
            await asyncio.to_thread(machine.ended)
        for registration in self._registrations:
            registration.stop()
            registration.server.end()

    async def _measure_lag(self) -> None:
        while True:
            begun = now()
            await asyncio.sleep(LAG_LOOK_S)
            self._lag_s = max(self._lag_s, now() - begun - LAG_LOOK_S)

    def _at(self) -> float:
        return now() - self._began_at

    # The verdict

    def _report(self) -> Report:
        self.judge.finish()
        answers = self.judge.answers.values()
        report = Report(self._plan.seed, len(self.machines), lag_s=self._lag_s)
        report.findings = [*self._extra, *self.judge.findings, *self._checked()]
        report.lives = sum(len(machine.lives) for machine in self.machines)
        report.too_soon = sum(life.too_soon for machine in self.machines for life in machine.lives)
        report.orders = len(self.operator.sent)
        report.confirmed = sum(sent.is_acknowledged for sent in self.operator.sent)
        report.requests = len(self.judge.requests)
        report.served = sum(answer.whole and answer.status == 200 for answer in answers)
        report.statuses = dict(Counter(_outcome(answer) for answer in answers).most_common())
        return report

    def _checked(self) -> Iterator[Finding]:
        told = deployment.BOUNDS
        bounds = checks.Bounds(
            propagation_s=told["propagation-ms"] / 1000,
            recovery_s=RECOVERY_S,
            connectivity_s=told["connectivity-ms"] / 1000,
            grace_s=told["grace-period-s"],
        )
        troubles = {machine.spec.name: machine.troubles() for machine in self.machines}
        core = frozenset(machine.spec.name for machine in self.machines if machine.spec.has_disk)
        history = checks.History(troubles, core, bounds)
        lives = {machine.spec.name: machine.lives for machine in self.machines}
        sent = self.operator.sent
        yield from checks.check_orders(sent)
        yield from checks.check_reads(self.operator.reads, sent)
        yield from checks.check_sights(self.watch.sights, sent, history)
        yield from checks.check_routes(self.judge, sent, history)
        yield from checks.check_cuts(self.judge, lives, bounds.grace_s)
        for machine in self.machines:
            yield from checks.check_lives(machine.spec.name, machine.lives, bounds.grace_s)
            yield from checks.check_log(machine.spec.name, machine.node.log_path.read_text(errors="replace"))


def _outcome(answer: AnswerSeen) -> str:
    """One word for how a try ended."""
    if answer.status is None:
        return "cut" if answer.was_cut else "none"
    return str(answer.status) if answer.whole else f"{answer.status}-part"


def _specs(prefix: str, plan: Plan) -> list[NodeSpec]:
    zones = deployment.ZONES
    return [
        NodeSpec(
            f"edge-{place}", f"{prefix}.{place + 1}", zones[place % len(zones)], place < plan.shape.disks
        )
        for place in range(plan.shape.size)
    ]


def _servers(prefix: str) -> list[ServerSpec]:
    """Model servers and desks at addresses after those of the machines."""
    own = f"127.{int(prefix.split('.')[1]) + 1}.{prefix.split('.')[2]}"
    found = deployment.services_at_start(own)
    branch = [deployment.server(deployment.DESK_SERVICE, number, own) for number in (8, 9, 10)]
    renamed = [
        attrs.evolve(spec, backend=BRANCH_SERVICE, instance_id=f"i-{BRANCH_SERVICE}-{number}")
        for number, spec in enumerate(branch)
    ]
    return [*found, *renamed]


def _soak_kind(name: str) -> Kind:
    return Kind(
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
