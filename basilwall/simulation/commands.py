"""Command line of the simulation."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from basilwall.load.report_output import PlotError
from basilwall.simulation.callers import simulate
from basilwall.simulation.report import format_table, save_plot
from basilwall.simulation.scenarios import (
    MODELS_BY_NAME,
    Fault,
    FaultKind,
    Scenario,
)

USAGE_ERROR_EXIT_CODE = 2


def simulate_command(
    deployment: Annotated[
        str, typer.Option(help='qasr-al-jamr, transandina, or -grown.')
    ] = 'qasr-al-jamr',
    trouble: Annotated[
        FaultKind | None, typer.Option(help='Fault to inject.')
    ] = None,
    share: Annotated[float, typer.Option(help='Share affected.')] = 0.15,
    strength: Annotated[
        float, typer.Option(help='slow: factor; else: probability.')
    ] = 1,
    load: Annotated[float, typer.Option(help='Load factor.')] = 1,
    seconds: Annotated[float, typer.Option(help='Run time in seconds.')] = 10,
    seed: Annotated[int, typer.Option(help='Seed of random draws.')] = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
    plot: Annotated[Path | None, typer.Option(help='Plot output file.')] = None,
) -> None:
    """Simulate a deployment; the fault lasts the middle half of the run."""
    model = MODELS_BY_NAME.get(deployment)
    if model is None:
        typer.echo(f'unknown deployment {deployment!r}', err=True)
        raise typer.Exit(USAGE_ERROR_EXIT_CODE)
    starts_at, ends_at = seconds / 4, seconds * 3 / 4
    faults = (
        (Fault(trouble, starts_at, ends_at, share, strength),)
        if trouble
        else ()
    )
    report = simulate(Scenario(model, seconds, load, seed, faults))
    output = (
        msgspec.json.encode(report).decode()
        if as_json
        else format_table(report)
    )
    typer.echo(output)
    if plot is None:
        return
    try:
        save_plot(report, plot)
    except (PlotError, OSError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
