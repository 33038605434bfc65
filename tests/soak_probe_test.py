"""The soak's probe of route tables against a VM that changes meanwhile."""

from types import SimpleNamespace

import pytest

from soak import checks

FORMER, NEWEST = 7, 8


@pytest.mark.parametrize(
    ('changes_after', 'in_force_last', 'found'),
    [
        # In force between the first and the second question.
        (1, NEWEST, NEWEST),
        # Never in force while it was asked.
        (99, FORMER, FORMER),
        # In force from the start.
        (0, NEWEST, NEWEST),
        # A VM with no version at all is still found out.
        (0, 0, 0),
    ],
)
def test_a_version_is_found(monkeypatch, changes_after, in_force_last, found):
    asked = []

    def ask(vm, path):
        in_force = FORMER if len(asked) < changes_after else in_force_last
        asked.append(path)
        return 200 if path == f'/v{in_force}/probe' else 404

    monkeypatch.setattr(checks, '_ask', ask)
    probe = checks.RouteTableProbe(SimpleNamespace(), [])
    assert probe._find_version(SimpleNamespace(), NEWEST) == found
