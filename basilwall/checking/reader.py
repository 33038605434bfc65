"""Read a file into a checked model and name every error at its place.

All errors are told in one go, each with line, column, the wrong value and
what is allowed, so that an operator mends a file once.
"""

import difflib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar, get_args

import json_source_map
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from basilwall.checking.comments import blank_comments

#: A document or settings file above this size is refused, in bytes.
MAX_INPUT_BYTES = 262_144
#: Longest excerpt of a wrong value in a message, in characters.
MAX_EXCERPT_CHARACTERS = 60

ModelT = TypeVar('ModelT', bound=BaseModel)
_Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """One error of a file; lines and columns count from 1."""

    source: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line in the form of a compiler."""
        where = f'{self.source}:{self.line}:{self.column}'
        named = f'{self.path}: ' if self.path else ''
        return f'{where}: {named}{self.message}'


class CheckError(Exception):
    """A file that is not accepted, with all that is wrong in it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('\n'.join(map(str, findings)))
        self.findings = findings


def read_checked(text: str, source: str, model: type[ModelT]) -> ModelT:
    """Read JSON with comments into `model`.

    Args:
        text: The content of the file.
        source: The name of the file for messages.
        model: The model that says what is allowed.

    Returns:
        An instance of the model.

    Raises:
        CheckError: If the text is not JSON or the model refuses it.
    """
    if len(text.encode()) > MAX_INPUT_BYTES:
        message = f'larger than {MAX_INPUT_BYTES} bytes'
        raise CheckError([Finding(source, 1, 1, '', message)])
    plain = blank_comments(text)
    try:
        content = json.loads(plain, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError as error:
        place = Finding(source, error.lineno, error.colno, '', error.msg)
        raise CheckError([place]) from error
    except (_DuplicateKeyError, RecursionError) as error:
        raise CheckError([Finding(source, 1, 1, '', str(error))]) from error
    try:
        return model.model_validate(content)
    except ValidationError as error:
        findings = _findings(error, plain, source, model)
        raise CheckError(findings) from error


class _DuplicateKeyError(Exception):
    """A key that stands twice in one object."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    by_key = dict(pairs)
    if len(by_key) == len(pairs):
        return by_key
    names = [key for key, _ in pairs]
    twice = sorted({key for key in names if names.count(key) > 1})
    raise _DuplicateKeyError(f'keys that stand twice: {", ".join(twice)}')


def _findings(
    error: ValidationError,
    plain: str,
    source: str,
    model: type[BaseModel],
) -> list[Finding]:
    places = json_source_map.calculate(plain)
    findings = [
        _finding(details, places, source, model) for details in error.errors()
    ]
    return sorted(findings, key=lambda one: (one.line, one.column))


def _finding(
    details: ErrorDetails,
    places: Mapping[str, Any],
    source: str,
    model: type[BaseModel],
) -> Finding:
    place = details['loc']
    entry = _nearest_entry(place, places)
    unknown = details['type'] == 'extra_forbidden'
    start = entry.key_start if unknown and entry.key_start else None
    start = start or entry.value_start
    message = (
        _unknown_key_message(place, model) if unknown else _message(details)
    )
    return Finding(
        source,
        start.line + 1,
        start.column + 1,
        '.'.join(map(str, place)),
        message,
    )


def _nearest_entry(place: _Location, places: Mapping[str, Any]) -> Any:
    for length in range(len(place), 0, -1):
        pointer = ''.join(f'/{_escape(step)}' for step in place[:length])
        entry = places.get(pointer)
        if entry is not None:
            return entry
    return places['']


def _escape(step: str | int) -> str:
    return str(step).replace('~', '~0').replace('/', '~1')


def _message(details: ErrorDetails) -> str:
    if details['type'] == 'missing':
        return 'required, but not given'
    excerpt = json.dumps(details['input'], default=str)[:MAX_EXCERPT_CHARACTERS]
    return f'{details["msg"]}, but found {excerpt}'


def _unknown_key_message(place: _Location, model: type[BaseModel]) -> str:
    known = list(_fields_at(place[:-1], model))
    near = difflib.get_close_matches(str(place[-1]), known, n=1)
    hint = f'; did you mean "{near[0]}"?' if near else ''
    return f'unknown key{hint} (known: {", ".join(known)})'


def _fields_at(place: _Location, model: type[BaseModel]) -> Mapping[str, Any]:
    fields: Mapping[str, Any] = model.model_fields
    for step in place:
        field = fields.get(str(step))
        if field is None:
            continue
        inner = _inner_model(field.annotation)
        if inner is not None:
            fields = inner.model_fields
    return fields


def _inner_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        inner = _inner_model(argument)
        if inner is not None:
            return inner
    return None
