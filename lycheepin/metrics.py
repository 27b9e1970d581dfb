"""Counters and latency histograms of one process, and their export as text and JSON."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram

__all__ = ["LatencyHistogram", "Metrics"]

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
QUANTILES = (50.0, 99.0, 99.9)


class LatencyHistogram:
    """Histogram of latencies, kept in microseconds with SIGNIFICANT_DIGITS digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Adds one latency in seconds; values outside the range are clamped."""
        self._histogram.record_value(max(1, min(MAX_LATENCY_US, int(seconds * US_PER_S))))

    @property
    def count(self) -> int:
        """The number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def quantile_s(self, percent: float) -> float:
        """Returns the latency in seconds at the given percentile."""
        return float(self._histogram.get_value_at_percentile(percent)) / US_PER_S


class Metrics:
    """Counters by name and label, and latency histograms by class label."""

    def __init__(self) -> None:
        self._counters: defaultdict[tuple[str, str], int] = defaultdict(int)
        self._latencies: defaultdict[str, LatencyHistogram] = defaultdict(LatencyHistogram)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[(name, label)] += amount

    def value(self, name: str, label: str = "") -> int:
        """Returns the value of a counter; 0 when nothing was counted."""
        return self._counters.get((name, label), 0)

    def observe(self, class_label: str, seconds: float) -> None:
        """Adds the latency of one answered request."""
        self._latencies[class_label].record(seconds)

    def summary(self) -> str:
        """Returns all counters as one line of text."""
        parts = [
            f"{name}{{{label}}}={value}" if label else f"{name}={value}"
            for (name, label), value in sorted(self._counters.items())
        ]
        return " ".join(parts)

    def to_json(self) -> dict[str, dict[str, float]]:
        """Returns counters and latency quantiles as a JSON object."""
        counters = {
            f"{name}:{label}" if label else name: value
            for (name, label), value in self._counters.items()
        }
        latencies = {
            class_label: {
                f"p{percent:g}_ms": histogram.quantile_s(percent) * 1000 for percent in QUANTILES
            }
            | {"count": float(histogram.count)}
            for class_label, histogram in self._latencies.items()
        }
        return {"counters": dict(sorted(counters.items())), **latencies}

    def to_prometheus(self, gauges: dict[str, float]) -> str:
        """Returns all metrics and the given gauges in the Prometheus text format."""
        lines = [f"lycheepin_{name} {value:g}" for name, value in sorted(gauges.items())]
        for (name, label), value in sorted(self._counters.items()):
            labels = f'{{kind="{label}"}}' if label else ""
            lines.append(f"lycheepin_{name}_total{labels} {value}")
        lines += self._latency_lines()
        return "\n".join(lines) + "\n"

    def _latency_lines(self) -> Iterator[str]:
        """Yields the lines of one Prometheus summary for each class."""
        for class_label, histogram in sorted(self._latencies.items()):
            for percent in QUANTILES:
                seconds = histogram.quantile_s(percent)
                labels = f'class="{class_label}",quantile="{percent / 100:g}"'
                yield f"lycheepin_answer_seconds{{{labels}}} {seconds:g}"
            yield f'lycheepin_answer_seconds_count{{class="{class_label}"}} {histogram.count}'
