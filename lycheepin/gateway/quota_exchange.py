"""Quotas of workspaces at a gateway: admission of requests, and the exchange of tokens over UDP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from lycheepin.gateway.decisions import DecisionLog
from lycheepin.gateway.directory import Directory
from lycheepin.gateway.quota_messages import (
    decode_message,
    derive_key,
    encode_ask,
    encode_grant,
)
from lycheepin.gateway.settings import GatewaySettings
from lycheepin.metrics import Metrics
from lycheepin.names import Address, DaemonName
from lycheepin.steering.progress import RequestProgress
from lycheepin.steering.quota_shares import QuotaShares
from lycheepin.steering.quotas import Ask, Grant, QuotaLedger, QuotaRefusal
from lycheepin.steering.routes import RoutingTable

__all__ = ["QuotaExchange", "read_clock_s"]

# Interval in seconds between two rounds of asks, and the shortest one while tokens run low.
ROUND_INTERVAL_S = 0.2
URGENT_INTERVAL_S = 0.08
# Time in seconds after which a port that is in use is tried again.
PORT_RETRY_S = 2.0
# Age in seconds of the state of the store from which the others may have divided this daemon's
# share, unless it hears from most of them, and from which daemons tell that they run.
STALE_S = 20.0
GREETING_AGE_S = 5.0
GREETING_INTERVAL_S = 2.0
# Time in seconds for which a daemon counts as running after its last datagram.
HEARD_S = 6.0


class QuotaExchange(asyncio.DatagramProtocol):
    """Spends the tokens of workspaces at this daemon, and exchanges them with the others.

    `find_state_age` returns how old this daemon's state of the store is, in seconds. No request
    waits for the exchange, and none fails with it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        directory: Directory,
        find_state_age: Callable[[], float],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._find_state_age = find_state_age
        self._log = log
        self._metrics = metrics
        self._key = derive_key(str(settings.store))
        self._transport: asyncio.DatagramTransport | None = None
        self._wake = asyncio.Event()
        self._names_by_host: dict[Address, DaemonName] = {}
        self._directory_change = -1
        self._heard_s: dict[DaemonName, float] = {}
        self._greeted_s = 0.0
        shares = QuotaShares(
            settings.name,
            lambda: directory.carriers,
            read_clock_s(),
            lambda name: directory.find(name) is not None,
        )
        self.ledger = QuotaLedger(shares, settings.quota_terms, read_clock_s(), self._rank_peer)

    # Requests

    def apply_configuration(self, table: RoutingTable) -> None:
        """Applies the limits of the workspaces of a configuration."""
        workspaces = table.workspaces.by_name.values() if table.workspaces is not None else ()
        self.ledger.apply_workspaces(workspaces, read_clock_s())
        if self.ledger.has_limits:
            self._wake.set()

    def admit(self, progress: RequestProgress) -> float | None:
        """Spends a token for a request; returns the Retry-After in seconds if there is none."""
        workspace = progress.workspace
        if workspace is None or workspace.rate_per_s <= 0.0:
            return None
        result = self.ledger.try_spend(workspace.name, read_clock_s())
        if self.ledger.is_urgent:
            self._wake.set()
        if not isinstance(result, QuotaRefusal):
            progress.spend = result
            return None
        self._metrics.count("quota_refusals")
        self._log.write(
            "quota_spent",
            request=progress.identifier,
            workspace=result.workspace,
            tokens=round(result.tokens, 3),
            share_per_s=round(result.share_per_s, 3),
            demand_per_s=round(result.demand_per_s, 1),
            limit_per_s=workspace.rate_per_s,
            last_loan=round(result.last_loan, 3),
            loan_age_s=None if result.loan_age_s is None else round(result.loan_age_s, 2),
        )
        return result.retry_after_s

    def admit_again(self, progress: RequestProgress) -> bool:
        """Spends another token for a request that may have run; returns whether there is one.

        One that runs at an endpoint, while a second one is to get it, may have run.
        """
        if progress.spend is None or not (progress.may_have_run or progress.running):
            return True
        result = self.ledger.try_spend(progress.spend.workspace, read_clock_s())
        return not isinstance(result, QuotaRefusal)

    def settle(self, progress: RequestProgress) -> None:
        """Gives the token of a request back if the request has certainly not run."""
        spend, progress.spend = progress.spend, None
        if spend is not None:
            self.ledger.settle(spend, progress.may_have_run, read_clock_s())
            self._metrics.count("quota_refunds", amount=not progress.may_have_run)

    def collect_gauges(self) -> dict[str, float]:
        """Returns the current values of the gauges, by metric name."""
        return {"quota_workspaces": float(self.ledger.bucket_count)}

    # Exchange

    async def run(self) -> None:
        """Asks for tokens until cancelled; does nothing while no workspace has a limit."""
        while True:
            await self._wake.wait()
            try:
                await self._open()
                self.send_due_messages()
            except Exception as error:  # requests go on with the tokens that are here
                self._log.write("fault", error=repr(error))
            await asyncio.sleep(URGENT_INTERVAL_S if self._transport else PORT_RETRY_S)
            await self._wait_for_round()

    def send_due_messages(self) -> None:
        """Sends a round of asks."""
        now_s = read_clock_s()
        self._update_names()
        self.ledger.is_in_touch = self._is_in_touch(now_s)
        for ask in self.ledger.plan_asks(now_s):
            self._send(ask.lender, encode_ask(ask, self._key))
        state_age_s = self._find_state_age()
        if state_age_s > GREETING_AGE_S and now_s >= self._greeted_s + GREETING_INTERVAL_S:
            self._greeted_s = now_s
            for name in self._directory.carriers:
                if name != self._settings.name:
                    self._send(name, encode_ask(Ask(0, name, ()), self._key))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: Any) -> None:
        """Called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Called by asyncio; counts and drops what is malformed or no daemon's."""
        try:
            self._handle_datagram(data, Address(addr[0]), addr[1])
        except ValueError:
            self._metrics.count("quota_datagrams_refused")
        except Exception as error:  # one message must not end the exchange
            self._log.write("fault", error=repr(error))

    def error_received(self, exc: Exception) -> None:
        """Called by asyncio when a port is closed; what was sent is lost, as on the way."""

    def _handle_datagram(self, data: bytes, host: Address, port: int) -> None:
        """Handles a message of another daemon; raises ValueError if it is none."""
        self._update_names()
        peer = self._names_by_host.get(host)
        if peer is None or port != self._settings.exchange_port:
            raise ValueError("unknown sender")
        message = decode_message(data, self._key, self._settings.name)
        now_s = read_clock_s()
        self._heard_s[peer] = now_s
        match message:
            case Ask():
                grant = self.ledger.answer_ask(peer, message, now_s)
                if grant.tokens:
                    self._metrics.count("quota_loans_given", amount=len(grant.tokens))
                    self._send(peer, encode_grant(grant, self._key))
            case Grant():
                accepted = self.ledger.accept_grant(peer, message, now_s)
                self._metrics.count("quota_loans_taken", amount=accepted > 0.0)

    async def _open(self) -> None:
        """Opens the socket unless it is open; logs when the port is in use."""
        settings = self._settings
        if self._transport is not None and not self._transport.is_closing():
            return
        self._transport = None
        if not settings.exchange_port:
            return
        address = (settings.host, settings.exchange_port)
        try:
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        except OSError as error:
            self._log.write("quota_port", port=settings.exchange_port, error=repr(error))

    async def _wait_for_round(self) -> None:
        """Waits until the next round is due, or tokens run low."""
        self._wake.clear()
        if not self.ledger.has_limits:
            return
        if not self.ledger.is_urgent:
            try:
                async with asyncio.timeout(ROUND_INTERVAL_S - URGENT_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass  # nothing ran low
        self._wake.set()

    def _is_in_touch(self, now_s: float) -> bool:
        """Returns whether no other daemon can have divided this daemon's share meanwhile."""
        carriers = self._directory.carriers
        self._heard_s = {n: at_s for n, at_s in self._heard_s.items() if now_s < at_s + HEARD_S}
        running = sum(name in self._heard_s or name == self._settings.name for name in carriers)
        return self._find_state_age() < STALE_S or 2 * running > len(carriers)

    def _update_names(self) -> None:
        """Applies changes of the directory to the hosts from which datagrams are accepted."""
        if self._directory_change != self._directory.change_count:
            self._directory_change = self._directory.change_count
            peers = self._directory.list_peers(self._settings.name)
            self._names_by_host = {peer.control.host: peer.name for peer in peers}

    def _rank_peer(self, name: DaemonName) -> int:
        """Returns how far a daemon is: 0 in the same zone, 1 in the region, 2 elsewhere."""
        record = self._directory.find(name)
        if record is None or record.region != self._settings.region:
            return 2
        return int(record.zone != self._settings.zone)

    def _send(self, name: DaemonName, datagram: bytes) -> None:
        """Sends a datagram to a daemon, if its address is known."""
        record = self._directory.find(name)
        if record is None or self._transport is None or self._transport.is_closing():
            return
        self._metrics.count("quota_datagrams_sent")
        self._metrics.count("quota_bytes_sent", amount=len(datagram))
        self._transport.sendto(datagram, (record.control.host, self._settings.exchange_port))


def read_clock_s() -> float:
    """Returns the seconds since the machine started, with those for which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
