"""Tests of the questionnaire and of the samples that it generates."""

import hashlib
import json
import pathlib

from click import testing
import pytest

from cranberryglade import configuration
from cranberryglade import settings
from cranberryglade.tools import commands
from cranberryglade.tools import questions

SAMPLES = pathlib.Path(__file__).parents[2] / "samples"
DEPLOYMENTS = ("tulikalpa", "werkliste")
MINIMAL = """
[deployment]
name = shop
[tier only]
rank = 0
[request ask]
target = model-a
tier = only
[organisation one]
[operator ops]
"""


def run(*arguments, typed=None):
    return testing.CliRunner().invoke(
        commands.main, ["questionnaire", *map(str, arguments)], input=typed
    )


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_samples_are_what_their_answers_generate(deployment, tmp_path):
    committed = SAMPLES / deployment
    answers = committed / "answers.ini"
    result = run("--answers", answers, "--output", tmp_path)
    assert result.exit_code == 0, result.output
    assert "Tokens" not in result.output
    names = {path.name for path in tmp_path.iterdir()}
    assert names == {"configuration.ini"} | {
        f"entry-{number}.ini" for number in (1, 2, 3)
    }
    for name in names:
        generated = (tmp_path / name).read_text()
        assert generated == (committed / name).read_text(), name
        if name != "configuration.ini":
            assert settings.parse(generated, name).unwrap()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_the_samples_declare_once_only_rules(deployment):
    text = (SAMPLES / deployment / "configuration.ini").read_text()
    parsed = configuration.parse(text, 1).unwrap()
    once = {rule.name for rule in parsed.rules.values() if not rule.idempotent}
    expected = {
        "tulikalpa": ("goodput", {"commission-brief", "deposit"}),
        "werkliste": (
            "prefill",
            {"counter-question", "reservation", "deposit"},
        ),
    }
    assert (parsed.weighs, once) == expected[deployment]


def test_json_and_ini_answers_are_equivalent(tmp_path):
    path = SAMPLES / "werkliste" / "answers.ini"
    read = questions.parse(path.read_text(), "answers").unwrap()
    as_json = {
        "deployment": {"name": read.deployment, "weighs": read.weighs},
        "platform": {"address": read.platform_address},
        "keys": {"peer": read.peer_key, "ticket": read.ticket_key},
    }
    for kind in questions.NAMED_SECTIONS:
        items = getattr(read, f"{kind}s")
        as_json[kind] = {
            item.name: {
                option.name: getattr(item, option.name)
                for option in questions.NAMED_SECTIONS[kind]
            }
            for item in items
        }
    assert questions.parse(json.dumps(as_json), "answers").unwrap() == read


def test_generated_tokens_are_printed_once_and_stored_as_digests(tmp_path):
    path = tmp_path / "answers.ini"
    path.write_text(MINIMAL)
    result = run("--answers", path, "--output", tmp_path, "--json")
    made_up = {
        secret["section"]: secret["token"]
        for secret in json.loads(result.output)["secrets"]
    }
    assert made_up.keys() == {"organisation one", "operator ops"}
    text = (tmp_path / "configuration.ini").read_text()
    for token in made_up.values():
        assert token not in text
        assert hashlib.sha256(token.encode()).hexdigest() in text
    again = run("--answers", path, "--output", tmp_path)
    assert again.exit_code == 1
    assert "--force" in again.output


def test_interactive_answers_generate_a_valid_configuration(tmp_path):
    typed = [
        *("shop", "speed", "prefill"),
        *("assistant", "model", "yes", "till", "service", "no", ""),
        *("fast", "0", "510", "slow", "one", "1", "5000", ""),
        *("", "ask", "nobody", "assistant", "fast", "no", "short", "0"),
        *("pay", "till", "fast", "no", "none", "0", ""),
        *("one", "2", ""),
        *("ops", ""),
        *("entry-1", "zone-a", "127.0.0.1:8080", "127.0.0.1:8081", ""),
        "127.0.0.1:8090",
    ]
    result = run("--output", tmp_path, typed="\n".join(typed) + "\n")
    assert result.exit_code == 0, result.output
    assert result.output.count("allowed is") == 4, result.output
    text = (tmp_path / "configuration.ini").read_text()
    parsed = configuration.parse(text, 1).unwrap()
    assert parsed.rules["pay"].max_tokens == 0
    assert not parsed.rules["pay"].idempotent
    assert settings.parse((tmp_path / "entry-1.ini").read_text(), "").unwrap()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[deployment", "INI text"),
        ("{", "JSON text"),
        ('{"tier": 3}', "an object"),
        ('{"tier": {"a": 3}}', "[tier a]"),
        (MINIMAL.replace("tier = only", "tier = gold"), "one of only"),
        (MINIMAL.replace("name = shop", "name = S H"), "name = S H"),
        (MINIMAL + "[organisation two]\ntoken = short\n", "token = (hidden)"),
        (MINIMAL + "[colour red]\n", "[colour red] = (unknown)"),
        ("[deployment]\nname = a\n", "[tier NAME] = (missing)"),
    ],
)
def test_invalid_answers_are_reported(text, expected, tmp_path):
    path = tmp_path / "answers.ini"
    path.write_text(text)
    result = run("--answers", path, "--output", tmp_path)
    assert result.exit_code == 2, result.output
    assert expected in result.output
    assert not (tmp_path / "configuration.ini").exists()
