"""What operators set for the parts of a gateway."""

import dataclasses

from cranberryglade.hedging import options as hedging_options
from cranberryglade.memory import options as memory_options
from cranberryglade.placement import options as placement_options
from cranberryglade.preemption import options as preemption_options
from cranberryglade.rollouts import options as rollouts_options
from cranberryglade.warmup import options as warmup_options

SECTIONS = {
    "memory": memory_options.SECTION,
    "rollouts": rollouts_options.SECTION,
    "preemption": preemption_options.SECTION,
    "placement": placement_options.SECTION,
    "hedging": hedging_options.SECTION,
    "warmup": warmup_options.SECTION,
}
"""Options by the name of their section."""


@dataclasses.dataclass(slots=True, frozen=True)
class Features:
    """The options of each part; the defaults serve without a settings file."""

    memory: memory_options.MemoryOptions = dataclasses.field(
        default_factory=memory_options.MemoryOptions
    )
    rollouts: rollouts_options.RolloutOptions = dataclasses.field(
        default_factory=rollouts_options.RolloutOptions
    )
    preemption: preemption_options.PreemptionOptions = dataclasses.field(
        default_factory=preemption_options.PreemptionOptions
    )
    placement: placement_options.PlacementOptions = dataclasses.field(
        default_factory=placement_options.PlacementOptions
    )
    hedging: hedging_options.HedgingOptions = dataclasses.field(
        default_factory=hedging_options.HedgingOptions
    )
    warmup: warmup_options.WarmupOptions = dataclasses.field(
        default_factory=warmup_options.WarmupOptions
    )
