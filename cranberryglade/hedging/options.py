"""Section `[hedging]` of a gateway's settings file."""

import dataclasses

from cranberryglade import options

DEFAULT_REQUEST_SHARE = 0.0
DEFAULT_QUANTILE = 0.9
"""Answers that are slow for no reason of their own are rarely more than one in
ten. A quantile at the very edge of them would fall among them by chance."""


@dataclasses.dataclass(slots=True, frozen=True)
class HedgingOptions:
    """When a second endpoint is asked.

    Attributes:
        request_share: most hedged requests, as a fraction of all requests of
            a service; 0 turns hedging off.
        quantile: a first answer is late once it takes longer than this
            fraction of the service's recent ones.
    """

    request_share: float = DEFAULT_REQUEST_SHARE
    quantile: float = DEFAULT_QUANTILE


SECTION = (
    options.Option(
        "request_share",
        options.number(0.0, 0.2, float),
        "a number from 0 to 0.2",
        DEFAULT_REQUEST_SHARE,
        "most hedged requests, as a fraction of all requests of a service; 0 "
        "turns hedging off",
    ),
    options.Option(
        "quantile",
        options.number(0.5, 0.999, float),
        "a number from 0.5 to 0.999",
        DEFAULT_QUANTILE,
        "a first answer is late once it takes longer than this fraction of the "
        "service's recent ones",
    ),
)
