"""An emulated engine: batches, prefill in pieces, what its cache keeps, who gives way. Steps, no clock."""

from __future__ import annotations

import pytest

from cloverrouter.lab.fleet.engine import (
    Admission,
    Engine,
    EngineShape,
    GenerationRequest,
    Progress,
    PromptPart,
    parse_prefix,
)

SHAPE = EngineShape(
    capacity=2,
    queue_limit=1,
    kv_cache_tokens=1_000,
    prefill_tokens_per_step=100,
    tokens_per_step=10,
)


def ask(name: str, *parts: tuple[str, int], output: int = 20, priority: int = 5) -> GenerationRequest:
    return GenerationRequest(name, tuple(PromptPart(*part) for part in parts), output, priority=priority)


def step(engine: Engine) -> list[Progress]:
    engine.begin_step()
    return engine.end_step()


def steps_to_first(engine: Engine, name: str) -> int:
    for number in range(1, 100):
        if any(progress.request_id == name for progress in step(engine)):
            return number
    raise AssertionError(f"{name} never began")


def finish(engine: Engine) -> None:
    while not engine.is_idle:
        step(engine)


def test_a_prompt_is_read_in_pieces_and_a_kept_part_is_not_read_again() -> None:
    engine = Engine(SHAPE)
    engine.submit(ask("a", ("shared", 300), ("own-a", 50)))
    assert steps_to_first(engine, "a") == 4
    finish(engine)
    engine.submit(ask("b", ("shared", 300), ("own-b", 50)))
    assert steps_to_first(engine, "b") == 1
    assert engine.reused_tokens == 300


def test_a_part_counts_only_with_all_parts_before_it() -> None:
    engine = Engine(SHAPE)
    engine.submit(ask("a", ("x", 100), ("y", 200)))
    finish(engine)
    engine.submit(ask("b", ("other", 100), ("y", 200)))
    assert steps_to_first(engine, "b") == 3


def test_the_part_unused_for_longest_gives_way() -> None:
    engine = Engine(SHAPE)
    for name in ("old", "new"):
        engine.submit(ask(name, (name, 400)))
        finish(engine)
    engine.submit(ask("third", ("third", 400)))
    finish(engine)
    engine.submit(ask("again", ("new", 400)))
    assert steps_to_first(engine, "again") == 1
    finish(engine)
    engine.submit(ask("gone", ("old", 400)))
    assert steps_to_first(engine, "gone") == 4


def test_more_than_it_can_hold_is_refused() -> None:
    engine = Engine(SHAPE)
    assert engine.submit(ask("huge", ("p", 990))) is Admission.FULL
    taken = [engine.submit(ask(f"r{n}", (f"p{n}", 10))) for n in range(4)]
    assert taken == [Admission.ACCEPTED] * 3 + [Admission.FULL]


def test_the_urgent_go_first_and_the_newest_gives_way_when_memory_ends() -> None:
    engine = Engine(SHAPE)
    engine.submit(ask("first", ("a", 450), output=100))
    engine.submit(ask("second", ("b", 450), output=100))
    made: dict[str, int] = {}
    order = []
    while not engine.is_idle:
        for progress in step(engine):
            assert progress.made >= made.get(progress.request_id, 0)
            made[progress.request_id] = progress.made
            if progress.done:
                order.append(progress.request_id)
    assert order == ["first", "second"] and made == {"first": 100, "second": 100}


def test_a_resumed_stream_goes_on_where_it_was() -> None:
    engine = Engine(SHAPE)
    engine.submit(GenerationRequest("r", (PromptPart("p", 10),), 40, already_made=20))
    assert [progress.made for progress in step(engine)] == [30]


def test_what_is_cancelled_is_gone() -> None:
    engine = Engine(SHAPE)
    engine.submit(ask("a", ("p", 300)))
    step(engine)
    engine.cancel("a")
    assert engine.is_idle and engine.busy_tokens == 0
    engine.submit(ask("b", ("p", 300)))
    assert steps_to_first(engine, "b") == 3  # half a prompt that was read is not kept


def test_prefix_header() -> None:
    assert parse_prefix("5c1e:800, 91bd:410") == (PromptPart("5c1e", 800), PromptPart("91bd", 410))
    assert parse_prefix("") == ()
    with pytest.raises(ValueError, match="invalid literal"):
        parse_prefix("5c1e")
