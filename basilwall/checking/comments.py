"""Blanks out comments, so that the standard JSON parser can read the text.

Comments and trailing commas become spaces of the same length, so that lines
and columns in messages of the parser match those of the file.
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
