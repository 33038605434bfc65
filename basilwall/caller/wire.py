"""Replies to callers and their JSON bodies; errors follow RFC 9457."""

import math
from http import HTTPStatus

import msgspec

from basilwall.records.answer import Coverage, QueryAnswer, Refusal
from basilwall.records.order import OrderOutcome, OrderState

MS_PER_SECOND = 1000
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'


class MissingPart(msgspec.Struct, frozen=True):
    """One part of the snapshot that the answer does not fully cover."""

    instance: str
    reason: str
    records: int


class CoverageBody(msgspec.Struct, frozen=True):
    """The coverage of the snapshot by an answer.

    `answered` and `total` count parts.
    """

    complete: bool
    answered: int
    total: int
    records_covered: int
    records_total: int
    missing: tuple[MissingPart, ...]


class AnswerBody(msgspec.Struct, frozen=True):
    """The body of an answered query."""

    request_id: str
    snapshot: str
    coverage: CoverageBody
    results: msgspec.Raw


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error body; `outcome` is `not_run`, `unknown` or `rejected`."""

    type: str
    title: str
    status: int
    detail: str = ''
    request_id: str = ''
    outcome: str = ''
    reason: str = ''
    retry_after_ms: int = 0
    ticket: str = ''
    coverage: CoverageBody | None = None


class RanBody(msgspec.Struct, frozen=True):
    """The body of an order that ran."""

    request_id: str
    outcome: str
    results: msgspec.Raw


class TicketBody(msgspec.Struct, frozen=True):
    """The body of a newly issued ticket."""

    ticket: str
    expires_in_ms: int


class Reply(msgspec.Struct, frozen=True):
    """One HTTP reply to a caller."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE
    retry_after_ms: int = 0

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers; Retry-After is in whole seconds, rounded up."""
        headers = [
            ('Content-Type', self.content_type),
            ('Content-Length', str(len(self.body))),
        ]
        if self.retry_after_ms:
            seconds = math.ceil(self.retry_after_ms / MS_PER_SECOND)
            headers.append(('Retry-After', str(seconds)))
        return headers


_STATUS_BY_STATE = {
    OrderState.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    OrderState.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    OrderState.REJECTED: HTTPStatus.UNPROCESSABLE_ENTITY,
}


def json_reply(body: msgspec.Struct) -> Reply:
    """Return a JSON reply with status 200."""
    return Reply(HTTPStatus.OK, msgspec.json.encode(body))


def problem_reply(problem: Problem) -> Reply:
    """Return the reply for an error."""
    return Reply(
        HTTPStatus(problem.status),
        msgspec.json.encode(problem),
        PROBLEM_TYPE,
        problem.retry_after_ms,
    )


def answer_reply(answer: QueryAnswer) -> Reply:
    """Return the reply for an answered query."""
    return json_reply(
        AnswerBody(
            answer.request_id,
            answer.snapshot,
            coverage_body(answer.coverage),
            msgspec.Raw(answer.records),
        ),
    )


def refusal_reply(refusal: Refusal) -> Reply:
    """Return the reply for a query that was refused or failed."""
    status = (
        HTTPStatus.GATEWAY_TIMEOUT
        if refusal.ran
        else HTTPStatus.SERVICE_UNAVAILABLE
    )
    coverage = refusal.coverage
    return problem_reply(
        Problem(
            type=f'urn:basilwall:{refusal.reason.value}',
            title=refusal.reason.value.replace('_', ' '),
            status=status,
            request_id=refusal.request_id,
            outcome='unknown' if refusal.ran else 'not_run',
            reason=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
            coverage=coverage_body(coverage) if coverage else None,
        ),
    )


def order_reply(request_id: str, outcome: OrderOutcome) -> Reply:
    """Return the reply for an order."""
    if outcome.state is OrderState.RAN:
        return json_reply(
            RanBody(
                request_id,
                outcome.state.value,
                msgspec.Raw(outcome.body),
            ),
        )
    needs_ticket = outcome.reason.value == 'no_ticket'
    status = (
        HTTPStatus.PRECONDITION_REQUIRED
        if needs_ticket
        else _STATUS_BY_STATE[outcome.state]
    )
    return problem_reply(
        Problem(
            type=f'urn:basilwall:{outcome.reason.value}',
            title=outcome.reason.value.replace('_', ' '),
            status=status,
            request_id=request_id,
            outcome=outcome.state.value,
            reason=outcome.reason.value,
            retry_after_ms=outcome.retry_after_ms,
            ticket=outcome.replacement,
        ),
    )


def coverage_body(coverage: Coverage) -> CoverageBody:
    """Return the JSON body of a coverage."""
    return CoverageBody(
        coverage.is_complete,
        coverage.answered,
        coverage.total,
        coverage.records_covered,
        coverage.records_total,
        tuple(
            MissingPart(
                missing_part.instance,
                missing_part.reason.value,
                missing_part.records,
            )
            for missing_part in coverage.missing
        ),
    )
