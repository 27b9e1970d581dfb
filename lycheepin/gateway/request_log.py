"""Log lines about the requests of callers: attempts, refusals and what decided them."""

from __future__ import annotations

import asyncio
from math import isfinite

from lycheepin.errors import ErrorKind, Fault
from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.dialect import HeaderNames
from lycheepin.steering.choices import Refusal, SelectedEndpoint, WeighedEndpoint
from lycheepin.steering.endpoint import Endpoint
from lycheepin.steering.progress import (
    AttemptResult,
    EndpointChange,
    OutcomeUnknown,
    RequestProgress,
    Served,
)
from lycheepin.steering.rate_limits import RateLimits
from lycheepin.steering.suspects import Quarantined
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["RequestLog"]

MS_PER_S = 1000


class RequestLog:
    """Writes the lines about requests of one daemon."""

    def __init__(
        self, log: DecisionLog, header_names: HeaderNames, rate_limits: RateLimits
    ) -> None:
        self._log = log
        self._header_names = header_names
        self._rate_limits = rate_limits

    def write_attempt(
        self,
        request: IncomingRequest,
        progress: RequestProgress,
        choice: SelectedEndpoint,
        started_s: float,
        slowness: float,
        result: AttemptResult,
    ) -> None:
        """Logs an attempt that began at `started_s`, and how it may have run if that is unknown.

        `slowness` is the factor by which work was then expected to take longer at the endpoint.
        """
        endpoint = choice.endpoint
        self._log.write(
            "attempt",
            request=progress.identifier,
            route=progress.route.name,
            endpoint=endpoint.record.id,
            rank=choice.rank,
            in_flight=endpoint.in_flight,
            others=round(endpoint.other_requests(started_s), 1),
            slots=endpoint.record.slots,
            slowness=round(slowness, 2),
            limit_per_s=self._rate_limits.find_limit(endpoint.record.id),
            key=(request.header(self._header_names.object_key) or b"").decode("latin-1"),
            took_ms=int((self._now_s() - started_s) * MS_PER_S),
            outcome=str(result.status) if isinstance(result, Served) else result.kind.value,
        )
        if isinstance(result, OutcomeUnknown):
            self._log.write(
                "outcome_unknown",
                request=progress.identifier,
                endpoint=endpoint.record.id,
                kind=result.kind.value,
                detail=result.detail,
                **_describe_repeatable(request, progress),
            )

    def write_hedge(
        self,
        progress: RequestProgress,
        first: SelectedEndpoint,
        second: SelectedEndpoint,
        started_s: float,
        delay_s: float,
    ) -> None:
        """Logs that a second endpoint is asked, and the delay after which that was allowed."""
        self._log.write(
            "hedge",
            request=progress.identifier,
            route=progress.route.name,
            first=first.endpoint.record.id,
            second=second.endpoint.record.id,
            waited_ms=int((self._now_s() - started_s) * MS_PER_S),
            allowed_after_ms=int(delay_s * MS_PER_S),
        )

    def write_hedge_end(
        self,
        progress: RequestProgress,
        winner: SelectedEndpoint,
        loser: SelectedEndpoint,
        waited_s: float,
    ) -> None:
        """Logs which of two endpoints answered first, and how long the other one had worked."""
        self._log.write(
            "hedge_end",
            request=progress.identifier,
            winner=winner.endpoint.record.id,
            loser=loser.endpoint.record.id,
            loser_waited_ms=int(waited_s * MS_PER_S),
        )

    def write_endpoint_change(self, change: EndpointChange, endpoint: Endpoint) -> None:
        """Logs that an attempt found its endpoint replaced, or led to its exclusion."""
        if change.replaced:
            self._log.write("endpoint_replaced", endpoint=endpoint.record.id)
        if change.excluded:
            self._log.write(
                "endpoint_excluded",
                endpoint=endpoint.record.id,
                failures=endpoint.failures,
                for_s=endpoint.exclusion_s,
            )

    def write_not_placed(self, progress: RequestProgress, refusal: Refusal) -> None:
        """Logs what decided that no endpoint gets the next attempt of a request."""
        waited_s = self._now_s() - progress.arrival_s + progress.waited_s
        self._log.write(
            "not_placed",
            request=progress.identifier,
            route=progress.route.name,
            service=progress.service,
            kind=refusal.kind.value,
            caller_retry=progress.waited_s > 0.0,
            target_left_ms=int((progress.route.target_s - waited_s) * MS_PER_S),
            weighed=[_describe_weighed(endpoint) for endpoint in refusal.weighed],
            **_describe_rule(progress, refusal),
        )

    def write_quarantine(
        self, request: IncomingRequest, progress: RequestProgress, quarantined: Quarantined
    ) -> None:
        """Logs that a request is not sent since endpoints crashed under it."""
        self._log.write(
            "request_quarantined",
            request=progress.identifier,
            crashes=quarantined.crashes,
            **_describe_repeatable(request, progress),
        )

    def write_refusal(
        self, identifier: str, kind: ErrorKind, retry_after_s: float | None, version: int | None
    ) -> None:
        """Logs a refused request and the version of the configuration in force, None without."""
        self._log.write(
            "refused",
            request=identifier,
            status=Fault(kind).answer.status,
            kind=kind.value,
            retry_after_s=retry_after_s,
            version=version,
        )

    def write_no_route(self, request: IncomingRequest, identifier: str, version: int) -> None:
        """Logs that no route of a version of the configuration matches a request."""
        self._log.write("no_route", request=identifier, host=request.host, version=version)

    def write_caller_left(self, request: IncomingRequest, progress: RequestProgress) -> None:
        """Logs that a caller disconnected before it was answered."""
        self._log.write(
            "caller_left",
            request=progress.identifier,
            route=progress.route.name,
            waited_ms=int((self._now_s() - request.arrival_s) * MS_PER_S),
            sent=progress.sent,
        )

    def write_cut_answer(self, progress: RequestProgress, error: Exception) -> None:
        """Logs that an answer broke off after a part of it had been sent."""
        self._log.write("answer_cut", request=progress.identifier, reason=repr(error))

    @staticmethod
    def _now_s() -> float:
        """Returns the event loop's time, in seconds."""
        return asyncio.get_running_loop().time()


def _describe_repeatable(request: IncomingRequest, progress: RequestProgress) -> dict[str, str]:
    """Returns the fields by which the repetitions of a request can be found."""
    return {
        "caller": request.caller_host,
        "target": request.target.decode("latin-1"),
        "fingerprint": progress.fingerprint,
    }


def _describe_rule(progress: RequestProgress, refusal: Refusal) -> dict[str, object]:
    """Returns the fields that tell which rule decided, and by which claim, where one did."""
    rule, claim = refusal.rule, refusal.claim
    if rule is None or claim is None:
        return {}
    fields: dict[str, object] = {"rule": rule.value}
    if progress.workspace is not None:
        fields["workspace"] = progress.workspace.name
    if claim.rule is not None:
        fields |= {"priority": progress.priority, "kept": round(claim.kept, 2)}
    if isfinite(claim.share):
        fields |= {"used": claim.used, "share": round(claim.share, 1)}
    return fields


def _describe_weighed(endpoint: WeighedEndpoint) -> str:
    """Returns a preferred endpoint with its load and expected answer time, for a log line."""
    age_s = endpoint.report_age_s
    age = "never" if age_s is None else f"{age_s:.1f}s"
    return (
        f"{endpoint.id} slots={endpoint.slots} in_flight={endpoint.in_flight}"
        f" others={endpoint.other_requests:.1f}@{age}"
        f" answer_ms={int(endpoint.answer_s * MS_PER_S)}"
    )
