"""Reads a file into a validated model and reports the position of each error.

All errors are reported together, each with its line, its column, the invalid
value and what is allowed, so that an operator corrects a file only once.
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

#: Larger documents and settings files are refused.
MAX_INPUT_BYTES = 262_144
#: Invalid values are cut to this length in messages.
MAX_EXCERPT_CHARACTERS = 60

ModelT = TypeVar('ModelT', bound=BaseModel)
_Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file; lines and columns count from 1.

    `path` is the dotted path of the invalid field, empty for the whole file.
    """

    source_name: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding on one line, in the form of compiler messages."""
        position = f'{self.source_name}:{self.line}:{self.column}'
        prefix = f'{self.path}: ' if self.path else ''
        return f'{position}: {prefix}{self.message}'


class CheckError(Exception):
    """A file was refused; `findings` are all its errors."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__('\n'.join(map(str, findings)))
        self.findings = findings


def read_checked(text: str, source_name: str, model: type[ModelT]) -> ModelT:
    """Parse JSON with comments and validate it against a model.

    Args:
        text: The content to read.
        source_name: The name of the file, or of the key, for messages.
        model: The model to validate against.

    Returns:
        An instance of the model.

    Raises:
        CheckError: If the text is not JSON or does not match the model.
    """
    if len(text.encode()) > MAX_INPUT_BYTES:
        message = f'larger than {MAX_INPUT_BYTES} bytes'
        raise CheckError([Finding(source_name, 1, 1, '', message)])
    json_text = blank_comments(text)
    try:
        content = json.loads(
            json_text, object_pairs_hook=_reject_duplicate_keys
        )
    except json.JSONDecodeError as error:
        finding = Finding(source_name, error.lineno, error.colno, '', error.msg)
        raise CheckError([finding]) from error
    except (_DuplicateKeyError, RecursionError) as error:
        raise CheckError(
            [Finding(source_name, 1, 1, '', str(error))]
        ) from error
    try:
        return model.model_validate(content)
    except ValidationError as error:
        findings = _findings(error, json_text, source_name, model)
        raise CheckError(findings) from error


class _DuplicateKeyError(Exception):
    """A key occurs more than once in one JSON object."""


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    by_key = dict(pairs)
    if len(by_key) == len(pairs):
        return by_key
    names = [key for key, _ in pairs]
    duplicates = sorted({key for key in names if names.count(key) > 1})
    raise _DuplicateKeyError(f'duplicate keys: {", ".join(duplicates)}')


def _findings(
    error: ValidationError,
    json_text: str,
    source_name: str,
    model: type[BaseModel],
) -> list[Finding]:
    source_map = json_source_map.calculate(json_text)
    findings = [
        _finding(details, source_map, source_name, model)
        for details in error.errors()
    ]
    return sorted(findings, key=lambda finding: (finding.line, finding.column))


def _finding(
    details: ErrorDetails,
    source_map: Mapping[str, Any],
    source_name: str,
    model: type[BaseModel],
) -> Finding:
    location = details['loc']
    entry = _nearest_entry(location, source_map)
    is_unknown_key = details['type'] == 'extra_forbidden'
    start = entry.key_start if is_unknown_key and entry.key_start else None
    start = start or entry.value_start
    message = (
        _unknown_key_message(location, model)
        if is_unknown_key
        else _error_message(details)
    )
    return Finding(
        source_name,
        start.line + 1,
        start.column + 1,
        '.'.join(map(str, location)),
        message,
    )


def _nearest_entry(location: _Location, source_map: Mapping[str, Any]) -> Any:
    for length in range(len(location), 0, -1):
        pointer = ''.join(f'/{_escape(step)}' for step in location[:length])
        entry = source_map.get(pointer)
        if entry is not None:
            return entry
    return source_map['']


def _escape(step: str | int) -> str:
    return str(step).replace('~', '~0').replace('/', '~1')


def _error_message(details: ErrorDetails) -> str:
    if details['type'] == 'missing':
        return 'required, but not given'
    excerpt = json.dumps(details['input'], default=str)[:MAX_EXCERPT_CHARACTERS]
    return f'{details["msg"]}, but found {excerpt}'


def _unknown_key_message(location: _Location, model: type[BaseModel]) -> str:
    known = list(_fields_at(location[:-1], model))
    similar = difflib.get_close_matches(str(location[-1]), known, n=1)
    hint = f'; did you mean "{similar[0]}"?' if similar else ''
    return f'unknown key{hint} (known: {", ".join(known)})'


def _fields_at(
    location: _Location, model: type[BaseModel]
) -> Mapping[str, Any]:
    fields: Mapping[str, Any] = model.model_fields
    for step in location:
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
