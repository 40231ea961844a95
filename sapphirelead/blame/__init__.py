"""Who is guilty of the crash of a worker, and why.

A crash does not tell its cause: each run on the worker may have caused it, and so may the machine.
In the order in which they decide:

1. :mod:`~sapphirelead.blame.evidence`: what the crash says about each run that was there;
2. :mod:`~sapphirelead.blame.verdicts`: for which of the runs the crash counts, and that at most one
   task is given up for it;
3. :mod:`~sapphirelead.blame.counts`: the count that is stored with each task, from which on it is
   suspected, and at which it is given up;
4. :mod:`~sapphirelead.blame.corrections`: crashes that are taken back, because another task is
   given up for them or the worker turns out to be alive.

The count belongs to the job (:class:`sapphirelead.sched_job.Job`).  Where a suspected task may run
meanwhile is decided by :mod:`sapphirelead.sched_quarantine`.
"""
