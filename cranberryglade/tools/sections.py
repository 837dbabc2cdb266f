"""Reads and replaces single sections of a configuration's INI text.

The rest of the text, comments included, stays as it is.
"""

from collections.abc import Mapping
import configparser
import re

HEADING = re.compile(r"^\[([^\]]+)\]", re.MULTILINE)


def parse(text: str) -> dict[str, dict[str, str]]:
    r"""Returns the options of each section as texts.

    >>> parse("[tier a]\nrank = 0\n")
    {'tier a': {'rank': '0'}}
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return {name: dict(parser[name]) for name in parser.sections()}


def replace(text: str, section: str, values: Mapping[str, str]) -> str:
    r"""Returns the text with a section replaced, or added at the end.

    >>> replace("[tier a]\nrank = 0\n", "tier a", {"rank": "1"})
    '[tier a]\nrank = 1\n'
    """
    lines = [f"[{section}]"]
    lines += [f"{name} = {value}" for name, value in values.items()]
    block = "\n".join(lines) + "\n"
    found = next((m for m in HEADING.finditer(text) if m[1] == section), None)
    if found is None:
        return text.rstrip("\n") + "\n\n" + block
    following = HEADING.search(text, found.end())
    if following is None:
        return text[: found.start()] + block
    rest = text[following.start() :]
    return text[: found.start()] + block + "\n" + rest
