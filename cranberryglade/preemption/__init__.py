"""Who gets a slot under contention: reservations, preemption, shares."""
