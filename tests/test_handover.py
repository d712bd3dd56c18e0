"""Handover to a new process: no request is lost, and a failure of either process does no harm."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import threading
from pathlib import Path

import pytest

from cloverrouter.proxy import handover
from cloverrouter.proxy.handover import HandoverServer
from tests.sockets import Client, Discovery, Host, Proxy, answer_ok, no_answer, ok, running


async def fleet(count: int) -> tuple[Discovery, list[Host]]:
    hosts = [await Host(f"h{i}", answer_ok).start() for i in range(count)]
    return await Discovery().start(), hosts


class Load:
    """Clients that send one request after the other, some on persistent connections, some on new ones."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.served = 0
        self.retried = 0
        self.stopped = False

    async def client(self, keep: bool) -> None:
        client: Client | None = None
        while not self.stopped:
            reused = client is not None
            client = client or await self.proxy.client()  # if refused, the test fails
            try:
                message = await client.ask("/keyed")
            except (EOFError, ConnectionError):
                # A request may stay unanswered only if it crossed the close of a reused connection. It is
                # sent again.
                assert reused, "a new connection was closed unserved"
                self.retried += 1
                client = None
                continue
            assert message.status == 200
            self.served += 1
            if not keep or message.headers.get("connection") == "close":
                client.writer.close()
                client = None
            await asyncio.sleep(0.002)

    async def wait_served(self, more: int) -> None:
        target = self.served + more
        async with asyncio.timeout(30):
            while self.served < target:
                await asyncio.sleep(0.01)


def test_upgrade_under_load_loses_nothing() -> None:
    async def scene() -> None:
        discovery, hosts = await fleet(3)
        async with running(discovery, hosts) as proxy:
            load = Load(proxy)
            async with asyncio.TaskGroup() as group:
                for i in range(8):
                    group.create_task(load.client(keep=i % 2 == 0))
                await load.wait_served(50)
                for times in (1, 2):
                    old = proxy.process
                    proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
                    await proxy.wait_for_log("serves at", times + 1)
                    await load.wait_served(50)
                    assert old.poll() is None  # it runs until it is stopped
                    old.send_signal(signal.SIGTERM)
                    assert await proxy.ended(old) == 0
                    await load.wait_served(50)
                load.stopped = True
            assert proxy.process.poll() is None
            assert load.retried <= 4

    asyncio.run(scene())


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def test_old_process_answers_what_it_took() -> None:
    async def scene() -> None:
        discovery, hosts = await fleet(1)
        hosts[0].respond = no_answer
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            old = proxy.process
            proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.wait_for_log("serves at", 2)
            old.send_signal(signal.SIGTERM)
            hosts[0].respond = answer_ok
            other = await proxy.client()
            assert (await other.ask("/unsafe")).status == 200  # by the new one
            hosts[0].open[1].write(ok(b"of the old"))
            assert (await client.read()).body == b"of the old"
            assert await proxy.ended(old) == 0

    asyncio.run(scene())


def test_old_process_goes_on_when_the_new_one_dies() -> None:
    async def scene() -> None:
        discovery, hosts = await fleet(2)
        async with running(discovery, hosts) as proxy:
            load = Load(proxy)
            old = proxy.process
            async with asyncio.TaskGroup() as group:
                for i in range(4):
                    group.create_task(load.client(keep=i % 2 == 0))
                await load.wait_served(20)
                # One process is killed before it has started, another after it has taken over.
                proxy.start(PROXY_CONTROL="127.0.0.1:1").send_signal(signal.SIGKILL)
                await load.wait_served(20)
                load.stopped = True
            new = proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.wait_for_log("serves at", 2)
            new.send_signal(signal.SIGKILL)
            await proxy.wait_for_log("the new process has ended")
            assert old.poll() is None
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            # The next new process finds the old one.
            proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.wait_for_log("serves at", 3)
            assert "handover from the previous process failed" not in proxy.log()
            assert proxy.log().count("no previous process to take over from") == 1
            old.send_signal(signal.SIGTERM)
            assert await proxy.ended(old) == 0
            assert (await (await proxy.client()).ask("/keyed")).status == 200

    asyncio.run(scene())


@pytest.mark.parametrize("answer", [b"", b"nonsense", b"00000003{}{", b"ffffffff", None])
def test_invalid_handover_does_not_prevent_a_start(
    answer: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """None: the old process sends nothing."""
    monkeypatch.setattr(handover, "HANDOVER_TIMEOUT_S", 0.2)
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as peer:
        path = Path(folder, "sock")
        peer.bind(str(path))
        peer.listen()
        if answer is None:
            assert handover.take_over(path) is None
            return

        # The old process, which accepts the connection and sends the answer.
        def send_answer() -> None:
            other, _ = peer.accept()
            with other:
                other.recv(64)
                other.sendall(answer)

        thread = threading.Thread(target=send_answer)
        thread.start()
        assert handover.take_over(path) is None
        thread.join()


def test_dead_old_process_does_not_prevent_a_start() -> None:
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as peer:
        path = Path(folder, "sock")
        assert handover.take_over(path) is None
        peer.bind(str(path))  # left by a process that was killed
        assert handover.take_over(path) is None


def test_state_of_another_version_is_ignored_but_not_the_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(path: Path) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            links: list[socket.socket] = []
            server = HandoverServer(path, listener, lambda: {"version": 99, "known": 1}, links.append)
            server.start()
            found = await asyncio.to_thread(handover.take_over, path)
            assert found is not None
            assert found.state == {}
            assert found.listener.getsockname() == listener.getsockname()
            for sock in (found.listener, found.peer, *links):
                sock.close()
            server.stop()
            assert not path.exists()

    with tempfile.TemporaryDirectory() as folder:
        # A directory's path may be longer than a Unix socket address.
        long = Path(folder, "f" * 120)
        long.mkdir()
        asyncio.run(scene(Path(long, "sock")))


def test_silent_new_process_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(path: Path) -> None:
        monkeypatch.setattr(handover, "REQUEST_TIMEOUT_S", 0.1)
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket(socket.AF_UNIX) as silent:
            links: list[socket.socket] = []
            server = HandoverServer(path, listener, dict, links.append)
            server.start()
            silent.connect(str(path))
            found = await asyncio.to_thread(handover.take_over, path)  # is served after the silent one
            assert found is not None
            for sock in (found.listener, found.peer, *links):
                sock.close()
            server.stop()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scene(Path(folder, "sock")))
