"""Codecs of requests that VMs relay to each other.

They have the platform's form, with headers of our own: the version of the
route table, whether the asked VM did not take the request, who made the answer
and whether the request may have run.
"""

from dataclasses import replace

from basilwall.forwarding.codec import AttemptCodec
from basilwall.ingress.codec import CallerCodec
from basilwall.records.forwarding import (
    Answer,
    Call,
    RawHeaders,
    Reply,
    ReplyHead,
    ReplyMatch,
    Verdict,
)
from basilwall.records.ids import SearcherAddress, SearcherId
from basilwall.records.request_head import RequestHead
from basilwall.records.searcher import SearcherProcess
from basilwall.relaying.provenance import (
    UNKNOWN_PROVENANCE,
    AnswerOrigin,
    Provenance,
    provenance_of,
)

_PROCESS_FIELDS = 3

# Of a request: the oldest version of the route table that may serve it. Of an
# answer: the version by which it was served.
TABLE_VERSION = b'basilwall-table-version'
# Present in an answer if the VM did not take the request.
NOT_TAKEN = b'basilwall-not-taken'
# Of a request: how many searchers of each service may get it.
MAX_ATTEMPTS = b'basilwall-max-attempts'
# Of an answer: who made it, as `AnswerOrigin`.
ANSWERED_BY = b'basilwall-answered-by'
# Of an answer: "0" if the request has not run and will not, else "1".
MAY_HAVE_RUN = b'basilwall-may-have-run'
# Of a searcher's answer: its id, its address and when its process started, in
# milliseconds since the epoch, separated by spaces.
SEARCHER_PROCESS = b'basilwall-searcher-process'
_OWN_HEADERS = frozenset(
    (
        TABLE_VERSION,
        NOT_TAKEN,
        MAX_ATTEMPTS,
        ANSWERED_BY,
        MAY_HAVE_RUN,
        SEARCHER_PROCESS,
    )
)


class RelayCodec(AttemptCodec):
    """Encodes relayed requests and decodes the answers to them."""

    def __init__(self, codec: AttemptCodec) -> None:
        """Wrap the codec of attempts at searchers."""
        self._codec = codec

    def encode_attempt(
        self, call: Call, searcher: SearcherId, time_left: float
    ) -> bytes:
        """Encode the head of a relayed request; `time_left` is in seconds."""
        lines = [b'%b: %d\r\n' % (TABLE_VERSION, call.min_table_version)]
        if call.max_attempts is not None:
            lines.append(b'%b: %d\r\n' % (MAX_ATTEMPTS, call.max_attempts))
        extended = replace(call, head=b''.join((call.head, *lines)))
        return self._codec.encode_attempt(extended, searcher, time_left)

    def match_reply(self, call: Call, head: ReplyHead) -> ReplyMatch:
        """Return which request an answer names.

        A VM that refuses a request before it has read it names none, and sends
        nothing that belongs to no request.
        """
        found = self._codec.match_reply(call, head)
        return ReplyMatch.THIS if found is ReplyMatch.NONE else found

    def decode_reply(
        self, searcher: SearcherId, head: ReplyHead, body: bytes
    ) -> Reply:
        """Decode the complete answer of a VM."""
        return self._codec.decode_reply(searcher, head, body)

    def idle_limit(self, head: ReplyHead) -> float | None:
        """Return the idle timeout of the VM's connection, in seconds."""
        return self._codec.idle_limit(head)

    def is_not_taken(self, reply: Reply) -> bool:
        """Return whether the VM did not take the request."""
        return bool(_own_header(reply.headers, NOT_TAKEN))

    def table_version(self, reply: Reply) -> int:
        """Return the version by which a request was served, 0 if not given."""
        return _number(_own_header(reply.headers, TABLE_VERSION))

    def provenance(self, reply: Reply) -> Provenance:
        """Return what the VM says of its answer."""
        may_have_run = _own_header(reply.headers, MAY_HAVE_RUN)
        try:
            origin = AnswerOrigin(
                _own_header(reply.headers, ANSWERED_BY).decode('latin-1')
            )
        except ValueError:
            return UNKNOWN_PROVENANCE
        return Provenance(origin, may_have_run=may_have_run != b'0')

    def searcher_process(self, reply: Reply) -> SearcherProcess | None:
        """Return the process whose answer it is, if the VM says so."""
        text = _own_header(reply.headers, SEARCHER_PROCESS).decode('latin-1')
        fields = text.split(' ')
        if len(fields) != _PROCESS_FIELDS or not fields[-1].isdigit():
            return None
        searcher_id, address, started_ms = fields
        return SearcherProcess(
            SearcherId(searcher_id), SearcherAddress(address), int(started_ms)
        )

    def caller_headers(self, reply: Reply) -> RawHeaders:
        """Return the headers that are meant for the caller."""
        return _without_own(reply.headers)


class RelayedCallerCodec(CallerCodec):
    """Decodes requests that other VMs relay, and encodes their answers."""

    def __init__(self, codec: CallerCodec) -> None:
        """Wrap the codec of callers' requests."""
        self._codec = codec

    def decode_request(
        self, request: RequestHead, body: bytes, received_at: float
    ) -> Call:
        """Decode a request; `received_at` is in monotonic seconds."""
        raw = request.headers
        max_attempts = _number(_own_header(raw, MAX_ATTEMPTS)) or None
        stripped = replace(request, headers=_without_own(raw))
        call = self._codec.decode_request(stripped, body, received_at)
        return replace(
            call,
            is_relayed=True,
            min_table_version=_number(_own_header(raw, TABLE_VERSION)),
            max_attempts=max_attempts,
        )

    def encode_headers(
        self, call: Call | None, answer: Answer
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer without those of the framing."""
        headers = self._codec.encode_headers(call, answer)
        # A searcher must not speak for this VM.
        headers = list(_without_own(tuple(headers)))
        provenance = provenance_of(answer.verdict)
        headers += [
            (TABLE_VERSION, b'%d' % answer.table_version),
            (ANSWERED_BY, provenance.origin.value.encode()),
            (MAY_HAVE_RUN, b'%d' % provenance.may_have_run),
        ]
        if answer.verdict is Verdict.NOT_TAKEN:
            headers.append((NOT_TAKEN, b'1'))
        if answer.process is not None:
            headers.append((SEARCHER_PROCESS, _encode_process(answer.process)))
        return headers


def _encode_process(process: SearcherProcess) -> bytes:
    return (
        f'{process.searcher_id} {process.address} {process.started_ms}'
    ).encode('latin-1', 'replace')


def _own_header(headers: RawHeaders, name: bytes) -> bytes:
    """Return the last header of a name, empty if there is none."""
    found = [text for key, text in headers if key.lower() == name]
    return found[-1] if found else b''


def _without_own(headers: RawHeaders) -> RawHeaders:
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in _OWN_HEADERS
    )


def _number(text: bytes) -> int:
    return int(text) if text.isdigit() else 0
