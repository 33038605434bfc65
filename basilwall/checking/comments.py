"""Blank out comments, so that the standard JSON reader can do the rest.

Comments become spaces of the same length: every line and column in a message
of the reader is then also that of the file.
"""

import re

_TOKEN = re.compile(
    r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|/\*.*?\*/|,(?=(?:\s|//[^\n]*|/\*.*?\*/)*[}\]])',
    re.DOTALL,
)
_NOT_NEWLINE = re.compile(r'[^\n]')


def blank_comments(text: str) -> str:
    """Return `text` with its comments and trailing commas blanked out."""
    return _TOKEN.sub(_blank, text)


def _blank(match: re.Match[str]) -> str:
    token = match.group()
    if token.startswith('"'):
        return token
    return _NOT_NEWLINE.sub(' ', token)
