"""The merged answer against a plain sort of all records."""

from hypothesis import given
from hypothesis import strategies as st

from basilwall.forwarding.merging import RECORD_BYTES, merge_records

RECORD = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
REST = st.binary(max_size=RECORD_BYTES - 1)


@given(
    st.lists(st.tuples(st.lists(RECORD, max_size=6), REST), max_size=5),
    st.integers(0, 8),
)
def test_merges_greatest_records_in_descending_order(shards, top):
    bodies = [b''.join(records) + rest for records, rest in shards]
    every = [record for records, _ in shards for record in records]
    expected = sorted(every, reverse=True)[:top]
    assert merge_records(bodies, top) == b''.join(expected)
