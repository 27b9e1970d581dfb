"""What is compared: the product's choice of an endpoint, and simple ones."""

from __future__ import annotations

from collections.abc import Callable

from experiments.model import Chooser, Daemon, World
from lycheepin.errors import ErrorKind
from lycheepin.steering.dispatch import AttemptRequirements, Choice, Refusal, SelectedEndpoint
from lycheepin.steering.fleet import Endpoint
from lycheepin.steering.placement import Placement
from lycheepin.steering.routes import ServiceSpec

__all__ = ["POLICIES"]

# Time in seconds after which a caller may come back when no endpoint is left.
RETRY_AFTER_S = 0.5


def _untried(endpoints: list[Endpoint], demand: AttemptRequirements) -> list[Endpoint]:
    """Returns the endpoints that a request has not been sent to."""
    return [endpoint for endpoint in endpoints if endpoint.record.id not in demand.tried]


def _send(endpoints: list[Endpoint], rank: int = 0) -> Choice:
    """Sends to the first endpoint, if there is one."""
    if not endpoints:
        return Refusal(ErrorKind.NO_CAPACITY, RETRY_AFTER_S)
    return SelectedEndpoint(endpoints[0], rank)


def choose_randomly(world: World, daemon: Daemon) -> Chooser:
    """Returns a choice of any endpoint."""

    def choose(demand: AttemptRequirements, spec: ServiceSpec, now_s: float) -> Choice:
        left = _untried(daemon.fleet.endpoints(demand.service), demand)
        world.random.shuffle(left)
        return _send(left)

    return choose


def choose_nearest(world: World, daemon: Daemon) -> Chooser:
    """Returns a choice of the least loaded endpoint of the daemon's region."""

    def choose(demand: AttemptRequirements, spec: ServiceSpec, now_s: float) -> Choice:
        left = _untried(daemon.fleet.endpoints(demand.service), demand)
        left.sort(key=lambda e: (e.record.region != daemon.region, e.load(now_s)))
        return _send(left)

    return choose


def choose_by_hash(world: World, daemon: Daemon) -> Chooser:
    """Returns a choice of the object's first endpoint, however full it is."""
    placement = Placement(daemon.fleet, daemon.region)

    def choose(demand: AttemptRequirements, spec: ServiceSpec, now_s: float) -> Choice:
        return _send(_untried(placement.order_endpoints(demand.service, demand.object_key), demand))

    return choose


def choose_as_product(world: World, daemon: Daemon) -> Chooser:
    """Returns the product's own choice."""
    return daemon.dispatcher.choose_endpoint


POLICIES: dict[str, Callable[[World, Daemon], Chooser]] = {
    "random": choose_randomly,
    "nearest, least loaded": choose_nearest,
    "hash without bound": choose_by_hash,
    "lycheepin": choose_as_product,
}
