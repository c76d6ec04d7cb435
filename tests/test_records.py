"""The operator's file: the values that are read, and the error text of each mistake."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearloom.coordination.settings import read_store
from pearloom.iax2.settings import read_iax2
from pearloom.maintenance.settings import read_maintenance_settings
from pearloom.records import Fields, RecordError, parse
from pearloom.records.language import to_plain
from pearloom.rules import read_rules_settings

PLAIN_VALUES = st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(max_size=20)
JSON_VALUES = st.recursive(PLAIN_VALUES, lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4))  # fmt: skip  # noqa: E501
CLASSES = ("open-form", "save-answers")


@given(st.dictionaries(st.text(max_size=8), JSON_VALUES, max_size=4), st.sampled_from([None, 1, 3]))
def test_json_text_is_valid(value: dict[str, object], indent: int | None) -> None:
    assert to_plain(parse(json.dumps(value, indent=indent), "f")) == value


def test_fields_on_lines_after_commas_nested_and_merged() -> None:
    text = '// a site\na: {b: 1, "c-d": [1,\n 2.5]\n}\n\na: e: f: true // joined\ng: null'
    assert to_plain(parse(text, "f")) == {"a": {"b": 1, "c-d": [1, 2.5], "e": {"f": True}}, "g": None}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("a: 1\n\na: 2", "f:1: a is 1 here and 2 in line 3"),
        ("a: b: 1\na: {b: true}", "f:1: a.b is 1 here and true in line 2"),
        ("a: 1\na: {b: 1}", "f:1: a is 1 here and a record in line 2"),
        ("x: 1\na: {", "f:2: unexpected the end of the file"),
        ("a: 1\nb 2", "f:2: unexpected '2'; expected ':'"),
        ('a: "x', "f:1: unexpected '\"x'"),
        ("a:" + "[" * 40, "f:1: nested more than 32 deep"),
        ("a: 1," + " " * (1 << 20), "f:1: the file is over 1 MiB"),
        ('a: "\\q"', "f:1: "),
    ],
)
def test_error_texts_give_file_line_and_mistake(text: str, message: str) -> None:
    with pytest.raises(RecordError) as error:
        parse(text, "f")
    assert str(error.value).startswith(message)


@given(st.text(max_size=60) | st.text(alphabet='{}[]":,a1 \n/\\', max_size=60))
def test_any_text_is_parsed_or_rejected_with_file_and_line(text: str) -> None:
    try:
        parse(text, "f")
    except RecordError as error:
        assert str(error).startswith("f:")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("listne: 1", "f:1: iax2.listne is not known; did you mean listen?"),
        ('listen: "nowhere"', "f:1: iax2.listen has to be an address with a port, not 'nowhere'"),
        ('listen: "h:99999"', "f:1: iax2.listen has to be an address with a port: "),
        ("listen: 4569", "f:1: iax2.listen has to be a text, not a whole number"),
        ("listen: true", "f:1: iax2.listen has to be a text, not a truth value"),
        ('\nservers: ["s-1",\n"x"]', "f:3: iax2.servers has 'x', which is not a server's id"),
        ("servers: 3", "f:1: iax2.servers has to be a list, not a whole number"),
        ("servers: [3]", "f:1: iax2.servers has a whole number, not a text"),
        ("secrets: 3", "f:1: iax2.secrets has to be a record, not a whole number"),
        ('secrets: "a b": "12345678"', "f:1: iax2.secrets.a b is not a name"),
        ('secrets: a: "short"', "f:1: iax2.secrets of a has to have 8 to 128 signs"),
        ('server_secrets: "s-0000000a": "12345678"', "f:1: iax2.server_secrets names s-0000000a"),
        ('default_class: "x"', "f:1: iax2.default_class has to be one of open-form, save-answers"),
        ("limits: legs: 0", "f:1: iax2.limits.legs has to be from 1 to 30000, not 0"),
        ("limits: legs: 1.5", "f:1: iax2.limits.legs has to be a whole number, not a number"),
        ("limits: {legs: 5\nlegz: 5}", "f:2: iax2.limits.legz is not known; did you mean legs?"),
    ],
)
def test_error_texts_of_an_invalid_iax2_record(text: str, message: str) -> None:
    with pytest.raises(RecordError) as error:
        Fields(parse(f"iax2: {{{text}}}", "f"), "f").read("iax2", lambda inner: read_iax2(inner, CLASSES))
    assert str(error.value).startswith(message)


def test_a_complete_iax2_record() -> None:
    text = """
        listen: "127.0.0.1:4569", servers: ["s-0000001?"], default_class: "open-form"
        server_secrets: "s-00000012": "kept between"
        limits: legs: 7
    """
    fields = Fields(parse(f"iax2: {{{text}}}", "f"), "f")
    iax2 = fields.read("iax2", lambda inner: read_iax2(inner, CLASSES))
    assert iax2 is not None and iax2.listen == ("127.0.0.1", 4569) and iax2.limits.legs == 7
    assert iax2.speaks("s-0000001f") and not iax2.speaks("s-00000021")


def test_the_example_file_is_valid() -> None:
    from pathlib import Path

    path = Path(__file__).parent.parent / "deploy" / "pearloom.example.cue"
    fields = Fields(parse(path.read_text(), path.name), path.name)
    assert fields.read("iax2", lambda inner: read_iax2(inner, CLASSES)) is not None
    assert fields.read("store", read_store) is not None
    maintenance = fields.read("turns", read_maintenance_settings)
    assert maintenance is not None and (maintenance.limits.out, maintenance.limits.floor) == (2, 0.75)
    rules = fields.read("rules", read_rules_settings)
    assert rules is not None and rules.rollout.stages == (0.0, 0.1, 0.5)
    fields.reject_unknown()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("store: {}", "store.at has to name at least one address"),
        ('store: at: ["here"]', "store.at has 'here', which is not an address"),
        ('store: {at: ["127.0.0.1:2379"], prefix: "pearloom"}', "store.prefix has to be a path"),
        (
            'store: {at: ["127.0.0.1:1"], lease_s: 2, timeout_ms: 1500}',
            "store.timeout_ms has to be at most half",
        ),
        ("turns: out: -1", "turns.out has to be from 0"),
        ("turns: floor: 2", "turns.floor has to be from 0 to 1"),
        ("turns: flor: 1", "turns.flor is not known; did you mean floor?"),
    ],
)
def test_error_texts_of_invalid_fleet_records(text: str, message: str) -> None:
    fields = Fields(parse(text, "f.cue"), "f.cue")
    with pytest.raises(RecordError) as error:
        fields.read("store", read_store)
        fields.read("turns", read_maintenance_settings)
    assert message in str(error.value)
