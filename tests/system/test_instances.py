"""Merging records of servers gives the same result in any order and with any number of repeats."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.control.instance_table import ENDED_RETENTION_S, InstanceTable
from cloverrouter.control.instances import Instance, InstanceState, from_record, merge
from cloverrouter.control.registry_messages import ModelOnServer

instances = st.builds(
    Instance,
    id=st.just("i"),
    service=st.sampled_from(["s", "t"]),
    address=st.sampled_from(["a:1", "b:1"]),
    capacity=st.integers(1, 3),
    state=st.sampled_from(InstanceState),
    warm_at=st.sampled_from([0.0, 5.0, 9.0]),
    sequence=st.integers(0, 4),
    models=st.sampled_from([(), (ModelOnServer("m", 1),)]),
    generation=st.integers(1, 3),
    lost_generation=st.integers(0, 3),
)


@given(instances, instances)
def test_merging_is_commutative(one: Instance, other: Instance) -> None:
    assert merge(one, other) == merge(other, one)


@given(instances, instances, instances)
def test_merging_is_associative(a: Instance, b: Instance, c: Instance) -> None:
    assert merge(merge(a, b), c) == merge(a, merge(b, c))


@given(instances, instances)
def test_merging_is_idempotent(one: Instance, other: Instance) -> None:
    assert merge(one, one) == one
    assert merge(merge(one, other), other) == merge(one, other)


@given(instances, instances)
def test_a_state_only_rises(one: Instance, other: Instance) -> None:
    assert merge(one, other).state >= one.state


@given(st.lists(st.tuples(st.sampled_from(["i", "j", "k"]), instances), max_size=12), st.randoms())
def test_tables_that_merged_the_same_records_have_the_same_digest(
    records: list[tuple[str, Instance]], random: object
) -> None:
    shuffled = list(records)
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    tables = InstanceTable(), InstanceTable()
    for table, order in zip(tables, (records, shuffled), strict=True):
        for name, instance in order:
            table.merge(1.0, attrs.evolve(instance, id=name))
    assert tables[0].digest == tables[1].digest
    assert tables[0].live_count == tables[1].live_count
    assert {(each.id, each.is_live) for each in tables[0]} == {(each.id, each.is_live) for each in tables[1]}


@given(st.lists(st.tuples(st.sampled_from(["i", "j"]), instances), max_size=8))
def test_the_digest_depends_only_on_the_current_entries(records: list[tuple[str, Instance]]) -> None:
    table, rebuilt = InstanceTable(), InstanceTable()
    for name, instance in records:
        table.merge(1.0, attrs.evolve(instance, id=name))
    for instance in table:
        rebuilt.merge(2.0, instance)
    assert (table.digest, table.live_count) == (rebuilt.digest, rebuilt.live_count)


def test_a_record_carries_the_instance() -> None:
    instance = Instance("i", "s", "a:1", "z", "v", 4, InstanceState.DRAINING, 12.5, 7, "both", (), 3, 1)
    assert from_record(20.0, instance.to_record(10.0, 0.0)) == attrs.evolve(instance, warm_at=22.5)


def test_the_tombstone_of_an_ended_instance_is_kept_and_then_removed() -> None:
    table = InstanceTable()
    table.merge(0.0, Instance("i", "s", "a:1", state=InstanceState.GONE, sequence=3))
    table.merge(1.0, Instance("i", "s", "a:1", sequence=2))
    assert table.usable("s") == ()
    assert table.forget_ended(ENDED_RETENTION_S - 1) == []
    assert table.forget_ended(ENDED_RETENTION_S) == ["i"]
    assert "i" not in table
