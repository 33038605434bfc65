"""The command that plays a deployment."""

import json

import pytest
from typer.testing import CliRunner

from basilwall.cli import app


def run(*arguments):
    return CliRunner().invoke(app, ['simulate', '--seconds', '1', *arguments])


def test_a_run_is_shown_as_a_table():
    shown = run('--trouble', 'slow', '--strength', '8')
    assert shown.exit_code == 0
    assert 'price-sweep' in shown.stdout


def test_a_run_is_shown_as_json():
    report = json.loads(run('--json', '--deployment', 'transandina').stdout)
    assert report['seed'] == 1
    assert 0 < report['worth'] <= 1


def test_a_run_is_drawn(tmp_path):
    path = tmp_path / 'worth.png'
    assert run('--plot', str(path)).exit_code == 0
    assert path.stat().st_size


@pytest.mark.parametrize(
    ('arguments', 'code'),
    [(('--deployment', 'none'), 2), (('--plot', '/nowhere/a.png'), 1)],
)
def test_wrong_use_and_a_bad_file_have_codes_of_their_own(arguments, code):
    assert run(*arguments).exit_code == code
