"""The command line.

Exit codes: 0 for success, 1 for an invalid file or a failed run, 2 for wrong
usage.
"""

import threading
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from basilwall.checking.reader import CheckError, read_checked
from basilwall.checking.schemas import SchemaName, schema_text
from basilwall.document.model import Document
from basilwall.load.commands import load_command
from basilwall.operators.logs import set_up_logs
from basilwall.operators.status_client import (
    StatusError,
    decode_status,
    fetch_status,
)
from basilwall.operators.status_table import print_status
from basilwall.parts.allocator import return_freed_buffers
from basilwall.parts.stop_signals import set_on_stop_signals
from basilwall.platform.node import read_node_file
from basilwall.settings.current import SettingsError
from basilwall.settings.model import load_settings
from basilwall.settings.ticket_key import KeyFileError
from basilwall.simulation.commands import simulate_command
from basilwall.standin.commands import standin_app
from basilwall.standin.demo import demo_vm, run_demo
from basilwall.wiring import running_vm

app = typer.Typer(no_args_is_help=True, add_completion=False)
check_app = typer.Typer(no_args_is_help=True)
app.add_typer(check_app, name='check', help='Check a file.')
app.add_typer(standin_app, name='standin', help='Run stand-ins.')
app.command('load')(load_command)
app.command('simulate')(simulate_command)

#: Errors that mean that a file can't be read or is invalid.
FILE_ERRORS = (CheckError, SettingsError, OSError, UnicodeDecodeError)
FileArgument = Annotated[Path, typer.Argument(metavar='FILE')]


def main() -> None:
    """Run the command line."""
    app()


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help='The settings file.')],
) -> None:
    """Run one VM until SIGTERM, then stop without cutting off a request."""
    stop_requested, skip_balancer_wait = threading.Event(), threading.Event()
    set_on_stop_signals(stop_requested, skip_balancer_wait)
    return_freed_buffers()
    try:
        loaded = load_settings(settings)
        set_up_logs(loaded.log_level)
        with running_vm(loaded) as vm:
            stop_requested.wait()
            is_complete = vm.planned_stop.run(skip_balancer_wait)
    except (CheckError, KeyFileError, OSError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if not is_complete:
        raise typer.Exit(1)


@app.command()
def entry() -> None:
    """Run an entry VM on the users' platform until SIGTERM."""
    # Imported here, because the entry VM shares few libraries with the others.
    from basilwall import entry as program

    program.main()


@app.command()
def demo(
    stay: Annotated[
        bool, typer.Option(help='Keep serving until SIGTERM.')
    ] = False,
    port: Annotated[int | None, typer.Option(help='Port for callers.')] = None,
) -> None:
    """Run a VM and stand-ins in one process and send real requests."""
    stop_requested, skip_balancer_wait = threading.Event(), threading.Event()
    set_up_logs('ERROR')
    if stay:
        set_on_stop_signals(stop_requested, skip_balancer_wait)
    with demo_vm(port) as vm:
        run_demo(vm, typer.echo)
        if stay:
            typer.echo('Serving until SIGTERM.')
            stop_requested.wait()
        vm.planned_stop.run(skip_balancer_wait)


@app.command()
def status(
    address: Annotated[str, typer.Argument(help='host:port for callers')],
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Show the status report of a VM."""
    try:
        body = fetch_status(address)
        report = decode_status(body)
    except StatusError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if as_json:
        typer.echo(body.decode())
    else:
        print_status(report, Console())


@app.command()
def schema(
    name: Annotated[SchemaName, typer.Argument(help='Kind of file.')],
) -> None:
    """Print the JSON Schema of a file."""
    typer.echo(schema_text(name), nl=False)


@check_app.command('settings')
def check_settings(path: FileArgument) -> None:
    """Check the settings of a VM."""
    _check(path, lambda: load_settings(path))


@check_app.command('node')
def check_node(path: FileArgument) -> None:
    """Check the settings that the users' platform wrote for a VM."""
    _check(path, lambda: read_node_file(path))


@check_app.command('document')
def check_document(path: FileArgument) -> None:
    """Check the document of a service."""
    _check(path, lambda: read_checked(path.read_text(), str(path), Document))


def _check(path: Path, check: Callable[[], object]) -> None:
    try:
        check()
    except FILE_ERRORS as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    typer.echo(f'{path}: good')
