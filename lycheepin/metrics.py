"""Counters and histograms of one process, and their Prometheus text form."""

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
    """Latencies in microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Adds one latency."""
        self._histogram.record_value(max(1, min(MAX_LATENCY_US, int(seconds * US_PER_S))))

    @property
    def count(self) -> int:
        """The number of latencies added."""
        return int(self._histogram.get_total_count())

    def quantile_s(self, percent: float) -> float:
        """Returns the latency in seconds that `percent` of the samples do not exceed."""
        return float(self._histogram.get_value_at_percentile(percent)) / US_PER_S


class Metrics:
    """Counters by name and labels, and latencies by service and class."""

    def __init__(self) -> None:
        self._counters: defaultdict[tuple[str, str], int] = defaultdict(int)
        self._latencies: dict[str, LatencyHistogram] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Adds to a counter."""
        self._counters[(name, label)] += amount

    def value(self, name: str, label: str = "") -> int:
        """Returns a counter; 0 when it was never counted."""
        return self._counters.get((name, label), 0)

    def observe(self, work: str, seconds: float) -> None:
        """Adds the latency of one answered request."""
        self._latencies.setdefault(work, LatencyHistogram()).record(seconds)

    def summary(self) -> str:
        """Returns all counters as one line."""
        parts = [
            f"{name}{{{label}}}={value}" if label else f"{name}={value}"
            for (name, label), value in sorted(self._counters.items())
        ]
        return " ".join(parts)

    def to_json(self) -> dict[str, dict[str, float]]:
        """Returns counters and latency quantiles as a JSON object."""
        counters = {f"{n}:{label}" if label else n: v for (n, label), v in self._counters.items()}
        latencies = {
            work: {f"p{q:g}_ms": histogram.quantile_s(q) * 1000 for q in QUANTILES}
            | {"count": float(histogram.count)}
            for work, histogram in self._latencies.items()
        }
        return {"counters": dict(sorted(counters.items())), **latencies}

    def to_prometheus(self, gauges: dict[str, float]) -> str:
        """Returns the Prometheus text exposition of all metrics and some gauges."""
        lines = [f"lycheepin_{name} {value:g}" for name, value in sorted(gauges.items())]
        for (name, label), value in sorted(self._counters.items()):
            labels = f'{{kind="{label}"}}' if label else ""
            lines.append(f"lycheepin_{name}_total{labels} {value}")
        lines += self._latency_lines()
        return "\n".join(lines) + "\n"

    def _latency_lines(self) -> Iterator[str]:
        """Yields one summary for each class."""
        for work, histogram in sorted(self._latencies.items()):
            for percent in QUANTILES:
                seconds = histogram.quantile_s(percent)
                labels = f'class="{work}",quantile="{percent / 100:g}"'
                yield f"lycheepin_answer_seconds{{{labels}}} {seconds:g}"
            yield f'lycheepin_answer_seconds_count{{class="{work}"}} {histogram.count}'
