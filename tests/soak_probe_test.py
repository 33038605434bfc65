"""Route table probe of the soak test, while a VM changes its route table."""

from types import SimpleNamespace

import pytest

from soak import checks

PREVIOUS, NEWEST = 7, 8


@pytest.mark.parametrize(
    ('probes_before_change', 'version_after_change', 'expected'),
    [
        # The newest version comes into force after the first probe.
        (1, NEWEST, NEWEST),
        # The newest version does not come into force during the probes.
        (99, PREVIOUS, PREVIOUS),
        # The newest version is in force from the start.
        (0, NEWEST, NEWEST),
        # The VM has no version in force.
        (0, 0, 0),
    ],
)
def test_probe_finds_version_in_force(
    monkeypatch, probes_before_change, version_after_change, expected
):
    probed_paths = []

    def request_status(vm, path):
        in_force = (
            PREVIOUS
            if len(probed_paths) < probes_before_change
            else version_after_change
        )
        probed_paths.append(path)
        return 200 if path == f'/v{in_force}/probe' else 404

    monkeypatch.setattr(checks, '_request_status', request_status)
    probe = checks.RouteTableProbe(SimpleNamespace(), [])
    assert probe._find_version(SimpleNamespace(), NEWEST) == expected
