"""The command line against running processes, and its exit codes."""

import json
import threading

import click
from click import testing
import pytest

from cranberryglade.tests import support
from cranberryglade.tools import commands
from cranberryglade.tools import output
from cranberryglade.tools import sections


@pytest.fixture(scope="module")
def served(tmp_path_factory):
    with support.deployment(tmp_path_factory.mktemp("commands")) as deployment:
        deployment.endpoint("engine", "engine-1", "assistant")
        service = deployment.endpoint("service", "lists-1", "lists")
        daemons = [deployment.daemon("entry-1"), deployment.daemon("entry-2")]
        for daemon in daemons:
            support.eventually(
                lambda d=daemon: (
                    support.status(d)["peers"]
                    and len(support.status(d)["targets"]) == 2
                )
            )
        yield deployment, service, daemons


def run(daemon, *arguments, token=support.OPERATOR_TOKEN):
    variables = {
        output.ADDRESS_VARIABLE: daemon.address,
        output.TOKEN_VARIABLE: token,
    }
    return testing.CliRunner().invoke(
        commands.main, [str(item) for item in arguments], env=variables
    )


def ask(daemon, *arguments):
    return run(daemon, *arguments, token=support.ORGANISATION_TOKEN)


def test_every_command_has_help_and_most_have_examples():
    def walk(command, path):
        yield command, path
        for name, inner in getattr(command, "commands", {}).items():
            yield from walk(inner, [*path, name])

    found = list(walk(commands.main, []))
    assert len(found) > 30
    for command, path in found:
        result = testing.CliRunner().invoke(commands.main, [*path, "--help"])
        assert result.exit_code == 0, path
        assert command.help, path
        for option in command.params:
            if isinstance(option, click.Option):
                assert option.help, (path, option.name)


def test_submit_prints_the_answer_whole_or_streamed(served):
    _, _, (first, second) = served
    question = ("submit", "counter-question", "--prompt=hi", "--max-tokens=3")
    for daemon in (first, second):
        for flags in ((), ("--stream",)):
            result = ask(daemon, *question, *flags)
            assert (result.exit_code, result.stdout) == (0, "w0 w1 w2 \n")
    result = ask(first, *question, "--json")
    assert json.loads(result.stdout)["answer"]["tokens"] == 3


def test_a_key_or_ticket_runs_once_at_any_instance(served):
    deployment, service, (first, second) = served
    before = sum(deployment.runs(service).values())
    ticket = ask(first, "tickets").stdout.strip()
    for flag in ("--key=till-9", f"--ticket={ticket}"):
        for daemon in (first, second):
            result = ask(
                daemon, "submit", "reservation", "--payload", "{}", flag
            )
            assert result.exit_code == 0, result.output
    assert sum(deployment.runs(service).values()) == before + 2


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (("submit", "nothing"), 3, "not_run: unknown_kind"),
        (("submit", "reservation", "--payload", "["), 2, "--payload"),
        (("submit", "reservation", "--key=a", "--ticket=b"), 2, "not both"),
        (("submit", "reservation", "--ticket=made.up"), 3, "malformed"),
        (("submit", "--address=127.0.0.1:1", "reservation"), 3, "not answer"),
        (("status",), 1, "unauthenticated"),
        (("status", "--address=127.0.0.1:1"), 1, "nothing was sent"),
        (("explain", "unknown"), 1, "unknown_request"),
        (("drain",), 2, "Missing argument"),
        (("nonsense",), 2, "No such command"),
        (("tier", "add", "Bad Name", "--rank=1"), 2, "allowed is"),
        (("config", "check", "/does/not/exist"), 2, "/does/not/exist"),
    ],
)
def test_exit_codes_tell_the_truth(served, arguments, code, said):
    _, _, (first, _) = served
    result = ask(first, *arguments)
    assert (result.exit_code, said in result.output) == (code, True), (
        result.exit_code,
        result.output,
    )


def test_a_lost_answer_may_have_run_and_is_not_sent_again(served):
    deployment, service, (first, _) = served
    before = sum(deployment.runs(service).values())
    deployment.faults(service, {"accept_and_die": True})
    try:
        result = ask(first, "submit", "reservation", "--payload", "{}")
    finally:
        deployment.faults(service, {})
    assert result.exit_code == output.EXIT_MAY_HAVE_RUN, result.output
    assert "not sent again" in result.output
    assert sum(deployment.runs(service).values()) == before + 1


