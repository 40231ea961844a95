"""Fair sharing of workers between organisations and their queues.

:mod:`~sapphirelead.fairness.capacity` adds up what is shared,
:mod:`~sapphirelead.fairness.tree` holds usage and shares, :mod:`~sapphirelead.fairness.order` the
order of one planning pass, :mod:`~sapphirelead.fairness.holds` the workers kept for large tasks,
:mod:`~sapphirelead.fairness.sharing` connects both to the scheduler,
:mod:`~sapphirelead.fairness.state_row` stores usage for a successor, and
:mod:`~sapphirelead.fairness.share_log` tells operators.
"""
