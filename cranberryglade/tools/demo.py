"""The command that sends a mixed load and reports its results."""

import asyncio
import dataclasses
import pathlib
import time

import click
from returns.result import Failure
from returns.result import Success

from cranberryglade import explanations
from cranberryglade import operators
from cranberryglade import wire
from cranberryglade.tools import client
from cranberryglade.tools import explanation_text
from cranberryglade.tools import load
from cranberryglade.tools import output
from cranberryglade.tools import questions
from cranberryglade.tools import report

START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.2
DEFAULT_SEED = 7
EXPLANATION_CANDIDATES = 100
ANSWERS_FILE = "answers.ini"
RATES_PER_SECOND = {"none": 5.0, "short": 6.0, "long": 1.0}
PROMPT_TOKENS = {"none": (0, 0), "short": (20, 400), "long": (1000, 6000)}
MAX_TOKENS = {"none": (0, 0), "short": (5, 60), "long": (100, 400)}


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A running deployment that receives the load.

    Attributes:
        answers: the questionnaire answers that it was generated from.
        balancer: chooses its instances.
        caller: sends its load.
    """

    answers: questions.Answers
    balancer: load.Balancer
    caller: load.Caller


@click.command()
@click.option(
    "--deployment",
    "directories",
    multiple=True,
    required=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory with the answers of a running deployment; repeatable.",
)
@click.option(
    "--runs",
    required=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory with the runs files of the stand-ins (*.runs).",
)
@click.option(
    "--seconds", default=15.0, show_default=True, help="Duration of the load."
)
@click.option(
    "--seed", default=DEFAULT_SEED, show_default=True, help="Seed of the load."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def demo(
    directories: tuple[pathlib.Path, ...],
    runs: pathlib.Path,
    seconds: float,
    seed: int,
    as_json: bool,
) -> None:
    """Sends a mixed load to running deployments and reports its results.

    Exits with 1 if a once-only request ran twice or if a request reported as
    not run did run, as counted at the endpoints. tools/demo.sh starts all
    programs that it needs.
    """
    found, explanation = asyncio.run(
        _run_demo(directories, runs, seconds, seed)
    )
    if as_json:
        output.print_json(found)
    else:
        click.echo("\n" + report.describe(found))
        if explanation is not None:
            click.echo("\nOne request explained")
            click.echo(explanation_text.describe(explanation))
    if found.violated:
        raise SystemExit(output.EXIT_FAILED)


async def _run_demo(directories, runs, seconds, seed):
    deployments = [
        _read_deployment(directory, seed + index)
        for index, directory in enumerate(directories)
    ]
    await asyncio.gather(*(_wait_until_serving(d) for d in deployments))
    output.print_note(f"load begins, for {seconds:.0f} s")
    async with asyncio.TaskGroup() as tasks:
        checks = [tasks.create_task(d.balancer.run()) for d in deployments]
        progress = tasks.create_task(_print_progress(deployments))
        await asyncio.gather(*(_send_load(d, seconds) for d in deployments))
        for task in (*checks, progress):
            task.cancel()
    results = {d.answers.deployment: d.caller.results for d in deployments}
    found = report.evaluate(results, report.read_runs(runs))
    explanation = await _explain(deployments)
    for deployment in deployments:
        await deployment.caller.close()
    return found, explanation


def _read_deployment(directory: pathlib.Path, seed: int) -> Deployment:
    path = directory / ANSWERS_FILE
    text = output.read_file(path)
    match questions.parse(text, str(path)):
        case Success(answers):
            addresses = [i.caller_address for i in answers.instances]
            balancer = load.Balancer(addresses)
            caller = load.Caller(answers.deployment, balancer, seed)
            return Deployment(answers, balancer, caller)
        case Failure(problems):
            text = "\n".join(map(str, problems))
            raise output.CommandError(text, output.EXIT_INVALID)


async def _wait_until_serving(deployment: Deployment) -> None:
    answers = deployment.answers
    token = answers.operators[0].token
    targets = {request.target for request in answers.requests}
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    pending = {i.caller_address for i in answers.instances}
    while pending:
        if time.monotonic() > deadline:
            raise output.CommandError(
                f"not serving in time: {', '.join(sorted(pending))}"
            )
        for address in list(pending):
            if await _is_serving(
                address, token, targets, len(answers.instances)
            ):
                pending.discard(address)
        await asyncio.sleep(POLL_SECONDS)


async def _is_serving(
    address: str, token: str, targets: set[str], instances: int
) -> bool:
    async with client.Client(address, token) as http_client:
        result = await http_client.call(
            "GET", "/v1/operators/status", timeout_seconds=1.0
        )
    if not isinstance(result, Success) or result.unwrap().status != 200:
        return False
    status = wire.decode(result.unwrap().body, operators.StatusDocument)
    peers = status.map(lambda s: len(s.peers)).value_or(0)
    return peers >= instances - 1


async def _send_load(deployment: Deployment, seconds: float) -> None:
    kinds = _load_kinds(deployment.answers)
    caller = deployment.caller
    await asyncio.gather(*(caller.run(kind, seconds) for kind in kinds))


def _load_kinds(answers: questions.Answers) -> list[load.Kind]:
    kinds = []
    tiers = {tier.name: tier for tier in answers.tiers}
    for index, request in enumerate(answers.requests):
        organisation = answers.organisations[index % len(answers.organisations)]
        length = request.answer
        deadline_ms = request.deadline_ms or questions.DEADLINES_MS[length]
        kinds.append(
            load.Kind(
                request.name,
                request.tier,
                organisation.name,
                organisation.token,
                RATES_PER_SECOND[length],
                min(deadline_ms / 1000, START_TIMEOUT_SECONDS),
                tiers[request.tier].first_token_ms / 1000,
                not request.repeatable,
                length == "none",
                PROMPT_TOKENS[length],
                MAX_TOKENS[length],
            )
        )
    return kinds


async def _print_progress(deployments: list[Deployment]) -> None:
    while True:
        await asyncio.sleep(2.0)
        for deployment in deployments:
            results = deployment.caller.results
            done = [r for r in results if r.seconds]
            good = sum(r.in_time for r in done)
            output.print_note(
                f"  {deployment.answers.deployment}: {len(results)} sent, "
                f"{len(done)} ended, {good} in time, "
                f"{len(deployment.balancer.ready)} instances ready"
            )


async def _explain(
    deployments: list[Deployment],
) -> explanations.ExplanationDocument | None:
    """Returns the explanation with the most hops among the latest requests.

    Of each deployment, those of the last EXPLANATION_CANDIDATES requests that
    ran are considered; explanations with as many hops are compared by their
    facts.
    """
    best = None
    for deployment in deployments:
        await deployment.balancer.check_readiness()
        token = deployment.answers.operators[0].token
        for result in deployment.caller.results[-EXPLANATION_CANDIDATES:]:
            if result.verdict != "ran" or not deployment.balancer.ready:
                continue
            address = deployment.balancer.choose()
            found = await _fetch_explanation(address, token, result.request_id)
            if found is not None and _detail(found) > _detail(best):
                best = found
    return best


def _detail(
    found: explanations.ExplanationDocument | None,
) -> tuple[int, int]:
    if found is None:
        return 0, 0
    hops = [hop for hop in found.hops if hop.facts]
    return len(hops), sum(len(hop.facts) for hop in hops)


async def _fetch_explanation(address: str, token: str, request_id: str):
    path = f"/v1/requests/{request_id}/explanation"
    async with client.Client(address, token) as http_client:
        result = await http_client.call("GET", path, timeout_seconds=2.0)
    if not isinstance(result, Success) or result.unwrap().status != 200:
        return None
    document = explanations.ExplanationDocument
    return wire.decode(result.unwrap().body, document).value_or(None)
