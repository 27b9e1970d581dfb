import unittest

from lycheepin.quarantine.fingerprints import fingerprint_request
from lycheepin.steering.suspects import Fingerprint
from lycheepin.transport.incoming import MAX_BUFFERED_BODY_BYTES, IncomingRequest
from tests.gateway.connections import UnusedConnection


def fingerprint(
    body: bytes = b"", method: bytes = b"GET", target: bytes = b"/a", **headers: str
) -> Fingerprint:
    """Returns the fingerprint of a request; an underscore in a name stands for a hyphen."""
    request = IncomingRequest(UnusedConnection(), 0.0)
    request.method, request.target = method, target
    for name, value in ({"host": "h", "key": "7"} | headers).items():
        request.headers_by_name[name.replace("_", "-").encode()] = value.encode()
    return fingerprint_request(request, body, (b"key",))


class Fingerprints(unittest.TestCase):
    def test_same_request_has_the_same_fingerprint_at_each_try(self) -> None:
        first = fingerprint(b"body", request_id="1", deadline_ms="900", host="h:80")
        self.assertEqual(first, fingerprint(b"body", request_id="2", deadline_ms="5", host="H"))

    def test_other_requests_have_other_fingerprints(self) -> None:
        others = [
            fingerprint(),
            fingerprint(b"x"),
            fingerprint(method=b"PUT"),
            fingerprint(target=b"/a?b"),
            fingerprint(host="other"),
            fingerprint(key="8"),
            fingerprint(authorization="Bearer 1"),
            fingerprint(cookie="session=1"),
            fingerprint(target=b"/a7", key=""),
        ]
        self.assertEqual(len(set(others)), len(others))

    def test_long_body_has_the_same_fingerprint_wherever_reading_stopped(self) -> None:
        body = bytes(range(256)) * (MAX_BUFFERED_BODY_BYTES // 256 + 9)
        sizes = [MAX_BUFFERED_BODY_BYTES + 1, MAX_BUFFERED_BODY_BYTES + 999, len(body)]
        self.assertEqual(len({fingerprint(body[:size], content_length="9") for size in sizes}), 1)
        self.assertNotEqual(
            fingerprint(body, content_length="9"), fingerprint(body, content_length="8")
        )
