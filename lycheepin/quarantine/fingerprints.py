"""Fingerprints, by which all daemons know a request that comes again."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from lycheepin.names import WorkspaceName
from lycheepin.steering.suspects import Fingerprint
from lycheepin.transport.incoming import MAX_BUFFERED_BODY_BYTES, IncomingRequest

__all__ = ["fingerprint_request"]

DIGEST_BYTES = 12


def fingerprint_request(
    request: IncomingRequest,
    body: bytes,
    identifying: Iterable[bytes],
    workspace: WorkspaceName | None = None,
) -> Fingerprint:
    """Returns the fingerprint of a request, from what is the same each time it comes.

    `body` is the whole body, or more than MAX_BUFFERED_BODY_BYTES of it; of a longer one only that
    part and the length count. `identifying` has the lower-case names of further headers that count.
    The network address does not: a caller may have several. With a `workspace` its name counts in
    place of the key, as a workspace may have several keys.
    """
    parts = [request.method, request.host.encode("latin-1"), request.target]
    credentials = workspace.encode() if workspace else request.header(b"authorization") or b""
    parts += [credentials, *(request.header(name) or b"" for name in (b"cookie", *identifying))]
    if len(body) > MAX_BUFFERED_BODY_BYTES:
        parts.append(request.header(b"content-length") or b"")
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part) + part)
    digest.update(body[:MAX_BUFFERED_BODY_BYTES])
    return Fingerprint(digest.hexdigest())
