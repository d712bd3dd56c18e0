"""The notes of the pools that a head stores on its disk, and their use by the next head at that disk."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.control.quota_allocator import QuotaAllocator
from cloverrouter.control.quota_duty import QuotaDuty
from cloverrouter.control.quota_note import (
    QuotaNote,
    Reserves,
    WriteNote,
    read_note,
)
from cloverrouter.messages import encode
from cloverrouter.messages.sending import Send
from cloverrouter.placement.quota_messages import QuotaAsk, QuotaCredit
from cloverrouter.placement.quota_plan import QuotaRules, TenantLimit
from cloverrouter.store.records import Meta, Record
from cloverrouter.store.replica_store import ReplicaStore
from tests.system.quota_world import Load, World

DISK, ME, PROXY = "00ff00ff00ff00ff", "10.0.0.1", "10.0.0.2"
LIMITS = {"a": TenantLimit(280_000, 280_000)}
LEAD_UNTIL = 10_000.0
NOTE = QuotaNote(DISK, 7, {"a": 50_000})


def make_allocator(initial_tokens: dict[str, int] | None = None) -> QuotaAllocator:
    allocator = QuotaAllocator(7, 10.0, None, initial_tokens, Reserves(DISK))
    allocator.configure(LIMITS, 10)
    return allocator


def full_allocator() -> tuple[QuotaAllocator, QuotaNote]:
    """Returns an allocator with a full pool, and its newest note, which is on the disk."""
    allocator = make_allocator()
    for step in range(200):
        allocator.tick(11.0 + step * 0.05)
        due = allocator.note_due(11.0 + step * 0.05)
        if due is not None:
            allocator.note_written(11.0 + step * 0.05, due.note)
            newest = due.note
    assert newest.left["a"] > 0
    return allocator, newest


def ask(tokens: int, number: int = 1) -> QuotaAsk:
    return QuotaAsk(7, 4242, number, 0.0, {"a": tokens}, {})


def lent(effects: list[Send]) -> int:
    return sum(each.message.tokens.get("a", 0) for each in effects if isinstance(each.message, QuotaCredit))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (encode(NOTE)[:-3], "malformed"),
        (encode(NOTE) * 2, "malformed"),
        (b"\x00\x01", "malformed"),
        (encode(QuotaNote("another", 7, {})), "of another disk"),
        (encode(QuotaNote(DISK, 6, {})), "of another epoch"),
        (encode(QuotaNote(DISK, 8, {})), "of another epoch"),
        (encode(QuotaNote(DISK, 7, {"a": -1})), "tokens below zero"),
    ],
)
def test_an_invalid_note_is_ignored_with_a_reason(data: bytes, reason: str) -> None:
    result = read_note(data, DISK, 7)
    assert result.left is None
    assert result.refused.startswith(reason)


def test_a_disk_without_a_note_has_nothing_to_refuse() -> None:
    assert read_note(b"", DISK, 7).left is None
    assert read_note(b"", DISK, 7).refused == ""


def test_the_note_of_the_head_before_at_this_disk_counts() -> None:
    assert read_note(encode(NOTE), DISK, 7).left == {"a": 50_000}


def test_what_is_promised_is_not_lent_before_the_promise_is_taken_back_on_the_disk() -> None:
    allocator, note = full_allocator()
    promised = note.left["a"]
    at_first = lent(allocator.receive(21.0, PROXY, ask(10**9)))
    assert at_first == 0, "the ask must wait for the disk"
    due = allocator.note_due(21.0)
    assert isinstance(due, WriteNote) and due.note.left["a"] == 0
    assert allocator.note_due(21.001) is None, "only one note is written at a time"
    assert lent(allocator.note_written(21.004, due.note)) > promised


def test_small_asks_beside_the_promise_do_not_wait() -> None:
    allocator, note = full_allocator()
    assert lent(allocator.receive(21.0, PROXY, ask(9_000))) == 9_000
    assert note.left["a"] > 0


def test_an_ask_that_has_waited_too_long_for_the_disk_is_not_answered() -> None:
    allocator, _ = full_allocator()
    assert allocator.receive(21.0, PROXY, ask(10**9)) == []
    due = allocator.note_due(21.0)
    assert due is not None
    assert allocator.note_written(21.5, due.note) == []


def test_a_note_that_was_not_under_way_frees_nothing() -> None:
    allocator, _ = full_allocator()
    allocator.receive(21.0, PROXY, ask(10**9))
    allocator.note_due(21.0)
    assert allocator.note_written(21.01, QuotaNote(DISK, 7, {})) == []


def test_a_pool_begins_with_what_was_noted_up_to_what_proxies_may_not_have_run_themselves() -> None:
    empty, noted, much = make_allocator(), make_allocator({"a": 50_000}), make_allocator({"a": 10**9})
    levels = [each.figures(10.0)["a"].tokens for each in (empty, noted, much)]
    assert levels[0] < levels[1] < levels[2]
    assert levels[0] + 50_000 == levels[1]
    assert levels[2] <= 0.2 * much.figures(10.0)["a"].capacity + 1


def test_a_process_that_finds_a_note_at_its_start_lends_at_once_one_that_goes_on_does_not() -> None:
    for note, answered in ((NOTE.left, True), (None, False)):
        duty = QuotaDuty(ME, QuotaRules(), started=9.0)
        duty.configure(LIMITS, 10)
        duty.view_changed(10.0, 8, ME, lambda note=note: note, DISK)  # type: ignore[misc]
        asked = QuotaAsk(8, 4242, 1, 0.0, {"a": 9_000}, {})
        assert bool(duty.receive(10.0, LEAD_UNTIL, PROXY, asked)) is answered
    duty.view_changed(11.0, 9, PROXY)
    duty.view_changed(12.0, 10, ME, lambda: NOTE.left, DISK)
    later = QuotaAsk(10, 4242, 1, 0.0, {"a": 9_000}, {})
    assert not duty.receive(12.0, LEAD_UNTIL, PROXY, later), "credit lent by this process may still be valid"


def test_the_duty_asks_for_notes_and_goes_on_when_they_are_kept() -> None:
    duty = QuotaDuty(ME, QuotaRules())
    duty.configure(LIMITS, 10)
    duty.view_changed(10.0, 7, ME, lambda: None, DISK)
    kept = [each for step in range(100) for each in duty.tick(11 + step * 0.05, LEAD_UNTIL)]
    assert len(kept) == 1 and isinstance(kept[0], WriteNote)
    assert duty.note_written(16.1, None, kept[0].note) == [], "a machine that does not lead must not answer"
    assert kept[0].note.left["a"] > 0
    assert [each for step in range(100) for each in duty.tick(17 + step * 0.05, LEAD_UNTIL)] == []
    duty.view_changed(22.0, 8, ME)
    (later,) = [each for step in range(100) for each in duty.tick(22 + step * 0.05, LEAD_UNTIL)]
    assert isinstance(later, WriteNote) and later.note.epoch == 8


def test_the_store_keeps_the_note_with_the_record_and_over_records_that_repeat_it(tmp_path: Path) -> None:
    store = ReplicaStore.open(tmp_path, 16 * 1024 * 1024)
    store.load()
    store.write(Record(meta=Meta(promised=1, note=b"one")))
    store.write(Record(meta=Meta(promised=2, note=b"one")))
    store.close()
    assert store.load().meta == Meta(promised=2, note=b"one")
    store.write(Record(meta=Meta(promised=3, note=b"")))
    store.close()
    assert store.load().meta.note == b""


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([8_000, 60_000, 600_000]), st.sampled_from([0.8, 7.5]))
def test_restarts_of_everything_one_after_the_other_exceed_no_window(
    seed: int, rate: int, factor: float
) -> None:
    world = World(seed, 10, {"a": TenantLimit(rate, rate)}, drift=0.02, notes=True)
    world.run(4)
    Load(world, "a", rate * factor)
    world.run(2)
    for _ in range(5):
        down_s = world.random.uniform(0.05, 1.5)
        for proxy in world.proxies:
            world.restart(proxy, down_s)
        world.at(world.now + down_s + 0.1, lambda: world.elect(world.proxies[0]))
        world.run(down_s + world.random.uniform(0.1, 2.0))
    world.run(8)
    assert world.worst_window("a") <= 1


def served_in_the_first_half_second(notes: bool) -> float:
    owed = run = 0
    for seed in range(8):
        world = World(seed, 10, {"a": TenantLimit(280_000, 280_000)}, notes=notes)
        world.run(4)
        Load(world, "a", 168_000)
        world.run(6)
        for proxy in world.proxies:
            world.restart(proxy, 0.5)
        world.at(world.now + 0.75, lambda world=world: world.elect(world.proxies[0]))  # type: ignore[misc]
        world.run(0.8)
        tally = world.tallies["a"]
        owed_before, run_before = tally.entitled, tally.entitled_run
        world.run(0.5)
        owed, run = owed + tally.entitled - owed_before, run + tally.entitled_run - run_before
    return run / owed


def test_after_a_restart_of_everything_less_is_refused_than_with_pools_that_begin_empty() -> None:
    without, with_notes = served_in_the_first_half_second(False), served_in_the_first_half_second(True)
    assert with_notes > 0.9
    assert without < 0.7
