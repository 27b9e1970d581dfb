"""Datagrams between daemons: a keyed digest followed by a thrift envelope.

The thrift codec does not validate the lengths that it reads. The digest is therefore checked
first, so that only datagrams from holders of the key are decoded.
"""

from __future__ import annotations

import hashlib
import hmac

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.generated.messages import Envelope

__all__ = ["decode_envelope", "encode_envelope", "peer_token"]

DIGEST_BYTES = 16

_PROTOCOL_FACTORY = TCyBinaryProtocolFactory()


def _compute_digest(key: bytes, payload: bytes) -> bytes:
    """Returns the keyed digest of a payload."""
    return hashlib.blake2s(payload, key=key, digest_size=DIGEST_BYTES).digest()


def encode_envelope(envelope: Envelope, key: bytes) -> bytes:
    """Returns an envelope as a datagram signed with the key."""
    payload: bytes = serialize(envelope, _PROTOCOL_FACTORY)
    return _compute_digest(key, payload) + payload


def decode_envelope(datagram: bytes, key: bytes) -> Envelope:
    """Returns the envelope in a datagram; raises ValueError if its digest does not match."""
    digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if not payload or not hmac.compare_digest(digest, _compute_digest(key, payload)):
        raise ValueError("datagram is not authentic: digest does not match")
    envelope: Envelope = deserialize(Envelope(), payload, _PROTOCOL_FACTORY)
    return envelope


def peer_token(key: bytes, address: str) -> str:
    """Returns the token that authenticates HTTP calls of peers to the daemon at an address."""
    return _compute_digest(key, f"peer:{address}".encode()).hex()
