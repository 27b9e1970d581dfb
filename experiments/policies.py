"""The compared policies: lycheepin's own choice of an endpoint, and simple ones as reference."""

from __future__ import annotations

from collections.abc import Callable

from experiments.model import Chooser, Daemon, Simulation
from lycheepin.errors import ErrorKind
from lycheepin.steering.choices import AttemptRequirements, Choice, Refusal, SelectedEndpoint
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.placement import Placement
from lycheepin.steering.routes import ServiceSpec

__all__ = ["POLICIES"]

# Time in seconds after which a caller is asked to retry when no endpoint is left.
RETRY_AFTER_S = 0.5


def _exclude_tried(endpoints: list[Endpoint], requirements: AttemptRequirements) -> list[Endpoint]:
    """Returns the endpoints that the request has not been sent to."""
    return [endpoint for endpoint in endpoints if endpoint.record.id not in requirements.tried]


def _select_first(endpoints: list[Endpoint], rank: int = 0) -> Choice:
    """Returns the first endpoint, or a refusal if there is none."""
    if not endpoints:
        return Refusal(ErrorKind.NO_CAPACITY, RETRY_AFTER_S)
    return SelectedEndpoint(endpoints[0], rank)


def create_random_chooser(simulation: Simulation, daemon: Daemon) -> Chooser:
    """Returns a chooser that selects any endpoint with equal probability."""

    def select_endpoint(
        requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        candidates = _exclude_tried(daemon.registry.endpoints(requirements.service), requirements)
        simulation.random.shuffle(candidates)
        return _select_first(candidates)

    return select_endpoint


def create_nearest_chooser(simulation: Simulation, daemon: Daemon) -> Chooser:
    """Returns a chooser that selects the least loaded endpoint, in the daemon's region first."""

    def select_endpoint(
        requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        candidates = _exclude_tried(daemon.registry.endpoints(requirements.service), requirements)
        candidates.sort(key=lambda e: (e.record.region != daemon.region, e.load(now_s)))
        return _select_first(candidates)

    return select_endpoint


def create_hash_chooser(simulation: Simulation, daemon: Daemon) -> Chooser:
    """Returns a chooser that selects the object's first endpoint by hash, whatever its load."""
    placement = Placement(daemon.registry, daemon.region)

    def select_endpoint(
        requirements: AttemptRequirements, spec: ServiceSpec, now_s: float
    ) -> Choice:
        return _select_first(
            _exclude_tried(
                placement.order_endpoints(requirements.service, requirements.object_key),
                requirements,
            )
        )

    return select_endpoint


def get_dispatcher_chooser(simulation: Simulation, daemon: Daemon) -> Chooser:
    """Returns the chooser of lycheepin's dispatcher."""
    return daemon.dispatcher.choose_endpoint


POLICIES: dict[str, Callable[[Simulation, Daemon], Chooser]] = {
    "random": create_random_chooser,
    "nearest, least loaded": create_nearest_chooser,
    "hash without bound": create_hash_chooser,
    "lycheepin": get_dispatcher_chooser,
}
