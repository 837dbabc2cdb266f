"""Generates the tables of the reference pages from the code.

A page holds blocks between `<!-- begin KIND NAME -->` and `<!-- end -->`; the
text between is generated, the rest is written by hand.
"""

import dataclasses
import importlib
import inspect
import pathlib
import pkgutil
import re

import msgspec

from cranberryglade import configuration
from cranberryglade import options
from cranberryglade import responses
from cranberryglade import settings
from cranberryglade import verdicts
from cranberryglade.checking import request_life
from cranberryglade.gateway_settings import features
from cranberryglade.tools import questions

DOCS = pathlib.Path("docs")
BLOCK = re.compile(
    r"(<!-- begin (\w+) ([\w. ]+) -->\n).*?(<!-- end -->)", re.DOTALL
)
OPTIONS = {
    "daemon": settings.SECTIONS,
    "gateway": features.SECTIONS,
    "configuration": {
        "deployment": configuration.DEPLOYMENT_OPTIONS,
        **configuration.SECTION_OPTIONS,
    },
    "answers": {**questions.UNNAMED_SECTIONS, **questions.NAMED_SECTIONS},
}


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One field of a message, as text."""

    name: str
    type: str
    default: str


def main() -> None:
    """Rewrites the generated blocks of all pages."""
    for page in sorted(DOCS.glob("*.md")):
        text = page.read_text(encoding="utf-8")
        page.write_text(rewrite(text), encoding="utf-8")


def rewrite(text: str) -> str:
    """Returns the text of a page with its blocks regenerated."""
    return BLOCK.sub(
        lambda found: found[1] + _generate(found[2], found[3]) + found[4], text
    )


def messages_in(text: str) -> set[str]:
    """Returns the messages that a page describes, as "module.Name"."""
    return {found[3] for found in BLOCK.finditer(text) if found[2] == "message"}


def _generate(kind: str, name: str) -> str:
    match kind:
        case "options":
            source, _, section = name.partition(" ")
            return _options(OPTIONS[source][section])
        case "message":
            return _message(name)
        case "reasons":
            return _reasons()
        case "modules":
            return _modules(name)
        case "life":
            return _life()
        case _:
            raise ValueError(f"unknown block {kind}")


def _options(declared: tuple[options.Option, ...]) -> str:
    lines = ["| option | allowed | default | meaning |", "|---|---|---|---|"]
    for option in declared:
        default = "required"
        if option.default is not options.REQUIRED:
            text = options.format_value(option.default or "")
            default = f"`{text}`" if text else "none"
            if option.default is False:
                default = "`no`"
        lines.append(
            f"| `{option.name}` | {option.allowed} | {default} "
            f"| {option.about} |"
        )
    return "\n".join(lines) + "\n"


def _message(name: str) -> str:
    found = load_message(name)
    meanings = field_meanings(found)
    lines = ["| field | type | default | meaning |", "|---|---|---|---|"]
    for row in field_rows(found):
        lines.append(
            f"| `{row.name}` | {row.type} | {row.default} "
            f"| {meanings.get(row.name, '')} |"
        )
    return "\n".join(lines) + "\n"


def load_message(name: str) -> type:
    """Returns the message type named "module.Name"."""
    module, _, struct = name.rpartition(".")
    return getattr(importlib.import_module(f"cranberryglade.{module}"), struct)


def field_rows(found: type) -> list[Row]:
    """Returns the fields of a message in declaration order."""
    if dataclasses.is_dataclass(found):
        return [
            Row(item.name, _type(item.type), _default(item.default))
            for item in dataclasses.fields(found)
        ]
    return [
        Row(
            field.name,
            _type(field.type),
            _default(field.default)
            if field.default_factory is msgspec.NODEFAULT
            else "`[]`",
        )
        for field in msgspec.structs.fields(found)
    ]


def field_meanings(found: type) -> dict[str, str]:
    """Returns the meaning of each field from "Attributes:" of a doc comment."""
    text = inspect.getdoc(found) or ""
    _, _, listed = text.partition("Attributes:\n")
    meanings: dict[str, str] = {}
    name = ""
    for line in listed.splitlines():
        begins = re.match(r"^    (\w+): (.*)$", line)
        if begins:
            name = begins[1]
            meanings[name] = begins[2]
        elif name and line.startswith("        "):
            meanings[name] += " " + line.strip()
        elif line.strip():
            break
    return meanings


def _type(kind) -> str:
    text = kind if isinstance(kind, str) else inspect.formatannotation(kind)
    text = re.sub(r"[\w.]+\.(\w+)", r"\1", text)
    text = re.sub(r"Annotated\[(\w+), Meta\([^)]*\)\]", r"\1", text)
    text = re.sub(r"Optional\[(\w+)\]", r"\1 or None", text)
    return text.replace("|", "or").replace("Raw", "JSON")


def _default(default) -> str:
    if default in (msgspec.NODEFAULT, dataclasses.MISSING):
        return "required"
    if isinstance(default, msgspec.Raw):
        return "absent"
    return f"`{msgspec.json.encode(default).decode()}`"


def _modules(name: str) -> str:
    package = importlib.import_module(name)
    lines = ["| module | purpose |", "|---|---|"]
    for module in pkgutil.iter_modules(package.__path__):
        if not module.ispkg:
            found = importlib.import_module(f"{name}.{module.name}")
            summary = inspect.getdoc(found).splitlines()[0]
            lines.append(f"| `{module.name}` | {summary} |")
    return "\n".join(lines) + "\n"


def _life() -> str:
    lines = ["| state | event | outcome | reason |", "|---|---|---|---|"]
    for position, cell in request_life.TABLE.items():
        lines.append(
            f"| {position.state.value} | {position.event.value} "
            f"| {request_life.describe(cell.outcome)} | {cell.reason} |"
        )
    return "\n".join(lines) + "\n"


def _reasons() -> str:
    meanings = field_meanings(verdicts.Reason)
    lines = ["| reason | status when not run | meaning |", "|---|---|---|"]
    for reason in verdicts.Reason:
        status = responses.STATUS_CODES.get(reason, responses.STATUS_NOT_RUN)
        lines.append(
            f"| `{reason.value}` | {status} | {meanings[reason.name]} |"
        )
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    main()
