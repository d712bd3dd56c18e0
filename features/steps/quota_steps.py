"""Steps of the quotas, in their simulated fleet."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from cloverrouter.placement.quota import ASK_WAIT_S
from cloverrouter.placement.quota_plan import TenantLimit
from tests.system.quota_world import Load, Proxy, World

TENANT = "a"
WARM_S = 6.0


def third(context: Any) -> list[Proxy]:
    proxies: list[Proxy] = context.fleet.proxies
    return proxies[-max(1, len(proxies) // 3) :]


def another_than_the_head(world: World) -> Proxy:
    return next(proxy for proxy in world.proxies if proxy is not world.head)


@given("a fleet of {proxies:d} proxies, and a tenant limited to {rate:d} tokens a second")
def a_fleet(context: Any, proxies: int, rate: int) -> None:
    context.fleet = World(7, proxies, {TENANT: TenantLimit(rate, rate)}, drift=0.003)
    context.fleet.run(WARM_S)


@when("the tenant asks {factor:g} times its limit")
def the_tenant_asks(context: Any, factor: float) -> None:
    world = context.fleet
    Load(world, TENANT, world.limits[TENANT].rate * factor)
    world.run(5)


@when("nothing happens")
def nothing(context: Any) -> None:
    pass


@when("a third of the proxies is cut off for {seconds:g} s")
def cut_off(context: Any, seconds: float) -> None:
    for proxy in third(context):
        proxy.cut_until = context.fleet.now + seconds


@when("a third of the proxies is frozen for {seconds:g} s")
def frozen(context: Any, seconds: float) -> None:
    for proxy in third(context):
        proxy.frozen_until = context.fleet.now + seconds


@when("the head is frozen for {seconds:g} s")
def head_frozen(context: Any, seconds: float) -> None:
    world = context.fleet
    world.head.frozen_until = world.now + seconds
    world.lose_head()
    successor = another_than_the_head(world)
    world.at(world.now + 1.0, lambda: world.elect(successor))


@when("all proxies are restarted three times")
def herd(context: Any) -> None:
    world = context.fleet
    for _ in range(3):
        for proxy in world.proxies:
            world.restart(proxy, 0.5)
        world.at(world.now + 1.0, lambda: world.elect(world.proxies[0]))
        world.run(2.5)


@when("half of the proxies is restarted")
def half_restarted(context: Any) -> None:
    world = context.fleet
    others = [proxy for proxy in world.proxies if proxy is not world.head]
    for proxy in others[: len(others) // 2]:
        world.restart(proxy, 1.0)


@when("the head moves five times")
def moves_often(context: Any) -> None:
    for _ in range(5):
        context.fleet.elect(another_than_the_head(context.fleet))
        context.fleet.run(1.5)


@when("the head moves")
def moves(context: Any) -> None:
    context.fleet.elect(another_than_the_head(context.fleet))


@when("the head is killed")
def killed(context: Any) -> None:
    world = context.fleet
    successor = another_than_the_head(world)
    world.restart(world.head, 3.0)
    world.at(world.now + 1.0, lambda: world.elect(successor))


@when("the view changes under the same head")
def view_changes(context: Any) -> None:
    context.fleet.change_view()


@when("messages are lost, doubled and late")
def bad_links(context: Any) -> None:
    world = context.fleet
    world.loss, world.doubled, world.stalls = 0.2, 0.2, 0.1


@when("the limit is halved")
def halved(context: Any) -> None:
    world = context.fleet
    limit = world.limits[TENANT]
    world.configure({TENANT: TenantLimit(limit.rate / 2, limit.burst / 2)})
    world.run(2 + world.rules.window_s)
    world.tallies[TENANT].runs.clear()


@when("the clients go on for {seconds:g} s")
def time_passes(context: Any, seconds: float) -> None:
    context.fleet.run(seconds)


@when("proxy {index:d} is cut off for {seconds:g} s")
def one_cut_off(context: Any, index: int, seconds: float) -> None:
    context.fleet.proxies[index].cut_until = context.fleet.now + seconds


@when("proxy {index:d} is restarted")
def one_restarted(context: Any, index: int) -> None:
    context.fleet.restart(context.fleet.proxies[index], 0.5)
    context.fleet.run(0.55)


@when("requests of {tokens:d} tokens come to proxy {index:d} alone for {seconds:g} s")
def requests_come(context: Any, tokens: int, index: int, seconds: float) -> None:
    world = context.fleet
    context.span = seconds
    tally = world.tallies[TENANT]
    while world.proxies[index].holder.admit(TENANT, tokens, world.proxies[index].clock(world.now)) == 0:
        pass  # what it had stored
    before = tally.run
    for step in range(int(seconds * 100)):
        when_ = world.now + step / 100
        world.at(when_, lambda: world.request(TENANT, tokens, world.proxies[index]))
    world.run(seconds)
    context.run = tally.run - before


@then("no window holds more than the rule allows")
def within_the_rule(context: Any) -> None:
    assert context.fleet.tallies[TENANT].run > 0
    assert context.fleet.worst_window(TENANT) <= 1


@then("less than {part:g} % of what it asked was refused")
def hardly_refused(context: Any, part: float) -> None:
    tally = context.fleet.tallies[TENANT]
    refused = 1 - tally.run / tally.asked
    assert refused < part / 100, f"{refused:.1%} was refused"


@then("it runs about {rate:d} tokens a second")
def about(context: Any, rate: int) -> None:
    measured = context.run / context.span
    assert 0.85 * rate < measured < 1.1 * rate, f"{measured:.0f} tokens a second"


@then("proxy {index:d} refuses a request of {tokens:d} tokens")
def refuses(context: Any, index: int, tokens: int) -> None:
    proxy = context.fleet.proxies[index]
    wait = proxy.holder.admit(TENANT, tokens, proxy.clock(context.fleet.now))
    assert wait > ASK_WAIT_S
