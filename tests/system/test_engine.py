"""The emulated engine: batching, chunked prefill, prefix cache, eviction and preemption. Steps, no clock."""

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


def generation_request(
    name: str, *parts: tuple[str, int], output: int = 20, priority: int = 5
) -> GenerationRequest:
    return GenerationRequest(name, tuple(PromptPart(*part) for part in parts), output, priority=priority)


def step(engine: Engine) -> list[Progress]:
    engine.begin_step()
    return engine.end_step()


def steps_to_first(engine: Engine, name: str) -> int:
    for number in range(1, 100):
        if any(progress.request_id == name for progress in step(engine)):
            return number
    raise AssertionError(f"{name} never generated a token")


def finish(engine: Engine) -> None:
    while not engine.is_idle:
        step(engine)


def test_prefill_is_chunked_and_a_cached_part_is_not_processed_again() -> None:
    engine = Engine(SHAPE)
    engine.submit(generation_request("a", ("shared", 300), ("own-a", 50)))
    assert steps_to_first(engine, "a") == 4
    finish(engine)
    engine.submit(generation_request("b", ("shared", 300), ("own-b", 50)))
    assert steps_to_first(engine, "b") == 1
    assert engine.reused_tokens == 300


def test_a_part_counts_only_with_all_parts_before_it() -> None:
    engine = Engine(SHAPE)
    engine.submit(generation_request("a", ("x", 100), ("y", 200)))
    finish(engine)
    engine.submit(generation_request("b", ("other", 100), ("y", 200)))
    assert steps_to_first(engine, "b") == 3


def test_the_least_recently_used_part_is_evicted() -> None:
    engine = Engine(SHAPE)
    for name in ("old", "new"):
        engine.submit(generation_request(name, (name, 400)))
        finish(engine)
    engine.submit(generation_request("third", ("third", 400)))
    finish(engine)
    engine.submit(generation_request("again", ("new", 400)))
    assert steps_to_first(engine, "again") == 1
    finish(engine)
    engine.submit(generation_request("gone", ("old", 400)))
    assert steps_to_first(engine, "gone") == 4


def test_requests_beyond_memory_or_queue_are_refused() -> None:
    engine = Engine(SHAPE)
    assert engine.submit(generation_request("huge", ("p", 990))) is Admission.FULL
    admissions = [engine.submit(generation_request(f"r{n}", (f"p{n}", 10))) for n in range(4)]
    assert admissions == [Admission.ACCEPTED] * 3 + [Admission.FULL]


def test_urgent_requests_run_first_and_the_newest_is_preempted_when_memory_is_full() -> None:
    engine = Engine(SHAPE)
    engine.submit(generation_request("first", ("a", 450), output=100))
    engine.submit(generation_request("second", ("b", 450), output=100))
    generated: dict[str, int] = {}
    order = []
    while not engine.is_idle:
        for progress in step(engine):
            assert progress.generated >= generated.get(progress.request_id, 0)
            generated[progress.request_id] = progress.generated
            if progress.done:
                order.append(progress.request_id)
    assert order == ["first", "second"] and generated == {"first": 100, "second": 100}


def test_a_resumed_stream_goes_on_where_it_was() -> None:
    engine = Engine(SHAPE)
    engine.submit(GenerationRequest("r", (PromptPart("p", 10),), 40, already_generated=20))
    assert [progress.generated for progress in step(engine)] == [30]


def test_a_cancelled_request_releases_its_memory() -> None:
    engine = Engine(SHAPE)
    engine.submit(generation_request("a", ("p", 300)))
    step(engine)
    engine.cancel("a")
    assert engine.is_idle and engine.pinned_tokens == 0
    engine.submit(generation_request("b", ("p", 300)))
    assert steps_to_first(engine, "b") == 3  # a partly processed prompt is not cached


def test_prefix_header() -> None:
    assert parse_prefix("5c1e:800, 91bd:410") == (PromptPart("5c1e", 800), PromptPart("91bd", 410))
    assert parse_prefix("") == ()
    with pytest.raises(ValueError, match="invalid literal"):
        parse_prefix("5c1e")
