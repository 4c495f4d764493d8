"""Load generator, replay, baselines and reports."""
