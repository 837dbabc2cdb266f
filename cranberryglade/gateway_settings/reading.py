"""Reads the operators' settings file of a gateway."""

import dataclasses
import os

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cranberryglade import options
from cranberryglade.gateway import settings
from cranberryglade.gateway_settings import features
from cranberryglade.hedging import options as hedging_options
from cranberryglade.memory import options as memory_options
from cranberryglade.placement import options as placement_options
from cranberryglade.preemption import options as preemption_options
from cranberryglade.rollouts import options as rollouts_options
from cranberryglade.warmup import options as warmup_options

PATH_VARIABLE = "CRANBERRYGLADE_SETTINGS"
"""Environment variable that names the settings file."""


def add_options(
    platform_settings: settings.Settings,
) -> Result[settings.Settings, str]:
    """Adds the options of the file that the environment names, if it does.

    Args:
        platform_settings: what the platform sets.

    Returns:
        The complete settings, or what is wrong with the file.
    """
    return read(os.environ.get(PATH_VARIABLE, "")).map(
        lambda own: dataclasses.replace(platform_settings, options=own)
    )


def read(path: str) -> Result[features.Features, str]:
    """Reads and checks a settings file.

    Args:
        path: path of the INI file; "" for none.

    Returns:
        The options, defaults where the file names none; or all problems, one
        a line, with file, section, option, value and what is allowed.
    """
    if not path:
        return Success(features.Features())
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Failure(f"{path}: {error}")
    return parse(text, path)


def parse(text: str, source: str) -> Result[features.Features, str]:
    """Parses and checks settings.

    Args:
        text: INI text.
        source: name of the text in problems.

    Returns:
        As `read`.
    """
    values = options.read_sections(text, source, features.SECTIONS)
    return values.map(_build_features).alt(
        lambda problems: "\n".join(str(problem) for problem in problems)
    )


def _build_features(values) -> features.Features:
    return features.Features(
        memory_options.MemoryOptions(**values["memory"]),
        rollouts_options.RolloutOptions(**values["rollouts"]),
        preemption_options.PreemptionOptions(**values["preemption"]),
        placement_options.PlacementOptions(**values["placement"]),
        hedging_options.HedgingOptions(**values["hedging"]),
        warmup_options.WarmupOptions(**values["warmup"]),
    )
