"""Tests of validated reading, with the messages that an operator sees."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.checking.comments import blank_comments
from basilwall.checking.reader import CheckError, read_checked
from basilwall.checking.schemas import SchemaName, schema_text
from basilwall.document.model import Document
from basilwall.settings.model import Settings

ROOT = Path(__file__).parents[2]

WRONG = """// A document with four errors.
{
  "service": "depot-desk",
  "deadline_ms": 1,            // too small
  "tolerated_coverag": 0.9,    /* misspelt */
  "classes": {
    "clerk": {"weight": "many", "max_inflight": 3},
  },
}
"""
FINDINGS = """\
x.json:4:18: deadline_ms: Input should be greater than or equal to 5, \
but found 1
x.json:5:3: tolerated_coverag: unknown key; did you mean \
"tolerated_coverage"? (known: service, weighs, deadline_ms, \
order_deadline_ms, tolerated_coverage, extra_load, hedge_quantile, classes)
x.json:7:25: classes.clerk.weight: Input should be a valid integer, unable \
to parse string as an integer, but found "many"
x.json:7:33: classes.clerk.max_inflight: unknown key; did you mean \
"max_in_flight"? (known: weight, max_in_flight)"""


def test_all_errors_are_reported_with_their_positions():
    with pytest.raises(CheckError) as caught:
        read_checked(WRONG, 'x.json', Document)
    assert str(caught.value) == FINDINGS


@pytest.mark.parametrize(
    ('text', 'finding'),
    [
        ('{"service": }', 'x:1:13: Expecting value'),
        ('{"a": 1, "a": 2}', 'x:1:1: duplicate keys: a'),
        ('{}', 'x:1:1: service: required, but not given'),
        ('[' * 100_000, 'x:1:1: maximum recursion depth exceeded'),
        (' ' * 2_000_000, 'x:1:1: larger than 262144 bytes'),
        ('{"service": "a", "extra_load": NaN}', 'x:1:32: extra_load: '),
        ('[]', 'x:1:1: Input should be a valid dictionary'),
    ],
)
def test_invalid_text_gives_one_finding(text, finding):
    with pytest.raises(CheckError) as caught:
        read_checked(text, 'x', Document)
    assert str(caught.value).startswith(finding)


@given(st.text())
def test_any_text_is_read_or_refused(text):
    try:
        read_checked(text, 'x', Document)
    except CheckError as error:
        assert error.findings


@given(st.recursive(st.text() | st.integers() | st.none(), st.lists))
def test_json_without_comments_is_unchanged(content):
    text = json.dumps(content)
    assert json.loads(blank_comments(text)) == content


@pytest.mark.parametrize(
    'path',
    sorted(ROOT.glob('examples/*/*.json')),
    ids=lambda path: f'{path.parent.name}/{path.name}',
)
def test_example_settings_are_valid(path):
    read_checked(path.read_text(), str(path), Settings)


@pytest.mark.parametrize(
    'path',
    sorted(ROOT.glob('examples/*/documents/*.json')),
    ids=lambda path: path.stem,
)
def test_example_documents_are_valid(path):
    document = read_checked(path.read_text(), str(path), Document)
    assert document.service == path.stem


@pytest.mark.parametrize('name', SchemaName)
def test_published_schema_is_up_to_date(name):
    published = ROOT / 'docs' / 'schema' / f'{name.value}.json'
    assert published.read_text() == schema_text(name)
