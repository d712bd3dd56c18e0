"""The prefix cache model, checked against a simple reference model, and the parsing of prompt headers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverrouter.placement.prefix import NO_PROMPT, Part, PrefixCache, Prompt, mix, parse_prompt


class PlainCache:
    """Reference model: parts in a list, the most recently used at its end."""

    def __init__(self, capacity: int, most: int) -> None:
        self.capacity = capacity
        self.most = most
        self.parts: list[Part] = []

    def record_sent(self, prompt: Prompt) -> None:
        for part in reversed(prompt.parts):
            self.parts = [kept for kept in self.parts if kept.key != part.key] + [part]
        while self.parts and (
            sum(p.tokens for p in self.parts) > self.capacity or len(self.parts) > self.most
        ):
            self.parts.pop(0)

    def missing(self, prompt: Prompt) -> int:
        kept = {part.key for part in self.parts}
        for place, part in enumerate(prompt.parts):
            if part.key not in kept:
                return sum(part.tokens for part in prompt.parts[place:])
        return 0


def prompts() -> st.SearchStrategy[Prompt]:
    parts = st.builds(Part, st.integers(0, 6), st.integers(0, 40))
    return st.lists(parts, max_size=4, unique_by=lambda part: part.key).map(
        lambda found: Prompt(tuple(found))
    )


@given(st.lists(prompts(), max_size=30), prompts(), st.integers(0, 120), st.integers(1, 5))
def test_the_cache_agrees_with_the_reference_model(
    sent: list[Prompt], asked: Prompt, capacity: int, most: int
) -> None:
    cache, plain = PrefixCache(capacity, most), PlainCache(capacity, most)
    for prompt in sent:
        cache.record_sent(prompt)
        plain.record_sent(prompt)
        assert cache.missing_tokens(asked) == plain.missing(asked)
        assert cache.tokens == sum(part.tokens for part in plain.parts)
        assert len(cache) == len(plain.parts)


def test_a_prompt_is_parsed_from_its_header() -> None:
    prompt = parse_prompt("5c1e07a2:800,91BD3F06:410, e4402b7d:250", "m")
    assert [part.tokens for part in prompt.parts] == [800, 410, 250]
    assert prompt.tokens == 1460
    assert prompt.affinity_part == prompt.parts[1]
    assert prompt.shared == prompt.parts[:2]
    assert prompt == parse_prompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "m")


def test_a_part_stands_for_its_model_and_what_comes_before_it() -> None:
    one, other = parse_prompt("aa:1,bb:2,cc:3"), parse_prompt("ab:1,bb:2,cc:3")
    assert one.parts[1].key != other.parts[1].key
    assert parse_prompt("aa:1", "m").parts[0].key != parse_prompt("aa:1", "n").parts[0].key


def test_the_subject_of_short_chains_is_their_first_part() -> None:
    assert parse_prompt("aa:1,bb:2").affinity_part == parse_prompt("aa:1").affinity_part


@pytest.mark.parametrize(
    "value",
    [
        None,
        "",
        ",",
        "aa",
        "aa:",
        ":5",
        "xyz:5",
        "aa:-5",
        "aa:1.5",
        "aa:5,",
        "aa:5;bb:6",
        "aa:9999999999",
        "f" * 65 + ":1",
        ",".join(["aa:1"] * 65),
        "aa:1," * 5000 + "aa:1",
        "aa:\u0665",
    ],
)
def test_a_malformed_header_gives_no_prompt(value: str | None) -> None:
    assert parse_prompt(value) == NO_PROMPT
    assert NO_PROMPT.affinity_part is None


@given(st.text(max_size=60))
def test_parsing_a_prompt_never_fails(value: str) -> None:
    parse_prompt(value)


@given(st.integers(0, 2**256))
def test_mixing_stays_within_64_bits(value: int) -> None:
    assert 0 <= mix(value) < 2**64
