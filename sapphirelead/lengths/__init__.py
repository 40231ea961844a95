"""Forecasts of run times, learnt from how long tasks really ran compared with their estimates.

- :mod:`~sapphirelead.lengths.samples`: which runs count, and their ratio.
- :mod:`~sapphirelead.lengths.sketch`: the distribution of the ratios, with forgetting.
- :mod:`~sapphirelead.lengths.score`: whether the forecasts beat the declared estimates.
- :mod:`~sapphirelead.lengths.learned`: the estimator, by pair of queue and image.
- :mod:`~sapphirelead.lengths.stored`: the row that a successor starts from.
- :mod:`~sapphirelead.lengths.part`: connects them with the scheduler.

A ratio is that of the actual run time to ``estimate_ms``, as its natural logarithm.
"""
