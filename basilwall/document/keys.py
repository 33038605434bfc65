"""Configuration keys of the values that Basilwall reads."""

from basilwall.records.ids import ServiceName

KEY_PREFIX = 'basilwall/'
DOCUMENT_PREFIX = 'basilwall/documents/'
CATALOGUE_PREFIX = 'basilwall/catalogues/'
FLEET_KEY = 'basilwall/fleet'


def document_key(service: ServiceName) -> str:
    """Return the key of a service's document."""
    return f'{DOCUMENT_PREFIX}{service}'


def catalogue_key(service: ServiceName) -> str:
    """Return the key of a service's catalogue entry."""
    return f'{CATALOGUE_PREFIX}{service}'
