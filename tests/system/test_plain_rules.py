"""Values that pass the check without cerberus also pass cerberus, for generated values of every field."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverrouter.control.checks import Findings, check_fields
from cloverrouter.control.schemas import SCHEMAS, passes_plain_rules, validator

VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 5),
    st.sampled_from([2**53, 2**53 + 1, -1, 0.0, 0.5, -0.5, 1e300, 10**18]),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(["", "/", "//", "/a/", "/a", "a/", "/a/\n", "idempotent", "streaming", "x"]),
    st.text(max_size=3),
    st.just([]),
    st.just({}),
)
FIELDS = [(schema, field) for schema, rules in SCHEMAS.items() for field in rules]


@pytest.mark.parametrize(("schema", "field"), FIELDS)
@settings(max_examples=60, deadline=None)
@given(value=VALUES)
def test_a_value_that_is_plainly_sound_is_sound(schema: str, field: str, value: Any) -> None:
    rules = validator(schema)
    if passes_plain_rules(rules.schema[field], value):
        is_valid = rules.validate({field: value}, normalize=False, update=True)
        assert is_valid, (field, value, rules.errors)


@settings(max_examples=300, deadline=None)
@given(
    items=st.lists(
        st.dictionaries(
            st.sampled_from([field for schema, field in FIELDS if schema == "route-table"] + ["other"]),
            VALUES,
        ),
        max_size=6,
    )
)
def test_items_of_a_list_are_judged_as_each_alone(items: list[dict[str, Any]]) -> None:
    known: set[tuple[str, type, Any]] = set()
    for item in items:
        with_known: Findings = []
        without_known: Findings = []
        is_valid = check_fields("route-table", item, "", with_known, known)
        assert is_valid == check_fields("route-table", item, "", without_known)
        assert with_known == without_known
