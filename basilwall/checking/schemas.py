"""JSON Schemas of the files that operators write."""

import json
from enum import Enum

from pydantic import BaseModel

from basilwall.document.model import Document
from basilwall.settings.model import Settings


class SchemaName(Enum):
    """Files that have a JSON Schema."""

    DOCUMENT = 'document'
    SETTINGS = 'settings'


_MODEL_BY_NAME: dict[SchemaName, type[BaseModel]] = {
    SchemaName.DOCUMENT: Document,
    SchemaName.SETTINGS: Settings,
}


def schema_text(name: SchemaName) -> str:
    """Return the JSON Schema of a file as text."""
    schema = _MODEL_BY_NAME[name].model_json_schema()
    return f'{json.dumps(schema, indent=2)}\n'