def test_a_refusal_that_says_when_to_return_is_followed(served):
    deployment, _, (first, _) = served
    added = run(first, "rule", "add", "late", "--target=late", "--tier=counter")
    assert added.exit_code == 0, added.output
    support.eventually(lambda: "late" in run(first, "rule", "list").stdout)
    joins = threading.Timer(
        0.1, deployment.endpoint, ("service", "late-1", "late")
    )
    joins.start()
    result = ask(first, "submit", "late", "--payload={}", "--patience=20")
    joins.join()
    assert result.exit_code == 0, result.output
    assert "not run: no_endpoint; again in" in result.output


def test_a_dead_endpoint_behind_the_home_means_not_run(served):
    deployment, _, (first, second) = served
    deployment.listed("dead-1", "service", "127.0.0.1:1", "wien-a", "dead")
    run(first, "rule", "add", "dead", "--target=dead", "--tier=counter")
    for daemon in (first, second):
        support.eventually(
            lambda d=daemon: (
                "dead" in run(d, "rule", "list").stdout
                and "dead-1" in run(d, "endpoints").stdout
            )
        )
    ticket = ask(first, "tickets").stdout.strip()
    for daemon in (first, second):
        result = ask(
            *(daemon, "submit", "dead", "--payload={}", "--patience=0"),
            f"--ticket={ticket}",
        )
        assert result.exit_code == output.EXIT_NOT_RUN, result.output


def test_status_and_endpoints_show_the_deployment(served):
    _, _, (first, _) = served
    found = json.loads(run(first, "status", "--json").stdout)
    assert (found["instance"], found["peers"]) == ("entry-1", ["entry-2"])
    assert "entry-2" in run(first, "status").stdout
    listed = json.loads(run(first, "endpoints", "--json").stdout)
    assert {row["name"] for row in listed} >= {"engine-1", "lists-1"}
    assert "engine-1" in run(first, "endpoints").stdout


def test_an_explanation_follows_a_request_over_its_instances(served):
    _, _, (first, second) = served
    ticket = ask(first, "tickets").stdout.strip()
    ask(second, "submit", "reservation", "--payload={}", f"--ticket={ticket}")
    by_owner = ask(second, "explain", ticket)
    by_operator = run(first, "explain", ticket, "--json")
    assert "forwarded -> entry-1" in by_owner.output
    assert "dispatched -> lists-1" in by_owner.output
    found = json.loads(by_operator.stdout)
    assert (found["verdict"], len(found["hops"])) == ("ran", 1)


def test_an_explanation_of_a_joined_key_leads_to_its_holder(served):
    _, _, (first, second) = served
    sent = ("submit", "reservation", "--payload={}", "--key=till-10", "--json")
    holder, joined = (
        json.loads(ask(daemon, *sent).stdout)["request_id"]
        for daemon in (first, second)
    )
    explained = ask(second, "explain", joined).output
    assert f"relayed -> {holder}" in explained
    assert "dispatched -> lists-1" in explained


def test_an_instance_that_is_entry_and_delegate_is_explained_once(served):
    deployment, _, (first, second) = served
    home = deployment.daemon("entry-9", domain="wien-z")
    support.eventually(
        lambda: (
            len(support.status(home)["peers"]) == 2
            and "entry-9" in support.status(first)["peers"]
            and "entry-9" in support.status(second)["peers"]
        )
    )
    ticket = ask(home, "tickets").stdout.strip()
    support.eventually(
        lambda: (
            ask(
                first,
                "submit",
                "reservation",
                "--payload={}",
                f"--ticket={ticket}",
            ).exit_code
            == 0
        )
    )
    hops = json.loads(run(first, "explain", ticket, "--json").stdout)["hops"]
    names = [hop["instance"] for hop in hops]
    assert "entry-9" in names
    assert len(names) == len(set(names)), names
    home.kill()


def test_watch_shows_the_decisions_asked_for(served):
    _, _, (first, _) = served
    sender = threading.Timer(
        0.5, support.submit, (first, {"kind": "reservation", "payload": {}})
    )
    sender.start()
    result = run(
        *(first, "watch", "--decision=dispatched", "--count=1", "--json"),
        "--organisation=store-1",
    )
    sender.join()
    fact = json.loads(result.stdout)
    assert (fact["decision"], fact["subject"]) == ("dispatched", "lists-1")


