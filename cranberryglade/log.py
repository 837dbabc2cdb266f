"""Configures structlog and the logs of libraries to write JSON lines."""

import asyncio
import logging
import sys
from typing import TextIO

import structlog


def configure(level: str, instance: str, output: TextIO | None = None) -> None:
    """Configures all loggers to write JSON lines to standard output.

    Libraries' loggers write from the level "warning" on.

    Args:
        level: lowest level that is written, such as "info".
        instance: name of the instance, added to each line.
        output: stream that is written to instead of standard output.
    """
    output = output or sys.stdout
    structlog.contextvars.bind_contextvars(instance=instance)
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso"),
        structlog.processors.format_exc_info,
    ]
    structlog.configure(
        processors=[*shared, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
        )
    )
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)


def report_failed_task(logger, task: asyncio.Task, /, **fields: str) -> bool:
    """Logs the exception of a task that has ended, if it failed.

    Args:
        logger: writes the line.
        task: the task.
        **fields: further fields of the line.

    Returns:
        Whether it failed.
    """
    if task.cancelled() or task.exception() is None:
        return False
    logger.error("task.failed", exc_info=task.exception(), **fields)
    return True


def get_logger(name: str):
    """Returns a logger that adds the name of the module to each line."""
    return structlog.get_logger(module=name)
