"""Datagrams between daemons: a keyed digest, then a thrift envelope.

The codec trusts the lengths it reads, so nothing reaches it that was not sent by a holder of the
key: the digest is checked first.
"""

from __future__ import annotations

import hashlib
import hmac

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.generated.messages import Envelope

__all__ = ["decode_envelope", "encode_envelope", "peer_token"]

DIGEST_BYTES = 16

_FACTORY = TCyBinaryProtocolFactory()


def _digest(key: bytes, payload: bytes) -> bytes:
    """Returns the keyed digest of a payload."""
    return hashlib.blake2s(payload, key=key, digest_size=DIGEST_BYTES).digest()


def encode_envelope(envelope: Envelope, key: bytes) -> bytes:
    """Returns the datagram of an envelope."""
    payload: bytes = serialize(envelope, _FACTORY)
    return _digest(key, payload) + payload


def decode_envelope(datagram: bytes, key: bytes) -> Envelope:
    """Returns the envelope of a datagram; raises ValueError when it is not authentic."""
    digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if not payload or not hmac.compare_digest(digest, _digest(key, payload)):
        raise ValueError("datagram is not authentic")
    envelope: Envelope = deserialize(Envelope(), payload, _FACTORY)
    return envelope


def peer_token(key: bytes, address: str) -> str:
    """Returns the secret by which a daemon's HTTP calls to its peers are known."""
    return _digest(key, f"peer:{address}".encode()).hex()