def test_changes_are_proposed_and_come_into_force(served):
    _, _, (first, _) = served
    steps = [
        ("tier", "add", "night", "--rank=3"),
        ("tier", "change", "night", "--first-token-ms=900"),
        ("organisation", "add", "store-9"),
        ("rule", "add", "audit", "--target=lists", "--tier=night"),
        ("rule", "change", "audit", "--idempotent=yes"),
    ]
    for step in steps:
        result = run(first, *step, "--json")
        assert result.exit_code == 0, result.output
    rows = json.loads(run(first, "rule", "list", "--json").stdout)
    assert rows["audit"]["idempotent"] == "yes"
    assert "night" in run(first, "tier", "list").stdout
    twice = run(first, "tier", "add", "night", "--rank=4")
    assert twice.exit_code == output.EXIT_CONFLICT, twice.output
    wrong = run(first, "rule", "change", "audit", "--tier=gold")
    assert wrong.exit_code == output.EXIT_INVALID
    assert "one of counter" in wrong.output


def test_a_change_that_meets_a_conflict_tries_again(served, monkeypatch):
    _, _, (first, _) = served
    assert run(first, "tier", "add", "early", "--rank=5").exit_code == 0
    raced = []
    replace = sections.replace

    def other_operator_first(text, section, values):
        if not raced:
            raced.append(section)
            run(first, "tier", "change", other, "--first-token-ms=77")
        return replace(text, section, values)

    monkeypatch.setattr(sections, "replace", other_operator_first)
    other = "counter"
    result = run(first, "tier", "change", "early", "--rank=6")
    assert (result.exit_code, "trying again" in result.output) == (0, True)
    raced.clear()
    other = "early"
    result = run(first, "tier", "change", "early", "--rank=7")
    assert result.exit_code == output.EXIT_CONFLICT, result.output
    assert "another operator" in result.output


def test_config_show_check_and_propose_agree(served, tmp_path):
    _, _, (first, _) = served
    shown = json.loads(run(first, "config", "show", "--json").stdout)
    path = tmp_path / "next.ini"
    path.write_text(shown["value"] + "\n; a remark\n")
    assert run(first, "config", "check", path).exit_code == 0
    stale = shown["version"] - 1
    result = run(first, "config", "propose", path, "--expected-version", stale)
    assert result.exit_code == output.EXIT_CONFLICT, result.output
    result = run(first, "config", "propose", path, "--json")
    assert json.loads(result.stdout)["version"] == shown["version"] + 1
    path.write_text("[tier a]\nrank = x\n")
    assert run(first, "config", "check", path).exit_code == 2
    result = run(first, "config", "propose", path)
    assert (result.exit_code, "rank = x" in result.output) == (2, True)


def test_a_change_whose_answer_is_lost_is_made_once(served):
    deployment, _, (first, _) = served
    before = json.loads(run(first, "config", "show", "--json").stdout)
    deployment.faults(
        deployment.platform, {"lag_seconds": 0.0, "lose_answers": 1}
    )
    result = run(first, "tier", "add", "once", "--rank=8", "--json")
    assert result.exit_code == 0, result.output
    assert json.loads(result.stdout)["version"] == before["version"] + 1
    entries = json.loads(run(first, "config", "history", "--json").stdout)
    newest = entries[-1]
    assert newest["version"] == before["version"] + 1
    assert (newest["operator"], "T" in newest["accepted_at"]) == ("ops", True)
    assert "accepted at" in run(first, "config", "history").stdout


def test_orders_and_drains_name_what_they_cannot_do(served):
    _, _, (first, _) = served
    done = run(first, "order", "engine-1", "load", "adapter-7", "--json")
    assert done.exit_code == 0, done.output
    assert json.loads(done.stdout)["fencing_number"] > 0
    for command in (("drain", "nobody"), ("order", "nobody", "drain")):
        result = run(first, *command)
        assert (result.exit_code, "nobody" in result.output) == (1, True)
    assert run(first, "drain", "engine-1").exit_code == 0
    rows = json.loads(run(first, "endpoints", "--json").stdout)
    leaving = {row["name"] for row in rows if row["leaving"]}
    assert leaving == {"engine-1"}


def test_a_request_that_has_run_cannot_be_withdrawn(served):
    _, _, (first, second) = served
    sent = ask(first, "submit", "reservation", "--payload={}", "--json")
    ran = json.loads(sent.stdout)["request_id"]
    assert ask(second, "cancel", ran).exit_code == output.EXIT_DONE
    result = ask(second, "cancel", "made.up")
    assert result.exit_code == output.EXIT_NOT_RUN, result.output
