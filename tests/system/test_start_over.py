"""A proxy that cannot apply an update fetches a snapshot; a process that cannot start yet waits."""

from __future__ import annotations

import asyncio
import errno
import itertools
from pathlib import Path
from random import Random

import pytest

from cloverrouter.control.distribution_messages import NOTHING, Offer, Pull
from cloverrouter.control.document import ConfigurationState
from cloverrouter.control.orders import MachineSnapshot
from cloverrouter.control.subscriber import MAX_REFETCH_DELAY_S, Apply, Replace, Subscriber
from cloverrouter.control.transfer import pack
from cloverrouter.control.updates import ConfigurationPatched
from cloverrouter.control.voter_choice import VoterAddress
from cloverrouter.daemon.configuration_feed import ConfigurationFeed
from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.listening import LISTEN_TIMEOUT_S, listen_when_free
from cloverrouter.daemon.settings import read_with_retries
from cloverrouter.lab.fleet import deployment, nodes
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from tests.system.router_world import World as RouterWorld

VOTER = "10.0.0.1"


def subscriber_at(sequence: int) -> Subscriber:
    """Returns a subscriber that has applied the state as of that sequence number."""
    subscriber = Subscriber("10.0.0.9", "east", Random(1))
    subscriber.voters_changed(0.0, [VoterAddress(VOTER, "east")])
    subscriber.receive(0.1, VOTER, Offer(sequence, 3, 500))
    effects = subscriber.receive(0.2, VOTER, pack(sequence, True, b"state").part(0))
    assert Replace(sequence, b"state") in effects
    return subscriber


def test_what_could_not_be_put_in_force_is_fetched_whole() -> None:
    subscriber = subscriber_at(5)
    subscriber.refetch_snapshot(1.0)
    effects = subscriber.tick(1.2)
    assert Send(VOTER, Pull(NOTHING)) in effects
    effects = subscriber.receive(1.3, VOTER, pack(6, True, b"newer").part(0))
    assert Replace(6, b"newer") in effects and subscriber.have == 6


def test_a_state_that_could_not_be_applied_is_not_replaced_by_an_older_one() -> None:
    subscriber = subscriber_at(5)
    subscriber.refetch_snapshot(1.0)
    subscriber.tick(1.2)
    assert not subscriber.receive(1.3, VOTER, pack(4, True, b"older").part(0))
    assert subscriber.have == NOTHING


def test_the_feed_reports_what_it_can_not_put_in_force() -> None:
    configured: list[ConfigurationState] = []
    errors: list[str] = []
    feed = ConfigurationFeed(configured.append, lambda kind, **fields: errors.append(kind))
    document = b'{"version":3,"route-table":[],"backends":[]}'
    assert feed.apply(Replace(1, encode(MachineSnapshot(3, document, b""))))
    assert not feed.apply(Apply(2, (encode(ConfigurationPatched(7, 4, b"", b"{}")),)))
    assert not feed.apply(Apply(3, (encode(ConfigurationPatched(7, 3, b"", b'{"upsert":3}')),)))
    assert errors == ["configuration-not-applied"] * 2
    assert [state.version for state in configured] == [3]


class Clock:
    """Sleeps without delay, and sums up the time."""

    def __init__(self) -> None:
        self.waited_s = 0.0

    async def sleep(self, seconds: float) -> None:
        self.waited_s += seconds


def test_an_address_that_gets_free_is_waited_for() -> None:
    clock, reported = Clock(), list[OSError]()

    async def listen() -> str:
        if clock.waited_s < 3.0:
            raise OSError(errno.EADDRINUSE, "in use")
        return "listening"

    assert asyncio.run(listen_when_free(listen, reported.append, clock.sleep)) == "listening"
    assert len(reported) == 1


@pytest.mark.parametrize(("number", "waits_s"), [(errno.EADDRINUSE, LISTEN_TIMEOUT_S), (errno.EACCES, 0.0)])
def test_an_address_that_does_not_get_free_is_an_error(number: int, waits_s: float) -> None:
    clock = Clock()

    async def listen() -> str:
        raise OSError(number, "no")

    with pytest.raises(OSError, match="no"):
        asyncio.run(listen_when_free(listen, lambda error: None, clock.sleep))
    assert clock.waited_s == pytest.approx(waits_s, abs=0.2)


def test_a_settings_file_that_is_being_written_is_read_again(tmp_path: Path) -> None:
    spec = deployment.nodes("127.31.253")[0]
    whole = nodes.toml(nodes.settings(spec, deployment.fleet_settings((spec,)), tmp_path, bootstrap=True))
    path = tmp_path / "node.toml"
    path.write_text(whole[:100])

    def go_on_writing(seconds: float) -> None:
        path.write_text(whole)

    assert read_with_retries(str(path), go_on_writing).name == spec.name


def test_a_settings_file_that_stays_wrong_is_an_error(tmp_path: Path) -> None:
    waits: list[float] = []
    with pytest.raises(SettingsError):
        read_with_retries(str(tmp_path / "none.toml"), waits.append)
    assert sum(waits) == pytest.approx(1.0)


def pulls(subscriber: Subscriber, since: float, until: float) -> list[float]:
    """Returns the times at which a snapshot is pulled if none of them can be applied."""
    asked: list[float] = []
    now = since
    while now < until:
        for effect in subscriber.tick(now):
            if effect == Send(VOTER, Pull(NOTHING)):
                asked.append(now)
                subscriber.receive(now, VOTER, pack(9, True, b"newer").part(0))
                subscriber.refetch_snapshot(now)
        subscriber.receive(now, VOTER, Offer(9, 3, 500))
        now += 0.05
    return asked


def test_a_state_that_can_not_be_read_is_fetched_with_backoff_and_counted() -> None:
    subscriber = subscriber_at(5)
    subscriber.refetch_snapshot(1.0)
    asked = pulls(subscriber, 1.0, 61.0)
    pauses = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert len(asked) < 15
    assert pauses[-1] >= MAX_REFETCH_DELAY_S > pauses[0]
    assert subscriber.apply_failures == len(asked) + 1
    assert subscriber.behind_s(61.0) == 60.0


def test_a_state_that_is_applied_ends_the_backoff() -> None:
    subscriber = subscriber_at(5)
    subscriber.refetch_snapshot(1.0)
    subscriber.refetch_snapshot(1.1)
    subscriber.applied()
    assert subscriber.apply_failures == 0
    subscriber.tick(1.3)
    subscriber.receive(1.4, VOTER, pack(6, True, b"newer").part(0))
    assert subscriber.behind_s(2.0) == 0.0


def test_a_proxy_that_gets_nothing_newer_for_too_long_is_behind() -> None:
    subscriber = subscriber_at(5)
    assert subscriber.behind_s(1.0) == 0.0
    subscriber.receive(1.0, VOTER, Offer(7, 3, 500))
    assert subscriber.behind_s(3.0) == 2.0


def test_a_router_that_is_behind_is_not_ready() -> None:
    world = RouterWorld().set_up()
    assert world.router.ready()
    world.router.is_behind = True
    assert not world.router.ready()
