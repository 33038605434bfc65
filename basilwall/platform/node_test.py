"""Tests of the platform's settings file: all errors are reported together."""

import json

import pytest

from basilwall.platform.node import read_node_file
from basilwall.records.ids import Region, Zone
from basilwall.settings.current import CurrentSettings, SettingsError

NODE = {
    'node': 'vm-1',
    'ip': '127.0.0.1',
    'zone': 'a',
    'zones': {'a': 'r', 'b': 's'},
    'listen': {
        'front': '127.0.0.1:1',
        'ready': '127.0.0.1:2',
        'control': '127.0.0.1:3',
    },
    'internal_ports': [7740, 7755],
    'seed_nodes': ['127.0.0.1:3'],
    'limits': {'memory_mb': 300, 'max_fds': 4100},
    'bounds': {
        'retry_budget_ratio': 0.2,
        'budget_window_s': 10,
        'budget_slack': 56,
        'grace_s': 6,
        'drain_ms': 3000,
        'config_apply_ms': 4000,
    },
    'platform': {'address': '127.0.0.1:4', 'reads_per_s': 5, 'history_s': 2},
    'not_yet_known': [1, 2],
}


def write(path, **changes):
    path.write_text(json.dumps({**NODE, **changes}))
    return path


def test_fields_are_converted_to_settings(tmp_path):
    settings = read_node_file(write(tmp_path / 'node.json'))
    assert settings.place.zone == Zone('a')
    assert settings.place.region_by_zone[Zone('b')] == Region('s')
    assert settings.bounds.drain_limit == 3
    assert settings.bounds.stop_limit == 6
    assert settings.relay_address == '127.0.0.1:7740'
    assert settings.metrics_address == '127.0.0.1:9464'


def test_all_errors_are_reported_together(tmp_path):
    path = write(
        tmp_path / 'node.json',
        zone=5,
        limits={'memory_mb': 'much'},
        bounds=None,
    )
    with pytest.raises(SettingsError) as raised:
        read_node_file(path)
    lines = str(raised.value).splitlines()
    field_paths = [
        line.removeprefix(f'{path}: ').split(':')[0] for line in lines
    ]
    assert field_paths == [
        'zone',
        'limits.memory_mb',
        'limits.max_fds',
        'bounds.',
    ]


@pytest.mark.parametrize('text', ['', '{', '[]', '3', '\x00'])
def test_a_file_without_a_json_object_is_refused(tmp_path, text):
    path = tmp_path / 'node.json'
    path.write_text(text)
    with pytest.raises(SettingsError):
        read_node_file(path)


def test_settings_are_reloaded_only_if_changed_and_valid(tmp_path):
    path = write(tmp_path / 'node.json')
    current = CurrentSettings(path, read_node_file)
    assert not current.reload_if_changed()
    write(path, seed_nodes=['127.0.0.1:9'])
    assert current.reload_if_changed()
    assert current.value.seeds == ('127.0.0.1:9',)
    path.write_text('{')
    assert not current.reload_if_changed()
    path.unlink()
    assert not current.reload_if_changed()
    assert current.value.seeds == ('127.0.0.1:9',)
    write(path, seed_nodes=[])
    assert current.reload_if_changed()
    assert not current.value.seeds
