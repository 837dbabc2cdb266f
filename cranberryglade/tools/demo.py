"""The command that drives a mixed load and reports what became of it."""

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
from cranberryglade.tools import describing
from cranberryglade.tools import load
from cranberryglade.tools import output
from cranberryglade.tools import questions
from cranberryglade.tools import report

START_SECONDS = 20.0
POLL_SECONDS = 0.2
SEED = 7
EXPLAINED = 100
ANSWERS_FILE = "answers.ini"
RATES_PER_SECOND = {"none": 5.0, "short": 6.0, "long": 1.0}
PROMPT_TOKENS = {"none": (0, 0), "short": (20, 400), "long": (1000, 6000)}
MAX_TOKENS = {"none": (0, 0), "short": (5, 60), "long": (100, 400)}


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A running deployment that the load is sent to.

    Attributes:
        answers: the answers that it was generated from.
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
@click.option("--seconds", default=15.0, show_default=True, help="Of load.")
@click.option("--seed", default=SEED, show_default=True, help="Of the load.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def demo(
    directories: tuple[pathlib.Path, ...],
    runs: pathlib.Path,
    seconds: float,
    seed: int,
    as_json: bool,
) -> None:
    """Drives a mixed load against running deployments and reports on it.

    Exits with 1 if a once-only request ran twice or if one that was reported
    as not run had run, counted at the endpoints. tools/demo.sh starts all that
    it needs.
    """
    found, explanation = asyncio.run(
        _demonstrate(directories, runs, seconds, seed)
    )
    if as_json:
        output.print_json(found)
    else:
        click.echo("\n" + report.describe(found))
        if explanation is not None:
            click.echo("\nOne request explained")
            click.echo(describing.describe(explanation))
    if found.violated:
        raise SystemExit(output.EXIT_FAILED)


async def _demonstrate(directories, runs, seconds, seed):
    deployments = [
        _deployment(directory, seed + index)
        for index, directory in enumerate(directories)
    ]
    await asyncio.gather(*(_started(d) for d in deployments))
    output.note(f"load begins, for {seconds:.0f} s")
    async with asyncio.TaskGroup() as watching:
        checks = [watching.create_task(d.balancer.run()) for d in deployments]
        progress = watching.create_task(_progress(deployments))
        await asyncio.gather(*(_load(d, seconds) for d in deployments))
        for task in (*checks, progress):
            task.cancel()
    results = {d.answers.deployment: d.caller.results for d in deployments}
    found = report.evaluate(results, report.read_runs(runs))
    explanation = await _explain(deployments)
    for deployment in deployments:
        await deployment.caller.close()
    return found, explanation


def _deployment(directory: pathlib.Path, seed: int) -> Deployment:
    path = directory / ANSWERS_FILE
    text = output.read_file(path)
    match questions.read(text, str(path)):
        case Success(answers):
            addresses = [i.caller_address for i in answers.instances]
            balancer = load.Balancer(addresses)
            caller = load.Caller(answers.deployment, balancer, seed)
            return Deployment(answers, balancer, caller)
        case Failure(problems):
            text = "\n".join(map(str, problems))
            raise output.CommandError(text, output.EXIT_INVALID)


async def _started(deployment: Deployment) -> None:
    answers = deployment.answers
    token = answers.operators[0].token
    targets = {request.target for request in answers.requests}
    until = time.monotonic() + START_SECONDS
    waiting = {i.caller_address for i in answers.instances}
    while waiting:
        if time.monotonic() > until:
            raise output.CommandError(
                f"not serving in time: {', '.join(sorted(waiting))}"
            )
        for address in list(waiting):
            if await _serves(address, token, targets, len(answers.instances)):
                waiting.discard(address)
        await asyncio.sleep(POLL_SECONDS)


async def _serves(
    address: str, token: str, targets: set[str], instances: int
) -> bool:
    async with client.Client(address, token) as called:
        result = await called.call(
            "GET", "/v1/operators/status", timeout_seconds=1.0
        )
    if not isinstance(result, Success) or result.unwrap().status != 200:
        return False
    status = wire.decode(result.unwrap().body, operators.StatusDocument)
    known = status.map(lambda s: len(s.peers)).value_or(0)
    return known >= instances - 1


async def _load(deployment: Deployment, seconds: float) -> None:
    kinds = _kinds(deployment.answers)
    caller = deployment.caller
    await asyncio.gather(*(caller.run(kind, seconds) for kind in kinds))


def _kinds(answers: questions.Answers) -> list[load.Kind]:
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
                min(deadline_ms / 1000, START_SECONDS),
                tiers[request.tier].first_token_ms / 1000,
                not request.repeatable,
                length == "none",
                PROMPT_TOKENS[length],
                MAX_TOKENS[length],
            )
        )
    return kinds


async def _progress(deployments: list[Deployment]) -> None:
    while True:
        await asyncio.sleep(2.0)
        for deployment in deployments:
            results = deployment.caller.results
            done = [r for r in results if r.seconds]
            good = sum(r.in_time for r in done)
            output.note(
                f"  {deployment.answers.deployment}: {len(results)} sent, "
                f"{len(done)} ended, {good} in time, "
                f"{len(deployment.balancer.ready)} instances ready"
            )


async def _explain(
    deployments: list[Deployment],
) -> explanations.ExplanationDocument | None:
    """Explains the request that passed the most instances."""
    best = None
    for deployment in deployments:
        await deployment.balancer.check()
        token = deployment.answers.operators[0].token
        for result in deployment.caller.results[-EXPLAINED:]:
            if result.verdict != "ran" or not deployment.balancer.ready:
                continue
            address = deployment.balancer.choose()
            found = await _ask(address, token, result.request_id)
            if found is not None and _weight(found) > _weight(best):
                best = found
    return best


def _weight(
    found: explanations.ExplanationDocument | None,
) -> tuple[int, int]:
    if found is None:
        return 0, 0
    hops = [hop for hop in found.hops if hop.facts]
    return len(hops), sum(len(hop.facts) for hop in hops)


async def _ask(address: str, token: str, request_id: str):
    path = f"/v1/requests/{request_id}/explanation"
    async with client.Client(address, token) as called:
        result = await called.call("GET", path, timeout_seconds=2.0)
    if not isinstance(result, Success) or result.unwrap().status != 200:
        return None
    document = explanations.ExplanationDocument
    return wire.decode(result.unwrap().body, document).value_or(None)
