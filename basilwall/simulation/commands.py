"""The command line of the simulation."""

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
        FaultKind | None, typer.Option(help='What befalls searchers.')
    ] = None,
    share: Annotated[float, typer.Option(help='Share that is struck.')] = 0.15,
    strength: Annotated[
        float, typer.Option(help='Factor for slow ones, else a part.')
    ] = 1,
    load: Annotated[float, typer.Option(help='Times the usual rate.')] = 1,
    seconds: Annotated[float, typer.Option(help='Length of the run.')] = 10,
    seed: Annotated[int, typer.Option(help='Decides all that is drawn.')] = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
    plot: Annotated[Path | None, typer.Option(help='File to draw to.')] = None,
) -> None:
    """Play a deployment in virtual time; trouble comes in its middle half."""
    shape = MODELS_BY_NAME.get(deployment)
    if shape is None:
        typer.echo(f'no deployment {deployment!r}', err=True)
        raise typer.Exit(USAGE_ERROR_EXIT_CODE)
    begins, ends = seconds / 4, seconds * 3 / 4
    troubles = (
        (Fault(trouble, begins, ends, share, strength),) if trouble else ()
    )
    report = simulate(Scenario(shape, seconds, load, seed, troubles))
    shown = (
        msgspec.json.encode(report).decode()
        if as_json
        else format_table(report)
    )
    typer.echo(shown)
    if plot is None:
        return
    try:
        save_plot(report, plot)
    except (PlotError, OSError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
