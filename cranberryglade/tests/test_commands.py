"""Tests of the commands and their exit codes against running processes."""

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
def cluster(tmp_path_factory):
    with support.deployment(tmp_path_factory.mktemp("commands")) as deployment:
        deployment.start_endpoint("engine", "engine-1", "assistant")
        service = deployment.start_endpoint("service", "lists-1", "lists")
        daemons = [
            deployment.start_daemon("entry-1"),
            deployment.start_daemon("entry-2"),
        ]
        for daemon in daemons:
            support.wait_until(
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


def run_as_organisation(daemon, *arguments):
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


def test_submit_prints_the_answer_whole_or_streamed(cluster):
    _, _, (first, second) = cluster
    arguments = ("submit", "counter-question", "--prompt=hi", "--max-tokens=3")
    for daemon in (first, second):
        for flags in ((), ("--stream",)):
            result = run_as_organisation(daemon, *arguments, *flags)
            assert (result.exit_code, result.stdout) == (0, "w0 w1 w2 \n")
    result = run_as_organisation(first, *arguments, "--json")
    assert json.loads(result.stdout)["answer"]["tokens"] == 3


def test_a_key_or_ticket_runs_once_at_any_instance(cluster):
    deployment, service, (first, second) = cluster
    before = sum(deployment.runs(service).values())
    ticket = run_as_organisation(first, "tickets").stdout.strip()
    for flag in ("--key=till-9", f"--ticket={ticket}"):
        for daemon in (first, second):
            result = run_as_organisation(
                daemon, "submit", "reservation", "--payload", "{}", flag
            )
            assert result.exit_code == 0, result.output
    assert sum(deployment.runs(service).values()) == before + 2


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
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
def test_exit_codes_match_the_outcome(cluster, arguments, code, expected):
    _, _, (first, _) = cluster
    result = run_as_organisation(first, *arguments)
    assert (result.exit_code, expected in result.output) == (code, True), (
        result.exit_code,
        result.output,
    )


def test_a_lost_answer_may_have_run_and_is_not_sent_again(cluster):
    deployment, service, (first, _) = cluster
    before = sum(deployment.runs(service).values())
    deployment.set_faults(service, {"accept_and_die": True})
    try:
        result = run_as_organisation(
            first, "submit", "reservation", "--payload", "{}"
        )
    finally:
        deployment.set_faults(service, {})
    assert result.exit_code == output.EXIT_MAY_HAVE_RUN, result.output
    assert "not sent again" in result.output
    assert sum(deployment.runs(service).values()) == before + 1


def test_a_refusal_with_a_retry_delay_is_retried(cluster):
    deployment, _, (first, _) = cluster
    added = run(first, "rule", "add", "late", "--target=late", "--tier=counter")
    assert added.exit_code == 0, added.output
    support.wait_until(lambda: "late" in run(first, "rule", "list").stdout)
    joiner = threading.Timer(
        0.1, deployment.start_endpoint, ("service", "late-1", "late")
    )
    joiner.start()
    result = run_as_organisation(
        first, "submit", "late", "--payload={}", "--patience=20"
    )
    joiner.join()
    assert result.exit_code == 0, result.output
    assert "not run: no_endpoint; again in" in result.output


def test_an_unreachable_endpoint_of_the_home_gives_not_run(cluster):
    deployment, _, (first, second) = cluster
    deployment.register("dead-1", "service", "127.0.0.1:1", "wien-a", "dead")
    run(first, "rule", "add", "dead", "--target=dead", "--tier=counter")
    for daemon in (first, second):
        support.wait_until(
            lambda d=daemon: (
                "dead" in run(d, "rule", "list").stdout
                and "dead-1" in run(d, "endpoints").stdout
            )
        )
    ticket = run_as_organisation(first, "tickets").stdout.strip()
    for daemon in (first, second):
        result = run_as_organisation(
            *(daemon, "submit", "dead", "--payload={}", "--patience=0"),
            f"--ticket={ticket}",
        )
        assert result.exit_code == output.EXIT_NOT_RUN, result.output


def test_status_and_endpoints_show_the_deployment(cluster):
    _, _, (first, _) = cluster
    found = json.loads(run(first, "status", "--json").stdout)
    assert (found["instance"], found["peers"]) == ("entry-1", ["entry-2"])
    assert "entry-2" in run(first, "status").stdout
    listed = json.loads(run(first, "endpoints", "--json").stdout)
    assert {row["name"] for row in listed} >= {"engine-1", "lists-1"}
    assert "engine-1" in run(first, "endpoints").stdout


def test_an_explanation_follows_a_request_over_its_instances(cluster):
    _, _, (first, second) = cluster
    ticket = run_as_organisation(first, "tickets").stdout.strip()
    run_as_organisation(
        second, "submit", "reservation", "--payload={}", f"--ticket={ticket}"
    )
    by_owner = run_as_organisation(second, "explain", ticket)
    by_operator = run(first, "explain", ticket, "--json")
    assert "forwarded -> entry-1" in by_owner.output
    assert "dispatched -> lists-1" in by_owner.output
    found = json.loads(by_operator.stdout)
    assert (found["verdict"], len(found["hops"])) == ("ran", 1)


def test_an_explanation_of_a_joined_key_includes_its_first_request(cluster):
    _, _, (first, second) = cluster
    arguments = (
        "submit",
        "reservation",
        "--payload={}",
        "--key=till-10",
        "--json",
    )
    holder, joined = (
        json.loads(run_as_organisation(daemon, *arguments).stdout)["request_id"]
        for daemon in (first, second)
    )
    explained = run_as_organisation(second, "explain", joined).output
    assert f"relayed -> {holder}" in explained
    assert "dispatched -> lists-1" in explained


def test_an_instance_that_is_entry_and_delegate_is_explained_once(cluster):
    deployment, _, (first, second) = cluster
    home = deployment.start_daemon("entry-9", domain="wien-z")
    support.wait_until(
        lambda: (
            len(support.status(home)["peers"]) == 2
            and "entry-9" in support.status(first)["peers"]
            and "entry-9" in support.status(second)["peers"]
        )
    )
    ticket = run_as_organisation(home, "tickets").stdout.strip()
    support.wait_until(
        lambda: (
            run_as_organisation(
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


def test_watch_filters_decisions(cluster):
    _, _, (first, _) = cluster
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


def test_changes_are_proposed_and_come_into_force(cluster):
    _, _, (first, _) = cluster
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
    conflict = run(first, "tier", "add", "night", "--rank=4")
    assert conflict.exit_code == output.EXIT_CONFLICT, conflict.output
    invalid = run(first, "rule", "change", "audit", "--tier=gold")
    assert invalid.exit_code == output.EXIT_INVALID
    assert "one of counter" in invalid.output


def test_a_change_is_retried_after_a_conflict(cluster, monkeypatch):
    _, _, (first, _) = cluster
    assert run(first, "tier", "add", "early", "--rank=5").exit_code == 0
    raced = []
    replace = sections.replace

    def replace_after_other_operator(text, section, values):
        if not raced:
            raced.append(section)
            run(first, "tier", "change", other, "--first-token-ms=77")
        return replace(text, section, values)

    monkeypatch.setattr(sections, "replace", replace_after_other_operator)
    other = "counter"
    result = run(first, "tier", "change", "early", "--rank=6")
    assert (result.exit_code, "trying again" in result.output) == (0, True)
    raced.clear()
    other = "early"
    result = run(first, "tier", "change", "early", "--rank=7")
    assert result.exit_code == output.EXIT_CONFLICT, result.output
    assert "another operator" in result.output


def test_config_show_check_and_propose_agree(cluster, tmp_path):
    _, _, (first, _) = cluster
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


def test_a_change_whose_answer_is_lost_is_made_once(cluster):
    deployment, _, (first, _) = cluster
    before = json.loads(run(first, "config", "show", "--json").stdout)
    deployment.set_faults(
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


def test_orders_and_drains_report_an_unknown_endpoint(cluster):
    _, _, (first, _) = cluster
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


def test_a_request_that_has_run_cannot_be_cancelled(cluster):
    _, _, (first, second) = cluster
    submitted = run_as_organisation(
        first, "submit", "reservation", "--payload={}", "--json"
    )
    request_id = json.loads(submitted.stdout)["request_id"]
    assert (
        run_as_organisation(second, "cancel", request_id).exit_code
        == output.EXIT_DONE
    )
    result = run_as_organisation(second, "cancel", "made.up")
    assert result.exit_code == output.EXIT_NOT_RUN, result.output
