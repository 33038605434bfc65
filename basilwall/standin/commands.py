"""Commands that run stand-ins in separate processes."""

import threading
from typing import Annotated

import typer

from basilwall.parts.stop_signals import set_on_stop_signals
from basilwall.standin.deployment import (
    HOST,
    SHAPES_BY_DEPLOYMENT,
    make_searchers,
    make_snapshot,
    published_values,
)
from basilwall.standin.platform import PlatformStandIn
from basilwall.standin.searcher import SearcherStandIn, serve_searchers

standin_app = typer.Typer(no_args_is_help=True)

Deployment = Annotated[str, typer.Option(help='qasr-al-jamr or transandina.')]
FirstPort = Annotated[int, typer.Option(help='Port of the first searcher.')]


@standin_app.command()
def platform(
    listen: Annotated[str, typer.Option(help='host:port')],
    deployment: Deployment = 'qasr-al-jamr',
    first_port: FirstPort = 21_000,
    vm: Annotated[
        list[str] | None,
        typer.Option(help='Peer address of one VM; may be repeated.'),
    ] = None,
) -> None:
    """Publish a deployment and serve its values until SIGTERM."""
    stand_in = PlatformStandIn(listen)
    shapes = SHAPES_BY_DEPLOYMENT[deployment]
    for key, body in published_values(shapes, first_port, vm or []).items():
        stand_in.publish(key, body)
    stand_in.start()
    _make_stop_event().wait()
    stand_in.stop()


@standin_app.command()
def searchers(
    deployment: Deployment = 'qasr-al-jamr',
    first_port: FirstPort = 21_000,
    service_ms: Annotated[
        float, typer.Option(help='Service time of a request, in ms.')
    ] = 5,
    share: Annotated[
        int, typer.Option(help='Serve every SHARE-th searcher.')
    ] = 1,
    place: Annotated[
        int, typer.Option(help='Index of the first searcher to serve.')
    ] = 0,
) -> None:
    """Serve the searchers of a deployment until SIGTERM."""
    stand_ins: list[SearcherStandIn] = []
    port = first_port
    for shape in SHAPES_BY_DEPLOYMENT[deployment]:
        snapshot = make_snapshot(shape, port, 's1')
        port += shape.instances * shape.searchers
        stand_ins.extend(make_searchers(shape, snapshot, service_ms))
    typer.echo(f'serving searchers from {HOST}:{first_port} upwards')
    serve_searchers(stand_ins[place::share], _make_stop_event())


def _make_stop_event() -> threading.Event:
    stop_requested = threading.Event()
    set_on_stop_signals(stop_requested)
    return stop_requested
