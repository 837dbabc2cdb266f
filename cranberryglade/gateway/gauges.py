"""Gauges of an instance: values that its metrics show as they are now."""

import asyncio

from cranberryglade.gateway import mesh
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import slots
from cranberryglade.gateway import state
from cranberryglade.rollouts import control


def register(
    name: str,
    shared: state.InstanceState,
    instances: mesh.Mesh,
    scheduler: slots.SlotScheduler,
    origins: origin_sharing.OriginSharing,
    rollouts: control.RolloutControl,
) -> None:
    """Adds the gauges of an instance to its metrics.

    Args:
        name: name of the instance.
        shared: its state; the metrics get the gauges.
        instances: the other instances.
        scheduler: slots and queue, while this instance allocates.
        origins: origins of streams.
        rollouts: roll-outs, while this instance allocates.
    """
    members = instances.members
    watch = shared.metrics.add_gauge
    watch(
        "configuration_version",
        "Version in force; 0 before the first.",
        lambda: shared.version,
    )
    watch(
        "configuration_age_seconds",
        "Since it was last confirmed to be the newest.",
        shared.confirmation_age,
    )
    watch("endpoints", "Endpoints in use.", lambda: len(shared.endpoints))
    watch(
        "peers_heard",
        "Instances heard lately, this one included.",
        lambda: members.reachable_count(asyncio.get_running_loop().time()),
    )
    watch(
        "allocating",
        "1 if this instance grants the slots.",
        lambda: instances.allocator == name,
    )
    watch("slots_used", "Slots in use.", lambda: scheduler.lease_count)
    watch(
        "stream_origins",
        "Streams whose first software version is kept.",
        lambda: origins.count,
    )
    watch(
        "stream_origins_unsaved",
        "Of these, those that it would store if it were the allocator.",
        lambda: origins.unsaved_count,
    )
    watch(
        "endpoints_limited",
        "Endpoints that name a limit, as far as this instance knows.",
        lambda: shared.endpoint_limits.count,
    )
    watch(
        "prompt_parts_suspected",
        "Prompt parts and digests whose requests run one at a time.",
        lambda: shared.quarantine.evidence.suspected_count,
    )
    watch(
        "quarantines",
        "Quarantines, lifted ones included.",
        lambda: len(shared.quarantine.entries),
    )
    watch(
        "rollouts_running",
        "Roll-outs that this instance conducts.",
        lambda: rollouts.running_count,
    )
    watch(
        "rollout_answers_bad",
        "Bad answers of the new versions in these.",
        lambda: rollouts.bad_answers,
    )
    watch(
        "rollout_grants_reserved",
        "Grants of the new versions that are reserved in the store.",
        lambda: rollouts.reserved,
    )
    watch(
        "requests_waiting",
        "Requests in the allocator's queue.",
        lambda: scheduler.queue_length,
    )
