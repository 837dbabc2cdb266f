"""Checks that the documentation agrees with what the code declares."""

import importlib
import pathlib
import pkgutil
import re
import shlex

import click
import pytest

import cranberryglade
from cranberryglade import wire
from cranberryglade.tools import commands
from cranberryglade.tools import reference

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted((ROOT / "docs").glob("*.md"))
LINK = re.compile(r"\]\(([\w./-]+)(?:#[\w-]+)?\)")
EXCLUDED_PACKAGES = ("cranberryglade.standins", "cranberryglade.tools")


def documents():
    """Returns the names of the message types sent between processes.

    Those of the stand-ins and tools are left out.
    """
    for module in pkgutil.walk_packages(
        cranberryglade.__path__, "cranberryglade."
    ):
        if "tests" not in module.name:
            importlib.import_module(module.name)
    found = [wire.Document]
    for kind in found:
        found += kind.__subclasses__()
    return {
        f"{kind.__module__.removeprefix('cranberryglade.')}.{kind.__name__}"
        for kind in found[1:]
        if not kind.__module__.startswith(EXCLUDED_PACKAGES)
    }


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_generated_tables_are_up_to_date(page):
    text = page.read_text(encoding="utf-8")
    assert reference.rewrite(text) == text, "run make docs"


def test_every_message_and_field_is_described():
    text = (ROOT / "docs" / "interfaces.md").read_text(encoding="utf-8")
    described = reference.messages_in(text)
    assert documents() - described == set()
    missing = {}
    for name in described:
        found = reference.load_message(name)
        fields = {row.name for row in reference.field_rows(found)}
        missing[name] = fields - reference.field_meanings(found).keys()
    assert {n: f for n, f in missing.items() if f} == {}


def test_every_option_says_what_it_is_for():
    for sections in reference.OPTIONS.values():
        for section, declared in sections.items():
            for option in declared:
                assert option.about, (section, option.name)


def test_links_point_to_existing_files():
    for page in [ROOT / "README.md", *PAGES]:
        text = page.read_text(encoding="utf-8")
        for target in LINK.findall(text):
            assert (page.parent / target).exists(), (page.name, target)


def shown_command_lines():
    """Yields the command lines on pages and in help texts."""
    texts = [page.read_text(encoding="utf-8") for page in PAGES]
    texts += [command.help or "" for command in walk_commands(commands.main)]
    for text in texts:
        joined = text.replace("\\\n", " ")
        yield from re.findall(r"^ {2,4}cranberryglade (.*)$", joined, re.M)


def walk_commands(command):
    yield command
    for inner in getattr(command, "commands", {}).values():
        yield from walk_commands(inner)


def test_documented_command_lines_are_valid():
    command_lines = list(shown_command_lines())
    assert len(command_lines) > 20
    for line in command_lines:
        words = shlex.split(line, comments=True)
        command = commands.main
        while isinstance(command, click.Group):
            command = command.commands[words.pop(0)]
        known_flags = {
            name for option in command.params for name in option.opts
        }
        flags = {word for word in words if word.startswith("--")}
        assert flags <= known_flags, line
