"""Tells the answer to a request from others that arrive on the same connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lycheepin.transport.connection import AnswerHead, Connection

__all__ = ["AnswerMatcher"]


class AnswerMatcher:
    """Tells the answer to a request from others that arrive on its connection.

    An answer without an id is the right one on a new connection. Later it may be an extra answer to
    an earlier request, whose endpoint names ids, and is skipped. The attempt then ends after
    `limit_s` seconds, unless the right answer begins before; nothing is known of the request then.
    """

    def __init__(
        self,
        connection: Connection,
        id_name: bytes,
        identifier: bytes | None,
        timer: asyncio.Timeout,
        limit_s: float,
        on_skipped: Callable[[AnswerHead], None],
    ) -> None:
        self._connection = connection
        self._id_name = id_name
        self._identifier = identifier
        self._timer = timer
        self._deadline_s = timer.when()
        self._limit_s = limit_s
        self._on_skipped = on_skipped
        self._skipped = False

    def accept(self, head: AnswerHead) -> bool:
        """Returns whether an answer belongs to the request."""
        echoed = head.header(self._id_name)
        if echoed is None and self._identifier is not None and self._connection.reused:
            self._skipped = True
            self._on_skipped(head)
            self._end_attempt_at(asyncio.get_running_loop().time() + self._limit_s)
            return False
        accepted = echoed is None or self._identifier is None or echoed == self._identifier
        if accepted and self._skipped:
            self._end_attempt_at(self._deadline_s)
        return accepted

    def _end_attempt_at(self, end_s: float | None) -> None:
        """Ends the attempt at a time or at its deadline, unless it is ending already."""
        if end_s is not None and self._deadline_s is not None and not self._timer.expired():
            self._timer.reschedule(min(end_s, self._deadline_s))
