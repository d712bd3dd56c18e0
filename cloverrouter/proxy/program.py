"""One client proxy, put together: its parts, what operators ask of it, and how it comes and goes."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import socket
from random import Random

from cloverrouter.core.shutdown import Observation, Shutdown, ShutdownAction
from cloverrouter.interface import BalancerState, ListKind
from cloverrouter.proxy import config, handover
from cloverrouter.proxy.admin import Admin
from cloverrouter.proxy.config import Address, Config, HostList, Json
from cloverrouter.proxy.discovery import Watch
from cloverrouter.proxy.figures import Figures, Gauges
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.handover import Giver, Inheritance, Link
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.peers import Peers
from cloverrouter.proxy.streams import Budget
from cloverrouter.proxy.upstream import Upstream

# Standard streams, the loop's own, the listeners, discovery, operators' calls, the handover, and some air.
RESERVED_SOCKETS = 48
POLL_S = 0.02
SHARE_S = 0.03
PART = 0.5  # of the module's budgets is for each of two processes that serve beside each other
READY_S = 5.0  # for a new process to know servers; then it takes over as it is
log = logging.getLogger("cloverrouter.proxy")


class Program:
    """Runs until it is told to stop, or until the module fails."""

    def __init__(self, told: Config, inherited: Inheritance | None) -> None:
        self._loop = asyncio.get_running_loop()
        self._told = told
        self._inherited = inherited
        self._stop = asyncio.Event()
        self._crashes: list[BaseException] = []
        self._links: list[Link] = []  # to the process before, and to those after
        self._successor: Link | None = None  # has taken the clients over
        self._predecessor: Link | None = None
        self._draining = False
        self._sharing: asyncio.Task[None] | None = None
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = min(told.sockets, limit) - RESERVED_SOCKETS
        classes = {cls.name: cls.idempotency for cls in told.settings.classes}
        self._figures = Figures(classes)
        self._figures.gauges = self._gauges
        self._figures.configured(True)
        connect_ms = told.settings.limits.connect_timeout_ms
        self._upstream = Upstream(sockets // 2, told.conn_idle_ms, connect_ms, self._figures.sent)
        self._random = Random(told.seed)
        self._watch = self._watch_at(told.discovery)
        self._watch_before: Watch | None = None  # at the address before, with its last call out
        self._state_before = inherited.state if inherited is not None else {}
        memory = self._memory()
        self._peers = (
            Peers(told.peers, lambda data: self._node.on_datagram(data)) if told.peers is not None else None
        )
        self._node = Node(
            told.settings,
            told.seed,
            self._upstream,
            lambda: self._watch.start(),
            self._crash,
            memory,
            self._peers.say if self._peers is not None else None,
        )
        self._frontend = Frontend(self._node, classes, sockets // 2, self._figures, Budget(told.memory_mb))
        self._admin = Admin(self)
        self._giver: Giver | None = None

    async def run(self) -> int:
        """The exit code."""
        told = self._told
        known = self._known() or told.known
        if known is not None:
            self._watch.version = known.version
            self._node.update_hosts(ListKind.RESTORED, known)
        if not told.settings.subscribe or known is None:
            self._watch.start()
            if known is not None:
                await self._watch.caught_up()
        if self._peers is not None:
            await self._peers.open()
        if told.control is not None:
            await self._admin.listen(told.control)
        if self._inherited is not None:
            await self._take_over(self._inherited)
        else:
            await self._frontend.listen(told.listen)
        self._offer()
        log.info("%s serves at %s:%d", told.name, *told.listen)

        await self._stop.wait()
        if not self._crashes:
            await self._drain()
        self._admin.close()
        if self._giver is not None:
            self._giver.stop()
        for link in list(self._links):
            link.close()
        if self._sharing is not None:
            self._sharing.cancel()
        self._watch.stop()
        if self._watch_before is not None:
            self._watch_before.stop()
        if self._peers is not None:
            self._peers.close()
        if self._crashes:
            log.critical("the decisions crashed", exc_info=self._crashes[0])
            return 1
        return 0

    def stop(self) -> None:
        self._stop.set()

    def _crash(self, error: BaseException) -> None:
        self._crashes.append(error)
        self._stop.set()

    def _watch_at(self, address: Address) -> Watch:
        settings = self._told.settings

        def on_list(found: HostList) -> None:
            if watch is self._watch and self._watch_before is not None:
                self._watch_before.stop()
                self._watch_before = None
            self._node.update_hosts(ListKind.FULL if found.full else ListKind.DELTA, found)

        watch = Watch(
            address,
            self._told.clock,
            not settings.subscribe,
            on_list,
            lambda: self._node.discovery_failed(),
            self._random,
            settings.safety.drain_grace_ms,
        )
        return watch

    def _move(self, address: Address) -> None:
        """Ask at another address from now on, first for the whole list: versions are not shared. What the one
        before still tells counts until the new one has answered."""
        if self._watch_before is not None:
            self._watch_before.stop()
        self._watch_before, self._watch = self._watch, self._watch_at(address)
        self._watch_before.retire()
        self._watch.start()

    def reload(self) -> None:
        """Danger: a bad file must not cost what works; whatever is wrong with it, the watch goes on."""
        try:
            address = config.reload_discovery(os.environ)
        except Exception as error:
            path = os.environ.get("PROXY_CONFIG", "no file named")
            log.error("configuration not reread: %s: %s: %s", path, type(error).__name__, error)
            self._figures.configured(False)
            return
        self._figures.configured(True)
        log.info("discovery is at %s:%d from now on", *address)
        self._move(address)

    # What operators ask for

    def healthy(self) -> bool:
        return self._frontend.available() and not self._draining

    def figures(self) -> str:
        return self._figures.text()

    def _gauges(self) -> Gauges:
        census = self._node.census()
        return Gauges(self._node.pending_calls + self._frontend.waiting, census.listed, census.avoided)

    def cordon(self, endpoint: str, on: bool) -> bool:
        known = self._cordon(endpoint, on)
        if known:
            # Danger: while two processes serve, a ban told to one binds the other as well.
            self._tell_others({"cordon": endpoint, "on": on})
        return known

    def _cordon(self, endpoint: str, on: bool) -> bool:
        known = self._node.cordon(endpoint, on)
        if known:
            log.info("%s is %s", endpoint, "cordoned" if on else "uncordoned")
        return known

    def quiesce(self, on: bool) -> None:
        self._quiesce(on)
        self._tell_others({"quiesce": on})

    def _quiesce(self, on: bool) -> None:
        log.info("clients are sent away" if on else "back to work")
        self._frontend.unavailable = on
        if on:
            self._frontend.start_draining()
        elif not self._draining and self._successor is None:
            self._frontend.stop_draining()

    def _tell_others(self, message: Json) -> None:
        for link in self._links:
            link.say(message)

    # From process to process

    def _offer(self) -> None:
        """Let a later process take over from this one."""
        path = handover.path_for(self._told.listen)
        self._giver = Giver(path, self._frontend.listener, self._state, self._asked_for)
        try:
            self._giver.start()
        except OSError as error:  # a new version then starts beside this one, with a queue of its own
            log.warning("no handover from here: %s", error)

    def _state(self) -> Json:
        state: Json = {
            "quiesced": self._frontend.unavailable,
            "memory": handover.write_memory(self._node.memory()),
        }
        known = self._node.current_hosts(self._watch.version)
        if known is not None:
            state["known"] = config.write_list(known, self._told.clock)
        return state

    def _known(self) -> HostList | None:
        state = self._state_before
        try:
            return config.read_list(state["known"], self._told.clock) if "known" in state else None
        except ValueError as error:
            log.warning("the list of the process before is of no use: %s", error)
            return None

    def _memory(self) -> BalancerState | None:
        state = self._state_before
        try:
            return handover.read_memory(state["memory"], self._loop.time() * 1000) if state else None
        except (KeyError, ValueError) as error:
            log.warning("what the process before has learnt is of no use: %s", error)
            return None

    async def _share(self) -> None:
        """While there are two processes: the limits count both as one, so each leaves the other the room
        that it takes up, and has half of the module's budgets.

        Danger: halves of the sockets are too few for the new one, which soon has all of the clients.
        """
        self._node.set_share(PART)
        while self._links:
            open_now = [self._frontend.open, self._upstream.open, self._node.pending_calls]
            self._tell_others({"open": open_now})
            await asyncio.sleep(SHARE_S)
        self._node.set_share(1.0)
        self._frontend.reserve_sockets(0)
        self._upstream.reserve_sockets(0)

    def _link(self, sock: socket.socket) -> Link:
        link = Link(sock, self._heard, self._lost)
        self._links.append(link)
        if self._sharing is None or self._sharing.done():
            self._sharing = self._loop.create_task(self._share())
        return link

    def _asked_for(self, sock: socket.socket) -> None:
        log.info("a new process takes over")
        self._link(sock)

    async def _take_over(self, inherited: Inheritance) -> None:
        """Begin to accept once there are servers to send to; the old process serves until then."""
        self._predecessor = self._link(inherited.peer)
        until_s = self._loop.time() + READY_S
        while not self._node.ready() and self._predecessor is not None and self._loop.time() < until_s:
            if self._stop.is_set():
                break
            await asyncio.sleep(POLL_S)
        if inherited.state.get("quiesced") is True:
            self._quiesce(True)
        await self._frontend.listen(self._told.listen, inherited.listener)
        if self._predecessor is not None:
            self._predecessor.say({"ready": True})

    def _heard(self, link: Link, message: Json) -> None:
        if message.get("ready") is True and link is not self._predecessor:
            self._successor = link
            self._frontend.stop_accepting()
            self._frontend.start_draining()
        if isinstance(message.get("cordon"), str) and isinstance(message.get("on"), bool):
            self._cordon(message["cordon"], message["on"])
        match message.get("open"):
            case [int(clients), int(servers), int(requests)]:
                self._node.set_share(PART, requests)
                self._frontend.reserve_sockets(clients)
                self._upstream.reserve_sockets(servers)
        if isinstance(message.get("quiesce"), bool):
            self._quiesce(message["quiesce"])

    def _lost(self, link: Link) -> None:
        """The other process has ended, or lost its way."""
        if link in self._links:
            self._links.remove(link)
        if link is self._predecessor:
            self._predecessor = None
        elif link is self._successor:
            self._successor = None
            if not self._draining:
                log.warning("the new process is gone: back to work")
                self._frontend.resume_accepting()
                # Danger: the name in the folder was the new one's; the next would find nobody behind it.
                if self._giver is not None:
                    self._giver.stop()
                self._offer()
                if not self._frontend.unavailable:
                    self._frontend.stop_draining()

    # Leaving

    async def _drain(self) -> None:
        """Leave without losing what was taken: carries out what `core.shutdown` says. It ends by itself."""
        self._draining = True
        loop, frontend, node = self._loop, self._frontend, self._node
        # The front asks this address whether to come; where another process serves it already, it may.
        frontend.unavailable = frontend.unavailable or not self._links
        frontend.start_draining()
        leaving = Shutdown()
        leaving.begin(loop.time(), node.max_deadline_ms / 1000)
        nobody_waits = taken_in = False
        while not leaving.over:
            moving = not node.pending_calls and frontend.has_unfinished_io
            seen = Observation(
                node.pending_calls, frontend.open, self._successor is not None, nobody_waits, taken_in, moving
            )
            nobody_waits = taken_in = False
            for do in leaving.next_actions(loop.time(), seen):
                match do:
                    case ShutdownAction.CLOSE_QUIET:
                        frontend.close_idle()
                    case ShutdownAction.CLOSE_SILENT:
                        frontend.close_silent()
                    case ShutdownAction.FAIL_INCOMPLETE:
                        frontend.fail_incomplete()
                    case ShutdownAction.HALT:
                        owed = node.pending_calls
                        node.halt()
                        log.warning("%d requests are failed: no time is left", owed - node.pending_calls)
                    case ShutdownAction.ACCEPT_WAITING:
                        taken_in = frontend.accept_waiting()
                        nobody_waits = not taken_in
            # Danger: whoever comes between this look and the next would be lost with the listener.
            if not leaving.over and not nobody_waits:
                await asyncio.sleep(POLL_S)
        frontend.close()
