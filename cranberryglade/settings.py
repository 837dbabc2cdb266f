"""Settings of one daemon: its INI file, defaults and checks."""

import dataclasses
import logging

from returns.result import Failure
from returns.result import Result

from cranberryglade import options

DEFAULT_CALLER_ADDRESS = "127.0.0.1:8080"
DEFAULT_PEER_ADDRESS = "127.0.0.1:8081"
DEFAULT_STATSD_ADDRESS = ""
DEFAULT_LOG_LEVEL = "info"
DEFAULT_SPANS_FILE = ""
DEFAULT_CONTACTS = ()
DEFAULT_REQUEST_BYTES = 1_048_576
DEFAULT_POLL_SECONDS = 5.0
DEFAULT_PLATFORM_TIMEOUT_SECONDS = 2.0
DEFAULT_PROBE_SECONDS = 1.0
DEFAULT_PROBE_TIMEOUT_SECONDS = 0.5

ADDRESS_FORMAT = '"host:port"'
NAME_FORMAT = "lower-case letters, digits and hyphens, at most 63"
SECRET_FORMAT = "at least 32 hexadecimal digits"
LEVELS = ("debug", "info", "warning", "error")


def _parse_level(text: str) -> str:
    if text not in LEVELS:
        raise ValueError(text)
    return text


def _seconds_option(name: str, default: float, about: str) -> options.Option:
    return options.Option(
        name,
        options.number(0.01, 60.0, float),
        "a number of seconds from 0.01 to 60",
        default,
        about,
    )


SECTIONS = {
    "daemon": (
        options.Option(
            "instance",
            options.parse_name,
            NAME_FORMAT,
            about="name of this instance, unique in the deployment",
        ),
        options.Option(
            "failure_domain",
            options.parse_name,
            NAME_FORMAT,
            about="failure domain in which it runs",
        ),
        options.Option(
            "caller_address",
            options.parse_address,
            ADDRESS_FORMAT,
            DEFAULT_CALLER_ADDRESS,
            about="address for callers and operators; port 0 picks a free port",
        ),
        options.Option(
            "peer_address",
            options.parse_address,
            ADDRESS_FORMAT,
            DEFAULT_PEER_ADDRESS,
            about="address for other instances",
        ),
        options.Option(
            "request_bytes",
            options.number(1024, 67_108_864),
            "a whole number of bytes from 1024 to 67108864",
            DEFAULT_REQUEST_BYTES,
            about="maximum body of a request; larger ones get `too_large`",
        ),
        _seconds_option(
            "probe_seconds",
            DEFAULT_PROBE_SECONDS,
            "interval between probes of peers",
        ),
        _seconds_option(
            "probe_timeout_seconds",
            DEFAULT_PROBE_TIMEOUT_SECONDS,
            "timeout of a probe of a peer",
        ),
        options.Option(
            "contacts",
            options.parse_addresses,
            ADDRESS_FORMAT + " of instances, separated by blanks",
            DEFAULT_CONTACTS,
            about="seed peers if the platform's list cannot be read",
        ),
    ),
    "platform": (
        options.Option(
            "address",
            options.parse_address,
            ADDRESS_FORMAT,
            about="address of the platform's services",
        ),
        _seconds_option(
            "poll_seconds",
            DEFAULT_POLL_SECONDS,
            "interval between reads of the configuration and the list",
        ),
        _seconds_option(
            "timeout_seconds",
            DEFAULT_PLATFORM_TIMEOUT_SECONDS,
            "timeout of calls to the platform",
        ),
    ),
    "keys": (
        options.Option(
            "peer",
            options.parse_secret,
            SECRET_FORMAT,
            secret=True,
            about="key with which instances sign messages to each other",
        ),
        options.Option(
            "ticket",
            options.parse_secret,
            SECRET_FORMAT,
            secret=True,
            about="key with which instances sign request ids",
        ),
    ),
    "observation": (
        options.Option(
            "statsd_address",
            options.allow_empty(options.parse_address),
            ADDRESS_FORMAT + " or empty",
            DEFAULT_STATSD_ADDRESS,
            about="destination of statsd metrics; none if empty",
        ),
        options.Option(
            "log_level",
            _parse_level,
            "one of " + ", ".join(LEVELS),
            DEFAULT_LOG_LEVEL,
            about="lowest level that is logged",
        ),
        options.Option(
            "spans_file",
            options.allow_empty(options.parse_path),
            "a file in an existing directory, or empty",
            DEFAULT_SPANS_FILE,
            about="file to which spans are written, one JSON line each",
        ),
    ),
}

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """The checked settings of one daemon; times in seconds."""

    instance: str
    failure_domain: str
    caller_address: str
    peer_address: str
    request_bytes: int
    contacts: tuple[str, ...]
    probe_seconds: float
    probe_timeout_seconds: float
    platform_address: str
    poll_seconds: float
    platform_timeout_seconds: float
    peer_key: bytes
    ticket_key: bytes
    statsd_address: str
    log_level: str
    spans_file: str


def read(path: str) -> Result[Settings, list[options.Problem]]:
    """Reads and checks a settings file.

    Args:
        path: path of the INI file.

    Returns:
        The settings, or every problem found, such as an unreadable file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        problem = options.Problem(
            path, "-", "", type(error).__name__, "a readable UTF-8 file"
        )
        return Failure([problem])
    return parse(text, path)


def parse(text: str, source: str) -> Result[Settings, list[options.Problem]]:
    """Parses and checks settings.

    Args:
        text: INI text.
        source: name of the text in problems.

    Returns:
        The settings, or every problem found.
    """
    read = options.read_sections(text, source, SECTIONS)
    return read.map(_build_settings)


def _build_settings(values) -> Settings:
    platform = values["platform"]
    return Settings(
        **values["daemon"],
        platform_address=platform["address"],
        poll_seconds=platform["poll_seconds"],
        platform_timeout_seconds=platform["timeout_seconds"],
        peer_key=values["keys"]["peer"],
        ticket_key=values["keys"]["ticket"],
        **values["observation"],
    )
