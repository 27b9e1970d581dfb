"""Runs a gateway on the users' platform: its HTTP calls, its settings file, its store."""

from __future__ import annotations

import json
import os
from collections.abc import Coroutine, Mapping
from typing import Any
from urllib.parse import parse_qs

from lycheepin.gateway.call_listeners import Purpose
from lycheepin.gateway.file_watch import watch_file
from lycheepin.gateway.following import StoreSynchronizer
from lycheepin.gateway.own_entries import DAEMON_PREFIX, encode_daemon, encode_suspicion
from lycheepin.gateway.process import LOOKUP_LIFETIME_S, Gateway, run_gateway
from lycheepin.gateway.registration import Registration
from lycheepin.gateway.storage import Lease
from lycheepin.gateway.suspicion_writer import SuspicionWriter
from lycheepin.names import RegionName, ZoneName
from lycheepin.platform.entries import HEADER_NAMES
from lycheepin.platform.metadata import MetadataStore
from lycheepin.platform.reader import PlatformReader
from lycheepin.platform.settings import SETTINGS_VARIABLE, SettingsError, load_settings
from lycheepin.transport.calls import HttpClient
from lycheepin.transport.incoming import IncomingRequest

__all__ = ["KvPlatform", "main"]

CALL_PATHS = {
    "/api/ready": Purpose.READY,
    "/api/resolve": Purpose.DIRECTORY,
    "/metrics": Purpose.METRICS,
}
EXIT_BAD_SETTINGS = 2

_JSON = [(b"Content-Type", b"application/json")]
_TEXT = [(b"Content-Type", b"text/plain; version=0.0.4")]


class KvPlatform:
    """The users' platform, as the interface that a gateway needs."""

    header_names = HEADER_NAMES
    call_paths: Mapping[str, Purpose] = CALL_PATHS

    def __init__(self, settings_path: str) -> None:
        self._settings_path = settings_path
        self._registration: Registration | None = None
        self._reader: PlatformReader | None = None
        self._store: MetadataStore | None = None

    def create_tasks(self, gateway: Gateway) -> list[Coroutine[Any, Any, None]]:
        """Returns the tasks that follow the store, keep this daemon's entry and watch settings."""
        settings = gateway.settings
        http_client = HttpClient(settings.host, gateway.holdings.machine.call_bytes)
        store = self._store = MetadataStore(http_client, settings.store, settings.min_lease_s)
        reader = self._reader = PlatformReader(gateway.state, settings.zones)
        synchronizer = StoreSynchronizer(store, reader, http_client, gateway.replica, gateway)
        record = gateway.record
        key = DAEMON_PREFIX + record.name

        def encode_entry(lease: Lease) -> bytes:
            return encode_daemon(record, lease.era)

        self._registration = Registration(store, gateway.replica, key, encode_entry, record.name)
        gateway.state.on_daemon_removed = self._registration.observe_removal
        suspicions = SuspicionWriter(store, encode_suspicion, record.name)
        gateway.suspicions.publisher = suspicions
        gateway.state.on_suspicion_removed = suspicions.restore
        gateway.state.on_suspicions_listed = suspicions.restore_missing
        return [
            synchronizer.follow_store(),
            synchronizer.run_entry_expiry(),
            self._registration.maintain_entry(),
            suspicions.run(),
            watch_file(self._settings_path, lambda: self.reload_settings(gateway)),
        ]

    async def deregister(self) -> None:
        """Removes this daemon's entry, so that directories stop listing it."""
        if self._registration is not None:
            await self._registration.withdraw()

    def reload_settings(self, gateway: Gateway) -> None:
        """Reads the settings file again; an invalid file is logged and changes nothing."""
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as error:
            gateway.log.write("settings_refused", reason=str(error))
            return
        gateway.apply_settings(settings)
        if self._store is not None and self._reader is not None:
            self._store.address = settings.store
            self._reader.change_zones(settings.zones, gateway.replica.items)

    def answer_call(self, gateway: Gateway, request: IncomingRequest) -> None:
        """Answers a readiness check, a directory look-up or a request for metrics."""
        match CALL_PATHS[request.path]:
            case Purpose.READY:
                request.respond(200 if gateway.ready else 503, [], b"")
            case Purpose.DIRECTORY:
                self._answer_directory(gateway, request)
            case Purpose.METRICS:
                text = gateway.metrics.to_prometheus(gateway.collect_gauges())
                request.respond(200, list(_TEXT), text.encode())

    @staticmethod
    def _answer_directory(gateway: Gateway, request: IncomingRequest) -> None:
        """Answers with the addresses that a caller should connect to; 503 when there are none."""
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        zone = ZoneName((query.get("zone") or [""])[0])
        region = RegionName((query.get("region") or [""])[0])
        addresses = gateway.find_addresses(zone, region)
        if not addresses:
            request.respond(503, [], b"")
            return
        lifetime_s = min(LOOKUP_LIFETIME_S, gateway.settings.lookup_max_s)
        body = {"addresses": addresses, "ttlS": lifetime_s}
        request.respond(200, list(_JSON), json.dumps(body).encode())


def main() -> int:
    """Runs a gateway with the settings file that the platform names; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "/etc/lycheepin/settings.toml")
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(json.dumps({"event": "settings_refused", "reason": str(error)}), flush=True)
        return EXIT_BAD_SETTINGS
    run_gateway(settings, KvPlatform(path))
    return 0
