"""A replica's part in the system's first start: it reports its state, adopts the first view, answers ballots.

Answers to ballots are sent only once the ballot is on the disk, so that a process that is restarted during
the first start keeps its promises.
"""

from __future__ import annotations

from cloverrouter.coordination.context import Context
from cloverrouter.coordination.messages import Genesis, GenesisQuery, GenesisState, SeedAccept, SeedPrepare
from cloverrouter.coordination.seed_acceptor import Answer, covers, handle_ballot
from cloverrouter.coordination.views import GENESIS_EPOCH, View
from cloverrouter.store.records import Ballot


class GenesisParticipant:
    """Handles the messages of the first start at one replica."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._pending_answers: list[tuple[str, Ballot, Answer]] = []  # whose ballots are not on the disk yet

    def on_genesis(self, now: float, ip: str, message: Genesis | GenesisQuery) -> bool:
        """Adopts the first view if it can, and answers with its state. Returns whether it just adopted it."""
        is_adopted = isinstance(message, Genesis) and self._adopt(now, message)
        self._send_state(ip)
        return is_adopted

    def _adopt(self, now: float, message: Genesis) -> bool:
        context = self._context
        view = View(GENESIS_EPOCH, message.voters, (), ())
        if not context.disk.meta.adoptable or view.voter(context.me.identity) is None:
            return False
        context.learn_view(now, view, settled=True)
        context.disk.set_meta()
        return True

    def _send_state(self, ip: str) -> None:
        context = self._context
        view_epoch = context.view.epoch if context.view is not None else 0
        voters = context.view.voters if context.view is not None else ()
        context.send(ip, GenesisState(context.me, context.disk.meta.adoptable, view_epoch, voters))

    def on_ballot(self, ip: str, message: SeedPrepare | SeedAccept) -> None:
        """Handles a ballot message.

        A disk that takes no part in the first start, or has adopted a view, accepts no ballots; in the latter
        case it answers with its state.
        """
        disk = self._context.disk
        if not disk.meta.adoptable:
            if self._context.view is not None:
                self._send_state(ip)
            return
        ballot, answer = handle_ballot(disk.meta.ballot, message)
        if ballot != disk.meta.ballot:
            disk.set_meta(ballot=ballot)
        self._pending_answers.append((ip, ballot, answer))

    def flush(self) -> None:
        """Sends the answers whose ballots are on the disk by now."""
        stored = self._context.disk.durable.meta.ballot
        pending, self._pending_answers = self._pending_answers, []
        for ip, ballot, answer in pending:
            if covers(stored, ballot):
                self._context.send(ip, answer)
            else:
                self._pending_answers.append((ip, ballot, answer))
