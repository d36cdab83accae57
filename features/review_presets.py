"""Presets for the review of presets."""

from __future__ import annotations

ROUTE = '[[route]]\nservice = "docs"\nclass = "main"\n'
KEYED = '[[tenant]]\nname = "alpha"\nkeys = ["secret-1", "secret-2"]\n'


def reviewed_preset(entries: str) -> str:
    """Build a preset without a fault, and add entries.

    :param entries: lines of TOML, separated by semicolons; ROUTE, KEYED and SERVICE
        stand for the start of an entry, LONGEST for matching by the longest prefix.
    """
    matching = 'longest-prefix' if entries.startswith('LONGEST') else 'first-match'
    lines = entries.replace('; ', '\n').replace('ROUTE', ROUTE).replace('KEYED', KEYED)
    lines = lines.replace('LONGEST', '').replace(
        'SERVICE', '[[service]]\nname = "docs"'
    )
    return f"""name = "reviewed"
matching = "{matching}"
[[class]]
name = "main"
deadline_ms = 400
{ROUTE}host = "shop"
path = "/a"
{lines}
"""


OLD_VERSION = reviewed_preset(
    'ROUTE; host = "old"; ROUTE; host = "c"; ROUTE; host = "b"; KEYED'
)
NEW_VERSION = reviewed_preset(
    'ROUTE; host = "b"; methods = ["GET"]; timeout_ms = 300; '
    'ROUTE; host = "new"; attempts = 2; ROUTE; host = "c"; '
    '[[tenant]]; name = "alpha"; keys = ["secret-3", "secret-2", "secret-4"]; '
    '[[tenant]]; name = "gamma"; keys = ["secret-5"]'
).replace('400', '300')
