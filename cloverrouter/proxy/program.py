"""One client proxy: its parts, operators' requests, handover, and shutdown."""

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
from cloverrouter.proxy.frontend import Frontend
from cloverrouter.proxy.handover import HandoverServer, Link, ReceivedHandover
from cloverrouter.proxy.metrics import Gauges, Metrics
from cloverrouter.proxy.node import Node
from cloverrouter.proxy.peers import PeerSocket
from cloverrouter.proxy.streams import Budget
from cloverrouter.proxy.upstream import Upstream

# Standard streams, the event loop, listeners, discovery, operators' requests, the handover, and a reserve.
RESERVED_SOCKETS = 48
POLL_INTERVAL_S = 0.02
SHARE_INTERVAL_S = 0.03
CAPACITY_SHARE = 0.5  # of the balancer's limits, for each of two processes that serve at the same time
READY_TIMEOUT_S = 5.0  # for a new process to learn of servers; it takes over then in any case
log = logging.getLogger("cloverrouter.proxy")


class Program:
    """Runs until `stop` is called or the balancer fails."""

    def __init__(self, configuration: Config, inherited: ReceivedHandover | None) -> None:
        self._loop = asyncio.get_running_loop()
        self._configuration = configuration
        self._inherited = inherited
        self._stop = asyncio.Event()
        self._crashes: list[BaseException] = []
        self._links: list[Link] = []  # to the previous process, and to successors
        self._successor: Link | None = None  # has taken over the clients
        self._predecessor: Link | None = None
        self._draining = False
        self._sharing_task: asyncio.Task[None] | None = None
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = min(configuration.sockets, limit) - RESERVED_SOCKETS
        classes = {cls.name: cls.idempotency for cls in configuration.settings.classes}
        self._figures = Metrics(classes)
        self._figures.gauges = self._gauges
        self._figures.count_configuration(True)
        connect_ms = configuration.settings.limits.connect_timeout_ms
        self._upstream = Upstream(
            sockets // 2, configuration.conn_idle_ms, connect_ms, self._figures.count_sent
        )
        self._random = Random(configuration.seed)
        self._watch = self._make_watch(configuration.discovery)
        self._previous_watch: Watch | None = None  # at the previous address, with its last request open
        self._inherited_state = inherited.state if inherited is not None else {}
        memory = self._inherited_balancer_state()
        self._peers = (
            PeerSocket(configuration.peers, lambda data: self._node.on_datagram(data))
            if configuration.peers is not None
            else None
        )
        self._node = Node(
            configuration.settings,
            configuration.seed,
            self._upstream,
            lambda: self._watch.start(),
            self._crash,
            memory,
            self._peers.broadcast if self._peers is not None else None,
        )
        self._frontend = Frontend(
            self._node, classes, sockets // 2, self._figures, Budget(configuration.memory_mb)
        )
        self._admin = Admin(self)
        self._handover_server: HandoverServer | None = None

    async def run(self) -> int:
        """Serves until the program stops; returns the exit code."""
        configuration = self._configuration
        known = self._inherited_hosts() or configuration.known
        if known is not None:
            self._watch.version = known.version
            self._node.update_hosts(ListKind.RESTORED, known)
        if not configuration.settings.subscribe or known is None:
            self._watch.start()
            if known is not None:
                await self._watch.wait_for_first_answer()
        if self._peers is not None:
            await self._peers.open()
        if configuration.control is not None:
            await self._admin.listen(configuration.control)
        if self._inherited is not None:
            await self._take_over(self._inherited)
        else:
            await self._frontend.listen(configuration.listen)
        self._offer_handover()
        log.info("%s serves at %s:%d", configuration.name, *configuration.listen)

        await self._stop.wait()
        if not self._crashes:
            await self._shut_down()
        self._admin.close()
        if self._handover_server is not None:
            self._handover_server.stop()
        for link in list(self._links):
            link.close()
        if self._sharing_task is not None:
            self._sharing_task.cancel()
        self._watch.stop()
        if self._previous_watch is not None:
            self._previous_watch.stop()
        if self._peers is not None:
            self._peers.close()
        if self._crashes:
            log.critical("the balancer failed", exc_info=self._crashes[0])
            return 1
        return 0

    def stop(self) -> None:
        self._stop.set()

    def _crash(self, error: BaseException) -> None:
        self._crashes.append(error)
        self._stop.set()

    def _make_watch(self, address: Address) -> Watch:
        settings = self._configuration.settings

        def on_list(hosts: HostList) -> None:
            if watch is self._watch and self._previous_watch is not None:
                self._previous_watch.stop()
                self._previous_watch = None
            self._node.update_hosts(ListKind.FULL if hosts.full else ListKind.DELTA, hosts)

        watch = Watch(
            address,
            self._configuration.clock,
            not settings.subscribe,
            on_list,
            lambda: self._node.discovery_failed(),
            self._random,
            settings.safety.drain_grace_ms,
        )
        return watch

    def _switch_discovery(self, address: Address) -> None:
        """Watches discovery at another address from now on. Its versions are unrelated, so the whole list is
        requested first. Changes from the previous address are applied until the new one has answered."""
        if self._previous_watch is not None:
            self._previous_watch.stop()
        self._previous_watch, self._watch = self._watch, self._make_watch(address)
        self._previous_watch.retire()
        self._watch.start()

    def reload(self) -> None:
        """Reads discovery's address from the file again. Whatever is wrong with the file, the current watch
        continues."""
        try:
            address = config.reload_discovery(os.environ)
        except Exception as error:
            path = os.environ.get("PROXY_CONFIG", "no file named")
            log.error("configuration not reread: %s: %s: %s", path, type(error).__name__, error)
            self._figures.count_configuration(False)
            return
        self._figures.count_configuration(True)
        log.info("discovery moved to %s:%d", *address)
        self._switch_discovery(address)

    # Operators' requests

    def healthy(self) -> bool:
        return self._frontend.available() and not self._draining

    def metrics_text(self) -> str:
        return self._figures.render()

    def _gauges(self) -> Gauges:
        counts = self._node.count_endpoints()
        return Gauges(self._node.pending_calls + self._frontend.waiting, counts.listed, counts.avoided)

    def cordon(self, endpoint: str, on: bool) -> bool:
        known = self._cordon(endpoint, on)
        if known:
            # While two processes serve, a cordon given to one applies to the other as well.
            self._send_to_links({"cordon": endpoint, "on": on})
        return known

    def _cordon(self, endpoint: str, on: bool) -> bool:
        known = self._node.cordon(endpoint, on)
        if known:
            log.info("%s is %s", endpoint, "cordoned" if on else "uncordoned")
        return known

    def quiesce(self, on: bool) -> None:
        self._quiesce(on)
        self._send_to_links({"quiesce": on})

    def _quiesce(self, on: bool) -> None:
        log.info("asking clients to reconnect elsewhere" if on else "accepting clients again")
        self._frontend.unavailable = on
        if on:
            self._frontend.start_draining()
        elif not self._draining and self._successor is None:
            self._frontend.stop_draining()

    def _send_to_links(self, message: Json) -> None:
        for link in self._links:
            link.send(message)

    # Handover between processes

    def _offer_handover(self) -> None:
        """Lets a later process take over from this one."""
        path = handover.path_for(self._configuration.listen)
        self._handover_server = HandoverServer(
            path, self._frontend.listener, self._handover_state, self._on_successor
        )
        try:
            self._handover_server.start()
        except OSError as error:  # a new version can still start, but with an accept queue of its own
            log.warning("handover to a later process is not possible: %s", error)

    def _handover_state(self) -> Json:
        state: Json = {
            "quiesced": self._frontend.unavailable,
            "memory": handover.encode_state(self._node.memory()),
        }
        known = self._node.current_hosts(self._watch.version)
        if known is not None:
            state["known"] = config.write_list(known, self._configuration.clock)
        return state

    def _inherited_hosts(self) -> HostList | None:
        state = self._inherited_state
        try:
            return config.read_list(state["known"], self._configuration.clock) if "known" in state else None
        except ValueError as error:
            log.warning("ignoring the invalid server list of the previous process: %s", error)
            return None

    def _inherited_balancer_state(self) -> BalancerState | None:
        state = self._inherited_state
        try:
            return handover.decode_state(state["memory"], self._loop.time() * 1000) if state else None
        except (KeyError, ValueError) as error:
            log.warning("ignoring the invalid balancer state of the previous process: %s", error)
            return None

    async def _share_capacity(self) -> None:
        """Divides the limits while two processes serve. Limits on connections and requests apply to both
        together, so each process sends the other how many it has open; each has half of the
        balancer's other limits.

        The sockets are not halved: the new process soon has all clients, and half would be too few.
        """
        self._node.set_share(CAPACITY_SHARE)
        while self._links:
            open_now = [self._frontend.open, self._upstream.open, self._node.pending_calls]
            self._send_to_links({"open": open_now})
            await asyncio.sleep(SHARE_INTERVAL_S)
        self._node.set_share(1.0)
        self._frontend.reserve_sockets(0)
        self._upstream.reserve_sockets(0)

    def _add_link(self, sock: socket.socket) -> Link:
        link = Link(sock, self._on_message, self._on_link_closed)
        self._links.append(link)
        if self._sharing_task is None or self._sharing_task.done():
            self._sharing_task = self._loop.create_task(self._share_capacity())
        return link

    def _on_successor(self, sock: socket.socket) -> None:
        log.info("a new process is taking over")
        self._add_link(sock)

    async def _take_over(self, inherited: ReceivedHandover) -> None:
        """Begins to accept once there are servers to send to; the old process serves until then."""
        self._predecessor = self._add_link(inherited.peer)
        deadline_s = self._loop.time() + READY_TIMEOUT_S
        while not self._node.ready() and self._predecessor is not None and self._loop.time() < deadline_s:
            if self._stop.is_set():
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        if inherited.state.get("quiesced") is True:
            self._quiesce(True)
        await self._frontend.listen(self._configuration.listen, inherited.listener)
        if self._predecessor is not None:
            self._predecessor.send({"ready": True})

    def _on_message(self, link: Link, message: Json) -> None:
        if message.get("ready") is True and link is not self._predecessor:
            self._successor = link
            self._frontend.stop_accepting()
            self._frontend.start_draining()
        if isinstance(message.get("cordon"), str) and isinstance(message.get("on"), bool):
            self._cordon(message["cordon"], message["on"])
        match message.get("open"):
            case [int(clients), int(servers), int(requests)]:
                self._node.set_share(CAPACITY_SHARE, requests)
                self._frontend.reserve_sockets(clients)
                self._upstream.reserve_sockets(servers)
        if isinstance(message.get("quiesce"), bool):
            self._quiesce(message["quiesce"])

    def _on_link_closed(self, link: Link) -> None:
        """The other process has ended, or has sent invalid data."""
        if link in self._links:
            self._links.remove(link)
        if link is self._predecessor:
            self._predecessor = None
        elif link is self._successor:
            self._successor = None
            if not self._draining:
                log.warning("the new process has ended: accepting clients again")
                self._frontend.resume_accepting()
                # The handover path belonged to the new process: a later process would find no listener there.
                if self._handover_server is not None:
                    self._handover_server.stop()
                self._offer_handover()
                if not self._frontend.unavailable:
                    self._frontend.stop_draining()

    # Shutdown

    async def _shut_down(self) -> None:
        """Shuts down without losing accepted requests, by the actions that `core.shutdown` returns. Takes a
        bounded time."""
        self._draining = True
        loop, frontend, node = self._loop, self._frontend, self._node
        # The load balancer in front checks the health of this address. It stays available while another
        # process serves it.
        frontend.unavailable = frontend.unavailable or not self._links
        frontend.start_draining()
        shutdown = Shutdown()
        shutdown.begin(loop.time(), node.max_deadline_ms / 1000)
        none_waiting = accepted = False
        while not shutdown.over:
            in_transit = not node.pending_calls and frontend.has_unfinished_io
            observation = Observation(
                node.pending_calls,
                frontend.open,
                self._successor is not None,
                none_waiting,
                accepted,
                in_transit,
            )
            none_waiting = accepted = False
            for action in shutdown.next_actions(loop.time(), observation):
                match action:
                    case ShutdownAction.CLOSE_QUIET:
                        frontend.close_idle()
                    case ShutdownAction.CLOSE_SILENT:
                        frontend.close_silent()
                    case ShutdownAction.FAIL_INCOMPLETE:
                        frontend.fail_incomplete()
                    case ShutdownAction.HALT:
                        owed = node.pending_calls
                        node.halt()
                        log.warning(
                            "shutdown deadline reached: %d requests failed", owed - node.pending_calls
                        )
                    case ShutdownAction.ACCEPT_WAITING:
                        accepted = frontend.accept_waiting()
                        none_waiting = not accepted
            # No sleep once no connection waits: one that arrived in between would be lost with the listener.
            if not shutdown.over and not none_waiting:
                await asyncio.sleep(POLL_INTERVAL_S)
        frontend.close()
