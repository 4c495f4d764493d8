"""Keep counters, gauges and latency histograms for the operators' collector."""

from collections import Counter
from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 600_000
SIGNIFICANT_DIGITS: Final = 2
QUANTILES: Final = (50.0, 90.0, 99.0)
PERCENT: Final = 100
# Bounds the memory in case the configuration yields very many labels.
MAX_SERIES: Final = 2_000


class Metrics:
    """Hold the counters, gauges and histograms of one process, by name and label."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[tuple[str, str], float] = {}
        self.histograms: dict[tuple[str, str], HdrHistogram] = {}


def count(metrics: Metrics, name: str, label: str = "", by: int = 1) -> None:
    """Add to a counter."""
    if (name, label) in metrics.counters or len(metrics.counters) < MAX_SERIES:
        metrics.counters[name, label] += by


def gauge(metrics: Metrics, name: str, value: float, label: str = "") -> None:
    """Set a gauge."""
    metrics.gauges[name, label] = value


def observe(metrics: Metrics, name: str, took_ms: int, label: str = "") -> None:
    """Record a duration in a histogram."""
    histogram = metrics.histograms.get((name, label))
    if histogram is None:
        if len(metrics.histograms) >= MAX_SERIES:
            return
        histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
        metrics.histograms[name, label] = histogram
    histogram.record_value(min(max(took_ms, LOWEST_MS), HIGHEST_MS))


def metrics_page(metrics: Metrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    lines = [
        _line(f"{name}_total", label, value)
        for (name, label), value in sorted(metrics.counters.items())
    ]
    lines += [
        _line(name, label, value)
        for (name, label), value in sorted(metrics.gauges.items())
    ]
    for (name, label), histogram in sorted(
        metrics.histograms.items(), key=lambda entry: entry[0]
    ):
        lines.append(_line(f"{name}_ms_count", label, histogram.get_total_count()))
        lines += [
            _line(
                f"{name}_ms",
                label,
                histogram.get_value_at_percentile(quantile),
                quantile / PERCENT,
            )
            for quantile in QUANTILES
        ]
    return ("\n".join(lines) + "\n").encode()


def _line(name: str, label: str, value: float, quantile: float | None = None) -> str:
    labels = [f'of="{_escape(label)}"'] if label else []
    if quantile is not None:
        labels.append(f'quantile="{quantile}"')
    joined = "{" + ",".join(labels) + "}" if labels else ""
    return f"bramleyturn_{name}{joined} {value}"


def _escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
