"""The command line of the simulation."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from basilwall.load.table import PlotError
from basilwall.simulation.callers import simulate
from basilwall.simulation.report import save_plot, table
from basilwall.simulation.shapes import (
    SHAPES_BY_NAME,
    Scenario,
    Trouble,
    TroubleKind,
)

WRONG_USE = 2


def simulate_command(
    deployment: Annotated[
        str, typer.Option(help='qasr-al-jamr, transandina, or -grown.')
    ] = 'qasr-al-jamr',
    trouble: Annotated[
        TroubleKind | None, typer.Option(help='What befalls searchers.')
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
    shape = SHAPES_BY_NAME.get(deployment)
    if shape is None:
        typer.echo(f'no deployment {deployment!r}', err=True)
        raise typer.Exit(WRONG_USE)
    begins, ends = seconds / 4, seconds * 3 / 4
    troubles = (
        (Trouble(trouble, begins, ends, share, strength),) if trouble else ()
    )
    report = simulate(Scenario(shape, seconds, load, seed, troubles))
    shown = msgspec.json.encode(report).decode() if as_json else table(report)
    typer.echo(shown)
    if plot is None:
        return
    try:
        save_plot(report, plot)
    except (PlotError, OSError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
