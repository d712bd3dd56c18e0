"""A new process beside the old one: nothing is lost on the way, and a bad one of the two harms nobody."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import threading
from pathlib import Path

import pytest

from cloverrouter.proxy import handover
from cloverrouter.proxy.handover import Giver
from tests.sockets import Client, Discovery, Host, Proxy, answer_ok, never, ok, running


async def fleet(count: int) -> tuple[Discovery, list[Host]]:
    hosts = [await Host(f"h{i}", answer_ok).start() for i in range(count)]
    return await Discovery().start(), hosts


class Load:
    """Clients that ask one request after the other, some on kept connections, some on new ones."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.served = 0
        self.turned_back = 0
        self.over = False

    async def client(self, keep: bool) -> None:
        client: Client | None = None
        while not self.over:
            sent_on_kept = client is not None
            client = client or await self.proxy.client()  # refused: the test fails
            try:
                message = await client.ask("/keyed")
            except (EOFError, ConnectionError):
                # Only where a close crossed the request may it stay unanswered; it comes again.
                assert sent_on_kept, "a new connection was closed unserved"
                self.turned_back += 1
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
                    await proxy.logged("serves at", times + 1)
                    await load.wait_served(50)
                    assert old.poll() is None  # it stays until it is told
                    old.send_signal(signal.SIGTERM)
                    assert await proxy.ended(old) == 0
                    await load.wait_served(50)
                load.over = True
            assert proxy.process.poll() is None
            assert load.turned_back <= 4

    asyncio.run(scene())


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def test_old_process_answers_what_it_took() -> None:
    async def scene() -> None:
        discovery, hosts = await fleet(1)
        hosts[0].respond = never
        async with running(discovery, hosts) as proxy:
            client = await proxy.client()
            client.send("/unsafe")
            await hosts[0].wait(lambda: len(hosts[0].seen) == 1)
            old = proxy.process
            proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.logged("serves at", 2)
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
                # One that dies before it has begun, and one that has taken over already.
                proxy.start(PROXY_CONTROL="127.0.0.1:1").send_signal(signal.SIGKILL)
                await load.wait_served(20)
                load.over = True
            new = proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.logged("serves at", 2)
            new.send_signal(signal.SIGKILL)
            await proxy.logged("the new process is gone")
            assert old.poll() is None
            client = await proxy.client()
            assert (await client.ask("/keyed")).status == 200
            # The next new one finds it.
            proxy.start(PROXY_CONTROL=f"127.0.0.1:{free_port()}")
            await proxy.logged("serves at", 3)
            assert "nothing usable" not in proxy.log()
            assert proxy.log().count("no process before this one") == 1
            old.send_signal(signal.SIGTERM)
            assert await proxy.ended(old) == 0
            assert (await (await proxy.client()).ask("/keyed")).status == 200

    asyncio.run(scene())


@pytest.mark.parametrize("answer", [b"", b"nonsense", b"00000003{}{", b"ffffffff", None])
def test_bad_process_before_is_no_hindrance(answer: bytes | None, monkeypatch: pytest.MonkeyPatch) -> None:
    """None: it says nothing at all."""
    monkeypatch.setattr(handover, "ANSWER_S", 0.2)
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as peer:
        path = Path(folder, "sock")
        peer.bind(str(path))
        peer.listen()
        if answer is None:
            assert handover.take(path) is None
            return

        # Its answer waits in the queue of a connection that is there before it is asked for.
        def play() -> None:
            other, _ = peer.accept()
            with other:
                other.recv(64)
                other.sendall(answer)

        thread = threading.Thread(target=play)
        thread.start()
        assert handover.take(path) is None
        thread.join()


def test_dead_process_before_is_no_hindrance() -> None:
    with tempfile.TemporaryDirectory() as folder, socket.socket(socket.AF_UNIX) as peer:
        path = Path(folder, "sock")
        assert handover.take(path) is None
        peer.bind(str(path))  # left by one that was killed
        assert handover.take(path) is None


def test_state_of_another_version_leaves_the_socket(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(path: Path) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            links: list[socket.socket] = []
            giver = Giver(path, listener, lambda: {"version": 99, "known": 1}, links.append)
            giver.start()
            found = await asyncio.to_thread(handover.take, path)
            assert found is not None
            assert found.state == {}
            assert found.listener.getsockname() == listener.getsockname()
            for sock in (found.listener, found.peer, *links):
                sock.close()
            giver.stop()
            assert not path.exists()

    with tempfile.TemporaryDirectory() as folder:
        # A folder's name may be longer than a Unix address.
        long = Path(folder, "f" * 120)
        long.mkdir()
        asyncio.run(scene(Path(long, "sock")))


def test_silent_new_process_is_let_go(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scene(path: Path) -> None:
        monkeypatch.setattr(handover, "HELLO_S", 0.1)
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket(socket.AF_UNIX) as silent:
            links: list[socket.socket] = []
            giver = Giver(path, listener, dict, links.append)
            giver.start()
            silent.connect(str(path))
            found = await asyncio.to_thread(handover.take, path)  # it has its turn behind the silent one
            assert found is not None
            for sock in (found.listener, found.peer, *links):
                sock.close()
            giver.stop()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(scene(Path(folder, "sock")))
