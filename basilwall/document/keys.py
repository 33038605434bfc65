"""The keys under which the platform publishes what concerns us."""

from basilwall.records.ids import ServiceName

PREFIX = 'basilwall/'
DOCUMENTS = 'basilwall/documents/'
CATALOGUES = 'basilwall/catalogues/'
FLEET = 'basilwall/fleet'


def document_key(service: ServiceName) -> str:
    """Return the key of a service's document."""
    return f'{DOCUMENTS}{service}'


def catalogue_key(service: ServiceName) -> str:
    """Return the key of a service's catalogue entry."""
    return f'{CATALOGUES}{service}'
