"""Command line of the load generator."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from basilwall.load.plan import LoadPlan, PlanError
from basilwall.load.report_output import PlotError, format_table, save_plot
from basilwall.load.run import LoadRun
from basilwall.records.ids import ClassName, ServiceName

USAGE_ERROR_EXIT_CODE = 2


def load_command(
    vm: Annotated[list[str], typer.Option(help='host:port that callers use.')],
    service: Annotated[list[str], typer.Option(help='Service to query.')],
    class_name: Annotated[
        list[str] | None,
        typer.Option('--class', help='Request class.'),
    ] = None,
    rate: Annotated[float, typer.Option(help='Requests per second.')] = 50,
    seconds: Annotated[float, typer.Option(help='Run time in seconds.')] = 10,
    max_requests: Annotated[
        int, typer.Option(help='Maximum requests.')
    ] = 100_000,
    max_in_flight: Annotated[
        int, typer.Option(help='Maximum concurrency.')
    ] = 256,
    timeout_ms: Annotated[int, typer.Option(help='0: set by document.')] = 0,
    resends: Annotated[int, typer.Option(help='Resends if refused.')] = 0,
    seed: Annotated[int, typer.Option(help='Seed of the arrivals.')] = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
    plot: Annotated[Path | None, typer.Option(help='Plot output file.')] = None,
) -> None:
    """Load VMs on this machine at a fixed rate and report tail latency."""
    plan = LoadPlan(
        addresses=tuple(vm),
        services=tuple(ServiceName(name) for name in service),
        classes=tuple(ClassName(name) for name in class_name or ['default']),
        rate=rate,
        seconds=seconds,
        max_requests=max_requests,
        max_in_flight=max_in_flight,
        timeout_ms=timeout_ms,
        resends=resends,
        seed=seed,
    )
    try:
        run = LoadRun(plan)
    except PlanError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(USAGE_ERROR_EXIT_CODE) from error
    report = run.run()
    output = (
        msgspec.json.encode(report).decode()
        if as_json
        else format_table(report)
    )
    typer.echo(output)
    _save_plot(run, plot)


def _save_plot(run: LoadRun, path: Path | None) -> None:
    if path is None:
        return
    try:
        save_plot(run.tally.answered, path)
    except (PlotError, OSError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
