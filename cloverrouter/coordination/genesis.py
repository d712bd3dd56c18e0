"""The system's first start: the seeds agree on the first voters and announce them to these voters.

The seed with the lowest address collects the disks that it knows of. In case it fails, the other seeds start
one after the other, in the order of their addresses and `takeover_s` apart. A majority of the seeds agrees on
the voters with single-decree Paxos, so that there is never a second choice, whatever partitions and restarts
occur. This module is the proposer; what a seed has promised and accepted belongs to the acceptor
(`seed_acceptor`), and is on the seed's disk if it has one. A seed that finds a disk which has already adopted
the first view announces that view again.

A machine without a disk may be a seed. On a machine that is no seed the proposer does nothing.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from enum import Enum

import attrs

from cloverrouter.coordination.messages import (
    Genesis,
    GenesisQuery,
    GenesisState,
    SeedAccept,
    SeedAccepted,
    SeedPrepare,
    SeedPrepared,
    SeedRefused,
)
from cloverrouter.coordination.views import GENESIS_EPOCH, Member, majority
from cloverrouter.messages.sending import Send


@attrs.frozen(slots=True)
class GenesisConfig:
    """Parameters of the first start. Times are in seconds."""

    tolerance: int  # number of voters that may fail; 2 * tolerance + 1 disks are wanted
    collect_s: float = 1.0  # least time for which disks are collected
    quiet_s: float = 0.4  # least time without a new disk before the collection ends
    accept_fewer_after_s: float = 8.0  # from then on tolerance + 1 disks are enough
    takeover_s: float = 4.0  # each seed waits this much longer than the one before it
    retry_s: float = 0.2
    spread_s: float = 60.0  # how long after its start a seed announces to voters that do not answer


class Stage(Enum):
    """The progress of the first start, as one seed sees it."""

    WAITING = "waiting"  # for the seeds with lower addresses
    COLLECTING = "collecting"  # disks that may become voters
    PREPARING = "preparing"  # Paxos phase 1
    ACCEPTING = "accepting"  # Paxos phase 2
    SPREADING = "spreading"  # the chosen voters are announced to them
    OVER = "over"


class GenesisProposer:
    """The proposer of one seed. `receive` handles the messages in `GENESIS_MESSAGES`."""

    def __init__(self, ip: str, seeds: Iterable[str], config: GenesisConfig) -> None:
        """`ip` is this machine's address, `seeds` are the addresses of the seeds, all without ports."""
        self._ip = ip
        self._seeds = sorted(set(seeds), key=ipaddress.ip_address)
        self._config = config
        self.stage = Stage.WAITING if ip in self._seeds else Stage.OVER
        self._started_at = 0.0
        self._last_sent_at = 0.0
        self._last_disk_at = 0.0  # when the last new disk answered
        self._candidates: dict[str, Member] = {}  # disks known from peer sampling
        self._eligible_disks: dict[str, Member] = {}  # those that have answered and may become voters
        self._chosen: tuple[Member, ...] = ()
        self._adopted: set[str] = set()
        self._ballot = 0
        self._acknowledged_by: set[str] = set()  # seeds that answered this ballot's phase
        self._highest_accepted: tuple[int, tuple[Member, ...]] = (0, ())  # ballot and voters
        self._highest_promised = 0  # the highest ballot that a seed has reported
        self._effects: list[Send] = []

    @property
    def is_over(self) -> bool:
        """Whether this seed has nothing left to do, so that the proposer can be dropped."""
        return self.stage is Stage.OVER

    # -- events --

    def start(self, now: float) -> list[Send]:
        """Handles the start of the process."""
        self._started_at = self._last_disk_at = now
        return self.tick(now)

    def discovered(self, now: float, members: Iterable[Member]) -> list[Send]:
        """Adds disks found by peer sampling to those that are queried."""
        for member in members:
            self._candidates.setdefault(member.identity, member)
        return []

    def tick(self, now: float) -> list[Send]:
        """Handles timeouts and retries; to be called every 50 ms."""
        if self.stage is Stage.WAITING and now >= self._takeover_at():
            self.stage = Stage.COLLECTING
        if self.stage is Stage.COLLECTING and self._has_collected(now):
            self._prepare(now)
        elif now - self._last_sent_at >= self._config.retry_s:
            self._send_requests(now)
        if self.stage is Stage.SPREADING and now - self._started_at > self._config.spread_s:
            self.stage = Stage.OVER
        return self._take_effects()

    def receive(self, now: float, sender_ip: str, message: object) -> list[Send]:
        """Handles a message. Those of the ballots count only if they come from a seed."""
        if isinstance(message, GenesisState):
            self._on_state(now, message)
        elif sender_ip in self._seeds:
            self._on_seed_message(now, sender_ip, message)
        return self._take_effects()

    def _take_effects(self) -> list[Send]:
        effects, self._effects = self._effects, []
        return effects

    def _takeover_at(self) -> float:
        return self._started_at + self._seeds.index(self._ip) * self._config.takeover_s

    # -- disks --

    def _send_requests(self, now: float) -> None:
        self._last_sent_at = now
        if self.stage is Stage.COLLECTING:
            for member in self._candidates.values():
                self._effects.append(Send(member.ip, GenesisQuery(member.identity)))
        elif self.stage is Stage.SPREADING:
            for member in self._chosen:
                if member.identity not in self._adopted:
                    self._effects.append(Send(member.ip, Genesis(member.identity, self._chosen)))
        elif self.stage in (Stage.PREPARING, Stage.ACCEPTING):
            self._prepare(now)

    def _on_state(self, now: float, message: GenesisState) -> None:
        identity = message.member.identity
        if message.view_epoch > GENESIS_EPOCH:
            self.stage = Stage.OVER
        elif message.view_epoch == GENESIS_EPOCH:
            self._adopted.add(identity)
            if self.stage is not Stage.OVER:
                self._spread(now, message.voters)
        elif message.adoptable and identity not in self._eligible_disks:
            self._eligible_disks[identity] = message.member
            self._last_disk_at = now

    def _has_collected(self, now: float) -> bool:
        config = self._config
        count = len(self._eligible_disks)
        if now - self._started_at < config.collect_s or now - self._last_disk_at < config.quiet_s:
            return False
        if now - self._started_at >= config.accept_fewer_after_s:
            return count >= config.tolerance + 1
        return count >= 2 * config.tolerance + 1

    def _spread(self, now: float, voters: tuple[Member, ...]) -> None:
        """Announces the first voters to those that have not adopted them yet."""
        if self.stage is not Stage.SPREADING:
            self.stage = Stage.SPREADING
            self._chosen = voters
            self._send_requests(now)
        if all(member.identity in self._adopted for member in self._chosen):
            self.stage = Stage.OVER

    # -- ballots --

    def _prepare(self, now: float) -> None:
        """Starts a ballot with a number of this seed's own, above all that it has seen."""
        self._last_sent_at = now
        count = len(self._seeds)
        index = self._seeds.index(self._ip)
        above = max(self._ballot, self._highest_promised)
        self._ballot = (above // count + 1) * count + index
        self.stage = Stage.PREPARING
        self._acknowledged_by = set()
        self._highest_accepted = (0, ())
        self._send_to_seeds(SeedPrepare(self._ballot))

    def _accept(self, now: float) -> None:
        disks = sorted(self._eligible_disks.values(), key=lambda member: member.identity)
        voters = self._highest_accepted[1] or tuple(disks)
        self.stage = Stage.ACCEPTING
        self._acknowledged_by = set()
        self._chosen = voters
        self._send_to_seeds(SeedAccept(self._ballot, voters))

    def _send_to_seeds(self, message: object) -> None:
        self._effects += [Send(seed, message) for seed in self._seeds]

    def _on_seed_message(self, now: float, ip: str, message: object) -> None:
        if isinstance(message, SeedPrepared):
            self._on_prepared(now, ip, message)
        elif isinstance(message, SeedAccepted):
            self._on_accepted(now, ip, message)
        elif isinstance(message, SeedRefused):
            self._highest_promised = max(self._highest_promised, message.promised)

    def _on_prepared(self, now: float, ip: str, message: SeedPrepared) -> None:
        if self.stage is not Stage.PREPARING or message.ballot != self._ballot:
            return
        self._acknowledged_by.add(ip)
        if message.accepted_ballot > self._highest_accepted[0]:
            self._highest_accepted = (message.accepted_ballot, message.voters)
        if len(self._acknowledged_by) >= majority(len(self._seeds)):
            self._accept(now)

    def _on_accepted(self, now: float, ip: str, message: SeedAccepted) -> None:
        if self.stage is not Stage.ACCEPTING or message.ballot != self._ballot:
            return
        self._acknowledged_by.add(ip)
        if len(self._acknowledged_by) >= majority(len(self._seeds)):
            self._spread(now, self._chosen)
