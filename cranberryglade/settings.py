"""What one daemon is told by its INI file, with defaults and checks."""

import configparser
import dataclasses
import logging

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import options

CALLER_ADDRESS = "127.0.0.1:8080"
PEER_ADDRESS = "127.0.0.1:8081"
STATSD_ADDRESS = ""
LOG_LEVEL = "info"
SPANS_FILE = ""
CONTACTS = ()
REQUEST_BYTES = 1_048_576
POLL_SECONDS = 5.0
PLATFORM_TIMEOUT_SECONDS = 2.0
PROBE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5

ADDRESS = '"host:port"'
NAME = "lower-case letters, digits and hyphens, at most 63"
SECRET = "at least 32 hexadecimal digits"
LEVELS = ("debug", "info", "warning", "error")


def _level(text: str) -> str:
    if text not in LEVELS:
        raise ValueError(text)
    return text


def _seconds(name: str, default: float, about: str) -> options.Option:
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
            NAME,
            about="name of this instance, unique in the deployment",
        ),
        options.Option(
            "failure_domain", options.parse_name, NAME, about="where it runs"
        ),
        options.Option(
            "caller_address",
            options.parse_address,
            ADDRESS,
            CALLER_ADDRESS,
            about="where callers and operators reach it; port 0 is a free one",
        ),
        options.Option(
            "peer_address",
            options.parse_address,
            ADDRESS,
            PEER_ADDRESS,
            about="where the other instances reach it",
        ),
        options.Option(
            "request_bytes",
            options.number(1024, 67_108_864),
            "a whole number of bytes from 1024 to 67108864",
            REQUEST_BYTES,
            about="longest body of a request; longer ones are `too_large`",
        ),
        _seconds(
            "probe_seconds", PROBE_SECONDS, "pause between probes of peers"
        ),
        _seconds(
            "probe_timeout_seconds",
            PROBE_TIMEOUT_SECONDS,
            "how long a peer may take to answer a probe",
        ),
        options.Option(
            "contacts",
            options.parse_addresses,
            ADDRESS + " of instances, separated by blanks",
            CONTACTS,
            about="peers to ask when the platform's list cannot be read",
        ),
    ),
    "platform": (
        options.Option(
            "address",
            options.parse_address,
            ADDRESS,
            about="the services of the platform",
        ),
        _seconds(
            "poll_seconds",
            POLL_SECONDS,
            "pause between readings of configuration and list",
        ),
        _seconds(
            "timeout_seconds",
            PLATFORM_TIMEOUT_SECONDS,
            "how long the platform may take to answer",
        ),
    ),
    "keys": (
        options.Option(
            "peer",
            options.parse_secret,
            SECRET,
            secret=True,
            about="with it the instances sign what they tell each other",
        ),
        options.Option(
            "ticket",
            options.parse_secret,
            SECRET,
            secret=True,
            about="with it they sign request ids",
        ),
    ),
    "observation": (
        options.Option(
            "statsd_address",
            options.optional(options.parse_address),
            ADDRESS + " or nothing",
            STATSD_ADDRESS,
            about="where metrics go",
        ),
        options.Option(
            "log_level",
            _level,
            "one of " + ", ".join(LEVELS),
            LOG_LEVEL,
            about="least level logged",
        ),
        options.Option(
            "spans_file",
            options.optional(options.parse_path),
            "a file in a directory that exists, or nothing",
            SPANS_FILE,
            about="gets the spans, a line of JSON each",
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
    """Reads and checks a settings file."""
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
    """Checks settings given as INI text; `source` names them in problems."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        line = str(error).splitlines()[0]
        return Failure([options.Problem(source, "-", "", line, "INI text")])
    problems = [
        options.Problem(
            source, name, "", "(unknown)", "one of " + ", ".join(SECTIONS)
        )
        for name in parser.sections()
        if name not in SECTIONS
    ]
    values = {}
    for name, declared in SECTIONS.items():
        found = dict(parser[name]) if parser.has_section(name) else {}
        match options.read_section(source, name, found, declared):
            case Success(section):
                values[name] = section
            case Failure(wrong):
                problems += wrong
    if problems:
        return Failure(problems)
    return Success(_settings(values))


def _settings(values) -> Settings:
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
