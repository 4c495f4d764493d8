"""Load, replay, baselines and reports."""
