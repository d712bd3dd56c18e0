"""A seed's disk in the system's first start: what it says of itself, and the word that it gives on ballots.

A word on a ballot goes out once it is on the disk: a process that is started again in the midst of the first
start keeps it.
"""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Genesis, GenesisQuery, GenesisState, SeedAccept, SeedPrepare
from cloverrouter.coordination.seed_acceptor import Answer, covers, decided
from cloverrouter.coordination.views import GENESIS_EPOCH, View
from cloverrouter.store.records import Ballot


class SeedDisk:
    """One replica's part in the first start."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._waiting: list[tuple[str, Ballot, Answer]] = []  # until their ballots are on the disk

    def told(self, now: float, ip: str, message: Genesis | GenesisQuery) -> bool:
        """The first view, or a question about this disk. Gives whether the view was taken just now."""
        taken = isinstance(message, Genesis) and self._adopt(now, message)
        self._tell(ip)
        return taken

    def _adopt(self, now: float, message: Genesis) -> bool:
        context = self._context
        view = View(GENESIS_EPOCH, message.voters, (), ())
        if not context.disk.meta.adoptable or view.voter(context.me.identity) is None:
            return False
        context.learn_view(now, view, settled=True)
        context.disk.set_meta()
        return True

    def _tell(self, ip: str) -> None:
        context = self._context
        view_epoch = context.view.epoch if context.view is not None else 0
        known = context.view.voters if context.view is not None else ()
        context.send(ip, GenesisState(context.me, context.disk.meta.adoptable, view_epoch, known))

    def asked(self, ip: str, message: SeedPrepare | SeedAccept) -> None:
        """A ballot. A disk that is not of the first start, or is past it, has no say any more."""
        disk = self._context.disk
        if not disk.meta.adoptable:
            if self._context.view is not None:
                self._tell(ip)
            return
        ballot, answer = decided(disk.meta.ballot, message)
        if ballot != disk.meta.ballot:
            disk.set_meta(ballot=ballot)
        self._waiting.append((ip, ballot, answer))

    def flush(self) -> None:
        """What rests on a ballot that is on the disk by now goes out."""
        stored = self._context.disk.durable.meta.ballot
        waiting, self._waiting = self._waiting, []
        for ip, ballot, answer in waiting:
            if covers(stored, ballot):
                self._context.send(ip, answer)
            else:
                self._waiting.append((ip, ballot, answer))
