"""Declared options of INI sections and the checks that all readers share."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import pathlib
import re
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
REQUIRED = object()
HIDDEN = "(hidden)"


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One setting that cannot be used.

    Attributes:
        source: file or row that holds it.
        section: INI section.
        name: option, or "" when the section itself is wrong.
        value: what was found, or "(missing)" or "(unknown)".
        allowed: what would be accepted.
    """

    source: str
    section: str
    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}: [{self.section}]"
        if self.name:
            place += f" {self.name}"
        return f"{place} = {self.value}: allowed is {self.allowed}"


@dataclasses.dataclass(slots=True, frozen=True)
class Option:
    """One option of a section.

    Attributes:
        name: its name in the file.
        parse: turns the text into a value; raises ValueError.
        allowed: what is accepted, in words.
        default: the value when it is absent, or REQUIRED.
        about: what it is for, for the reference pages.
        secret: whether problems must not show the value.
    """

    name: str
    parse: Callable[[str], Any]
    allowed: str
    default: Any = REQUIRED
    about: str = ""
    secret: bool = False


def read_section(
    source: str,
    section: str,
    values: Mapping[str, str],
    options: tuple[Option, ...],
) -> Result[dict[str, Any], list[Problem]]:
    """Checks one section and returns its values by option name."""
    problems = []
    known = {option.name for option in options}
    allowed = "one of " + ", ".join(sorted(known))
    for name in values:
        if name not in known:
            problems.append(
                Problem(source, section, name, "(unknown)", allowed)
            )
    parsed = {}
    for option in options:
        text = values.get(option.name)
        if text is None:
            if option.default is REQUIRED:
                problems.append(
                    Problem(
                        source,
                        section,
                        option.name,
                        "(missing)",
                        option.allowed,
                    )
                )
            parsed[option.name] = option.default
            continue
        try:
            parsed[option.name] = option.parse(text)
        except ValueError:
            shown = HIDDEN if option.secret else text
            problems.append(
                Problem(source, section, option.name, shown, option.allowed)
            )
    return Failure(problems) if problems else Success(parsed)


def parse_name(text: str) -> str:
    """Reads a name of lower-case letters, digits and hyphens.

    >>> parse_name("store-17")
    'store-17'
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Reads "host:port" with a port of 0 to 65535."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError(text)
    if int(port) > 65535:
        raise ValueError(text)
    return text


def text_of(value: Any) -> str:
    """Writes a value as it stands in a file.

    >>> text_of(True), text_of(0.5)
    ('yes', '0.5')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def optional(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Returns a parser that reads nothing as nothing."""
    return lambda text: parse(text) if text else ""


def parse_path(text: str) -> str:
    """Reads the path of a file in a directory that exists."""
    if not pathlib.Path(text).parent.is_dir():
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Reads addresses separated by blanks.

    >>> parse_addresses("127.0.0.1:81 127.0.0.2:81")
    ('127.0.0.1:81', '127.0.0.2:81')
    """
    return tuple(parse_address(item) for item in text.split())


def parse_flag(text: str) -> bool:
    """Reads "yes" or "no"."""
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def choice(allowed: Sequence[str]) -> Callable[[str], str]:
    """Returns a parser of one word out of several."""

    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError(text)
        return text

    return parse


def number(low: float, high: float, kind: type = int) -> Callable[[str], float]:
    """Returns a parser of numbers within the bounds."""

    def parse(text: str):
        value = kind(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def parse_secret(text: str) -> bytes:
    """Reads a key of at least 32 hexadecimal digits."""
    key = bytes.fromhex(text)
    if len(key) < 16:
        raise ValueError(text)
    return key


def parse_digest(text: str) -> str:
    """Reads a SHA-256 digest in hexadecimal digits."""
    if len(bytes.fromhex(text)) != 32:
        raise ValueError(text)
    return text.lower()
