"""Tells which of the replies on a connection answers a request.

A searcher names the request in its replies. What it sends in excess after a
reply may be met by the next request on the connection, and belongs to none.
"""

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.records.forwarding import Call, ReplyHead, ReplyMatch


class UnnamedReplyError(ValueError):
    """A reply names no request and may be the rest of an earlier one."""


class ReplyOwnership:
    """Which replies answer one request.

    `may_be_followed` is True once a reply was taken that names no request: more
    of its kind may come, so the connection is not to be used again.
    """

    def __init__(
        self, codec: AttemptCodec, call: Call, connection: SearcherConnection
    ) -> None:
        """Start before the first reply.

        Args:
            codec: Decodes which request a reply names.
            call: The request.
            connection: The connection on which it is sent.
        """
        self.may_be_followed = False
        self._codec = codec
        self._call = call
        self._connection = connection

    def is_own(self, head: ReplyHead) -> bool:
        """Return whether a reply answers the request, else it is skipped.

        One that names no request does if nothing was asked on the connection
        before.

        Raises:
            UnnamedReplyError: If it can't be told.
        """
        match = self._codec.match_reply(self._call, head)
        if match is ReplyMatch.NONE:
            if self._connection.is_used:
                raise UnnamedReplyError('reply names no request')
            self.may_be_followed = True
        return match is not ReplyMatch.OTHER
