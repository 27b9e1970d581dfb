import unittest
from unittest.mock import patch

from lycheepin.metrics import LatencyHistogram, Metrics


class MetricsTest(unittest.TestCase):
    def test_one_histogram_is_made_for_each_class(self) -> None:
        with patch("lycheepin.metrics.LatencyHistogram", side_effect=LatencyHistogram) as made:
            metrics = Metrics()
            for _ in range(3):
                metrics.observe("desk", 0.01)
                metrics.observe("files", 0.02)
        self.assertEqual(made.call_count, 2)
