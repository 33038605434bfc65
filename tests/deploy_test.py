"""The program as it is deployed: few libraries, and one folder that translates.

Memory is dear on the VMs, so the entry program may import only what its own
list of requirements names; and only `platform/` may know the names on the wire.
"""

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
REQUIRED = (ROOT / 'deploy' / 'requirements.txt').read_text().split()
WIRE_NAMES = re.compile(
    'server-stamp|part-stamps|missing-parts|not-executed|expect-instance'
    '|request-deadline-ms|op/config|kv-watch|kv-range|min_shard_share|top_k'
    '|max_conns|born|call_seq|seed_nodes|budget_slack|fleetbench|searcher_lag',
    re.IGNORECASE,
)


def test_the_requirements_are_those_of_the_project():
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    assert set(REQUIRED) <= set(project['project']['dependencies'])


def test_the_entry_program_imports_no_other_library():
    code = (
        'import sys, json, basilwall.entry_vm; '
        'print(json.dumps(sorted({n.split(".")[0] for n in sys.modules})))'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    allowed = {one.split('==')[0] for one in REQUIRED}
    foreign = {
        'grpc',
        'google',
        'pydantic',
        'pydantic_core',
        'typer',
        'rich',
        'waitress',
        'statsd',
        'hdrh',
    }
    imported = set(json.loads(done.stdout))
    assert allowed <= imported
    assert not foreign & imported


def test_the_deploy_file_runs_the_program_and_serves_its_metrics():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    role = deploy['roles']['entry']
    assert role['run'] == 'python3 -m basilwall.entry'
    source = (ROOT / 'basilwall' / 'platform' / 'node.py').read_text()
    port = role['metrics'].split('/')[0]
    assert f'METRICS_PORT = {port}\n' in source


def test_only_the_adapter_knows_the_names_on_the_wire():
    own = ('platform', 'standin')
    strays = [
        f'{path.relative_to(ROOT)}: {found.group()}'
        for path in (ROOT / 'basilwall').rglob('*.py')
        if path.relative_to(ROOT / 'basilwall').parts[0] not in own
        and not path.name.endswith('_test.py')
        for found in WIRE_NAMES.finditer(path.read_text())
    ]
    assert strays == []
