"""Commands that run stand-ins as processes of their own."""

import signal
import threading
from typing import Annotated

import typer

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
    vm: Annotated[list[str] | None, typer.Option(help='Peer address.')] = None,
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
    service_ms: Annotated[float, typer.Option(help='Work a request.')] = 5,
    share: Annotated[int, typer.Option(help='Serve each SHARE-th one.')] = 1,
    place: Annotated[int, typer.Option(help='From this one on.')] = 0,
) -> None:
    """Serve the searchers of a deployment until SIGTERM."""
    every: list[SearcherStandIn] = []
    port = first_port
    for shape in SHAPES_BY_DEPLOYMENT[deployment]:
        snapshot = make_snapshot(shape, port, 's1')
        port += shape.instances * shape.searchers
        every.extend(make_searchers(shape, snapshot, service_ms))
    typer.echo(f'{HOST}:{first_port} and on')
    serve_searchers(every[place::share], _make_stop_event())


def _make_stop_event() -> threading.Event:
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    return stopping
