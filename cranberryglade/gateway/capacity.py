"""How much an instance can do for the others, by what its machine has.

Load pattern: machines that differ fourfold. The instance that grants the slots
of all, and those that all others send heartbeats to, do more than their share;
on the smallest machine they would be full first.
"""

LINK_MBPS_PER_CORE = 20.0
"""Bandwidth that an instance needs for each core that it uses."""

DEFAULT_CAPACITY = 1.0
"""Capacity of an instance that states none."""


def of_machine(processor_cores: float, link_mbps: float) -> float:
    """Returns the capacity, in cores that the link can keep busy.

    It is rounded, so that small differences do not matter.

    >>> of_machine(processor_cores=2.151, link_mbps=200.0)
    2.2
    >>> of_machine(processor_cores=2.151, link_mbps=5.0)
    0.2
    """
    return round(min(processor_cores, link_mbps / LINK_MBPS_PER_CORE), 1)
