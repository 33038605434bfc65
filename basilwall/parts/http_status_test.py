"""Tests of which statuses are those of a response."""

import pytest

from basilwall.parts.http_status import StatusKind, kind_of_status


@pytest.mark.parametrize(
    ('kind', 'statuses'),
    [
        (StatusKind.INVALID, (-1, 0, 1, 20, 99, 101, 600, 700, 999, 1000)),
        (StatusKind.INTERIM, (100, 102, 103, 199)),
        (StatusKind.FINAL, (200, 204, 299, 304, 404, 503, 599)),
    ],
)
def test_kinds_of_statuses(kind, statuses):
    assert {kind_of_status(status) for status in statuses} == {kind}
