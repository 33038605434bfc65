"""The JSON Schemas of the files that people write."""

import json
from enum import Enum

from pydantic import BaseModel

from basilwall.document.model import Document
from basilwall.settings.model import Settings


class SchemaName(Enum):
    """The files that have a schema."""

    DOCUMENT = 'document'
    SETTINGS = 'settings'


_MODEL_BY_NAME: dict[SchemaName, type[BaseModel]] = {
    SchemaName.DOCUMENT: Document,
    SchemaName.SETTINGS: Settings,
}


def schema_text(name: SchemaName) -> str:
    """Return the schema of a file as JSON text."""
    schema = _MODEL_BY_NAME[name].model_json_schema()
    return f'{json.dumps(schema, indent=2)}\n'
