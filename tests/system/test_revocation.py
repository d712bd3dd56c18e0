"""Enforced revocation of keys: no machine accepts keys without a recent confirmation of its state."""

from __future__ import annotations

import math
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from cloverrouter.control.distribution_messages import Delta, Offer
from cloverrouter.control.subscriber import Subscriber
from cloverrouter.control.voter_choice import VoterAddress
from cloverrouter.daemon.control_plane import REVOCATION_MARGIN_S, ControlPlane
from cloverrouter.daemon.errors import SettingsError
from cloverrouter.daemon.settings import settings_of
from cloverrouter.lab.fleet import deployment, nodes
from tests.system.router_world import World

VOTERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def make_subscriber(have: int, now: float) -> Subscriber:
    """Returns a subscriber that has applied the state as of that sequence number."""
    subscriber = Subscriber("10.0.0.9", "east", Random(1))
    subscriber.start(now)
    subscriber.voters_changed(now, [VoterAddress(ip, "east") for ip in VOTERS])
    subscriber._have, subscriber._pending_changes = have, None
    return subscriber


def offer(subscriber: Subscriber, now: float, ip: str, newest: int) -> None:
    subscriber.receive(now, ip, Offer(newest, 3, 500))


def test_what_a_majority_offers_is_known_as_of_then() -> None:
    subscriber = make_subscriber(7, 10.0)
    assert subscriber.complete_as_of() == -math.inf
    offer(subscriber, 10.0, VOTERS[0], 7)
    assert subscriber.complete_as_of() == -math.inf
    offer(subscriber, 10.4, VOTERS[1], 7)
    assert subscriber.complete_as_of() == 10.0
    offer(subscriber, 10.6, VOTERS[2], 6)
    assert subscriber.complete_as_of() == 10.4


def test_the_time_stands_still_while_something_offered_is_missing() -> None:
    subscriber = make_subscriber(7, 10.0)
    for ip in VOTERS:
        offer(subscriber, 10.0, ip, 7)
    assert subscriber.complete_as_of() == 10.0
    for ip in VOTERS:
        offer(subscriber, 11.0, ip, 8)
    assert subscriber.complete_as_of() == 10.0
    subscriber.receive(11.2, VOTERS[0], Delta(8, (b"x",), 8))
    assert subscriber.complete_as_of() == 11.0


def test_a_state_that_is_not_in_force_yet_does_not_count() -> None:
    subscriber = make_subscriber(7, 10.0)
    subscriber._pending_changes = []
    for ip in VOTERS:
        offer(subscriber, 10.0, ip, 7)
    assert subscriber.complete_as_of() == -math.inf


def test_one_voter_of_three_is_not_enough() -> None:
    subscriber = make_subscriber(7, 10.0)
    for ip in VOTERS:
        offer(subscriber, 10.0, ip, 7)
    for step in range(1, 20):
        offer(subscriber, 10.0 + step, VOTERS[0], 7)
    assert subscriber.complete_as_of() == 10.0


def key_deadline(enforced: bool, complete_as_of: float) -> float:
    """Returns the time until which keys are accepted."""
    router = SimpleNamespace(keys_valid_until=math.inf)
    plane: Any = SimpleNamespace(
        _settings=SimpleNamespace(bounds=SimpleNamespace(enforces_revocation=enforced, revocation_s=5.0)),
        subscriber=SimpleNamespace(complete_as_of=lambda: complete_as_of),
        traffic=SimpleNamespace(router=router),
    )
    ControlPlane._update_key_validity(plane)
    return float(router.keys_valid_until)


def test_keys_hold_for_as_long_as_a_revocation_may_be_late() -> None:
    assert key_deadline(True, 10.0) == 15.0 - REVOCATION_MARGIN_S
    assert key_deadline(True, -math.inf) == -math.inf
    assert key_deadline(False, 10.0) == math.inf


def test_a_key_that_may_have_been_taken_away_is_not_taken() -> None:
    world = World().set_up()
    world.router.keys_valid_until = world.clock() + 1.0
    assert not world.ask("/once/x").status
    world.clock.pass_ms(1500)
    refused = world.ask("/once/x")
    assert refused.status == 503
    assert refused.field(b"retry-after") is not None
    assert world.ask("/once/x", key=b"of nobody").status == 503
    assert len(world.calls) == 1


def test_routes_for_everybody_are_served_on() -> None:
    world = World().set_up()
    world.router.keys_valid_until = world.clock() - 1.0
    world.ask("/open/x", key=None)
    assert len(world.calls) == 1


def settings_with(**bounds: Any) -> Any:
    spec = deployment.nodes("127.31.251")[0]
    document = nodes.settings(spec, deployment.fleet_settings((spec,)), Path("/tmp"), bootstrap=True)
    return settings_of(document | {"timing-bounds": document["timing-bounds"] | bounds})


@pytest.mark.parametrize("enforced", [True, False])
def test_the_settings_say_whether_it_is_enforced(enforced: bool) -> None:
    bounds = settings_with(**{"revocation-enforced": enforced, "revocation-ms": 2500}).bounds
    assert bounds.enforces_revocation is enforced
    assert bounds.revocation_s == 2.5


def test_a_word_instead_of_the_boolean_is_rejected() -> None:
    with pytest.raises(SettingsError, match="revocation-enforced"):
        settings_with(**{"revocation-enforced": "perhaps"})
