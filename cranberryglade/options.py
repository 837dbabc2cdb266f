"""Options of INI sections: their declaration, parsers and checks."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import configparser
import dataclasses
import pathlib
import re
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
REQUIRED = object()
HIDDEN_VALUE = "(hidden)"


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """One invalid setting.

    Attributes:
        source: name of the file or text that contains it.
        section: INI section.
        name: option, or "" if the section itself is invalid.
        value: the text found, or "(missing)", "(unknown)" or "(hidden)".
        allowed: description of accepted values.
    """

    source: str
    section: str
    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.source}: [{self.section}]"
        if self.name:
            location += f" {self.name}"
        return f"{location} = {self.value}: allowed is {self.allowed}"


@dataclasses.dataclass(slots=True, frozen=True)
class Option:
    """One option of a section.

    Attributes:
        name: its name in the file.
        parse: converts the text to a value; raises ValueError.
        allowed: description of accepted values.
        default: the value if the option is absent, or REQUIRED.
        about: its purpose, for the reference pages.
        secret: whether problems must hide the value.
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
    """Parses and checks one section.

    Args:
        source: name of the file or text, for problems.
        section: name of the section, for problems.
        values: texts by option name.
        options: the options that the section may have.

    Returns:
        Values by option name with defaults filled in, or all problems.
    """
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
            shown = HIDDEN_VALUE if option.secret else text
            problems.append(
                Problem(source, section, option.name, shown, option.allowed)
            )
    return Failure(problems) if problems else Success(parsed)


def read_sections(
    text: str, source: str, sections: Mapping[str, tuple[Option, ...]]
) -> Result[dict[str, dict[str, Any]], list[Problem]]:
    """Parses and checks an INI text.

    Args:
        text: INI text.
        source: name of the text, for problems.
        sections: options by the name of their section; no others are allowed.

    Returns:
        Values by section and option name with defaults filled in, or all
        problems.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        line = str(error).splitlines()[0]
        return Failure([Problem(source, "-", "", line, "INI text")])
    problems = [
        Problem(source, name, "", "(unknown)", "one of " + ", ".join(sections))
        for name in parser.sections()
        if name not in sections
    ]
    values = {}
    for name, declared in sections.items():
        found = dict(parser[name]) if parser.has_section(name) else {}
        match read_section(source, name, found, declared):
            case Success(section):
                values[name] = section
            case Failure(section_problems):
                problems += section_problems
    return Failure(problems) if problems else Success(values)


def parse_name(text: str) -> str:
    """Parses a name of lower-case letters, digits and hyphens.

    Raises:
        ValueError: the text is empty, longer than 63 characters, has other
            characters, or begins with a hyphen.

    >>> parse_name("store-17")
    'store-17'
    """
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_address(text: str) -> str:
    """Parses "host:port" with a port of 0 to 65535.

    Raises:
        ValueError: the text is not of that form.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError(text)
    if int(port) > 65535:
        raise ValueError(text)
    return text


def format_value(value: Any) -> str:
    """Formats a value as in an INI file.

    >>> format_value(True), format_value(0.5)
    ('yes', '0.5')
    """
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def allow_empty(parse: Callable[[str], Any]) -> Callable[[str], Any]:
    """Returns a parser that also accepts an empty text, which stays empty."""
    return lambda text: parse(text) if text else ""


def parse_path(text: str) -> str:
    """Parses the path of a file.

    Raises:
        ValueError: the directory of the file does not exist.
    """
    if not pathlib.Path(text).parent.is_dir():
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parses addresses separated by blanks.

    Raises:
        ValueError: one of them is not "host:port".

    >>> parse_addresses("127.0.0.1:81 127.0.0.2:81")
    ('127.0.0.1:81', '127.0.0.2:81')
    """
    return tuple(parse_address(item) for item in text.split())


def parse_flag(text: str) -> bool:
    """Parses "yes" or "no".

    Raises:
        ValueError: the text is neither.
    """
    if text not in ("yes", "no"):
        raise ValueError(text)
    return text == "yes"


def choice(allowed: Sequence[str]) -> Callable[[str], str]:
    """Returns a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError(text)
        return text

    return parse


def number(low: float, high: float, kind: type = int) -> Callable[[str], float]:
    """Returns a parser of numbers within bounds.

    Args:
        low: smallest accepted number.
        high: largest accepted number.
        kind: type of the number, int or float.
    """

    def parse(text: str):
        value = kind(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def parse_secret(text: str) -> bytes:
    """Parses a key of at least 32 hexadecimal digits.

    Raises:
        ValueError: the key is shorter or not hexadecimal.
    """
    key = bytes.fromhex(text)
    if len(key) < 16:
        raise ValueError(text)
    return key


def parse_digest(text: str) -> str:
    """Parses a SHA-256 digest in hexadecimal digits.

    Returns:
        The digest in lower case.

    Raises:
        ValueError: the text is not 32 bytes in hexadecimal digits.
    """
    if len(bytes.fromhex(text)) != 32:
        raise ValueError(text)
    return text.lower()
