"""Gauges are shown whatever the numbers that they read."""

from basilwall.operators.prometheus_metrics import PrometheusMetrics


def test_an_integer_that_no_float_holds_does_not_hide_the_other_gauges():
    metrics = PrometheusMetrics()
    metrics.add_gauge('version', 'A version.', lambda: 10**400)
    metrics.add_gauge('other', 'Another one.', lambda: 7)
    status, body = metrics.scrape(b'')
    assert status == 200
    lines = body.decode().splitlines()
    assert 'basilwall_version +Inf' in lines
    assert 'basilwall_other 7.0' in lines
