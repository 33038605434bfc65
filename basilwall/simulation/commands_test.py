"""Tests of the command `simulate`."""

import json

import pytest
from typer.testing import CliRunner

from basilwall.cli import app


def run(*arguments):
    return CliRunner().invoke(app, ['simulate', '--seconds', '1', *arguments])


def test_prints_report_as_table():
    completed = run('--trouble', 'slow', '--strength', '8')
    assert completed.exit_code == 0
    assert 'price-sweep' in completed.stdout


def test_prints_report_as_json():
    report = json.loads(run('--json', '--deployment', 'transandina').stdout)
    assert report['seed'] == 1
    assert 0 < report['worth'] <= 1


def test_writes_plot(tmp_path):
    path = tmp_path / 'worth.png'
    assert run('--plot', str(path)).exit_code == 0
    assert path.stat().st_size


@pytest.mark.parametrize(
    ('arguments', 'code'),
    [(('--deployment', 'none'), 2), (('--plot', '/nowhere/a.png'), 1)],
)
def test_usage_error_and_unwritable_file_exit_with_different_codes(
    arguments, code
):
    assert run(*arguments).exit_code == code
