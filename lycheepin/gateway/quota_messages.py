"""Datagrams in which daemons lend each other tokens of quotas.

A datagram is a digest, keyed with the deployment, and a thrift message. The codec does not check
the lengths that it reads, so the digest is compared first.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from lycheepin.generated.messages import QuotaLoan, QuotaMessage, QuotaReturn, QuotaWant
from lycheepin.names import DaemonName
from lycheepin.steering.quota_bucket import Need
from lycheepin.steering.quotas import MAX_AMOUNT, Ask, Grant, Return, Want

__all__ = ["MAX_DATAGRAM_BYTES", "decode_message", "derive_key", "encode_ask", "encode_grant"]

# Largest datagram; an ask with the most wants and returns is smaller.
MAX_DATAGRAM_BYTES = 4096
DIGEST_BYTES = 8
PARTS_PER_TOKEN = 1000

_PROTOCOL_FACTORY = TCyBinaryProtocolFactory()


def derive_key(store: str) -> bytes:
    """Returns the key of a deployment, which the address of its store names."""
    return hashlib.blake2s(store.encode()).digest()


def encode_ask(ask: Ask, key: bytes) -> bytes:
    """Returns an ask as a datagram."""
    wants = [
        QuotaWant(want.number, _to_parts(want.tokens), _to_parts(want.demand_per_s), want.need)
        for want in ask.wants
    ]
    returns = [QuotaReturn(r.ask, r.number, _to_parts(r.unspent)) for r in ask.returns]
    return _encode(ask.number, wants, returns, [], key)


def encode_grant(grant: Grant, key: bytes) -> bytes:
    """Returns a grant as a datagram; its tokens are rounded down."""
    loans = [QuotaLoan(number, _to_parts(tokens)) for number, tokens in grant.tokens]
    return _encode(grant.number, [], [], loans, key)


def decode_message(datagram: bytes, key: bytes, receiver: DaemonName) -> Ask | Grant:
    """Returns the message in a datagram; raises ValueError if it is malformed or foreign."""
    digest, payload = datagram[:DIGEST_BYTES], datagram[DIGEST_BYTES:]
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(datagram)} bytes")
    if not payload or not hmac.compare_digest(digest, _compute_digest(key, payload)):
        raise ValueError("datagram of another deployment")
    try:
        message: QuotaMessage = deserialize(QuotaMessage(), payload, _PROTOCOL_FACTORY)
        if message.loans:
            loans = tuple((loan.workspace, _from_parts(loan.tokens)) for loan in message.loans)
            return Grant(message.number, loans)
        wants = tuple(
            Want(w.workspace, _from_parts(w.tokens), _from_parts(w.demand), Need(w.need))
            for w in message.wants
        )
        returns = tuple(Return(r.ask, r.workspace, _from_parts(r.unspent)) for r in message.returns)
        return Ask(message.number, receiver, wants, returns)
    except Exception as error:  # a damaged field makes the codec raise any error
        raise ValueError(f"message: {error!r}") from error


def _encode(
    number: int,
    wants: list[QuotaWant],
    returns: list[QuotaReturn],
    loans: list[QuotaLoan],
    key: bytes,
) -> bytes:
    """Returns a message as a datagram; the codec leaves out fields without a value."""
    fields: Any = (wants or None, returns or None, loans or None)
    message = QuotaMessage(number, *fields)
    payload: bytes = serialize(message, _PROTOCOL_FACTORY)
    return _compute_digest(key, payload) + payload


def _compute_digest(key: bytes, payload: bytes) -> bytes:
    """Returns the keyed digest of a payload."""
    return hashlib.blake2s(payload, key=key, digest_size=DIGEST_BYTES).digest()


def _to_parts(amount: float) -> int:
    """Returns an amount in thousandths, rounded down."""
    return int(min(amount, MAX_AMOUNT) * PARTS_PER_TOKEN)


def _from_parts(parts: int) -> float:
    """Returns an amount that was sent in thousandths."""
    return parts / PARTS_PER_TOKEN
