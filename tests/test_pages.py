"""Tests that the tables in docs/ match the definitions in the code."""

from pathlib import Path

from prometheus_client.metrics import MetricWrapperBase
import pytest

from magnoliaflow.common.codes import Code
from magnoliaflow.common.codes import CODE_INFO
from magnoliaflow.common.eventlog import EXPLANATIONS
from magnoliaflow.common.eventlog import LogEvent
from magnoliaflow.common.metrics import Metrics

DOCS = Path(__file__).parent.parent / "docs"


@pytest.fixture
def read_table():
    """Return a function that reads the table of a page without its header."""

    def read_rows(page):
        lines = (DOCS / page).read_text().splitlines()
        return [
            [cell.strip() for cell in line.strip("|").split("|")]
            for line in lines
            if line.startswith("| ") and not line.startswith("| -")
        ][1:]

    return read_rows


def test_result_codes_page(read_table):
    expected = [
        [str(int(code)), code.name, code.executed.value, str(code.http_status)]
        for code in Code
    ]
    assert [row[:4] for row in read_table("RESULT_CODES.md")] == expected
    assert [row[4] for row in read_table("RESULT_CODES.md")] == [
        CODE_INFO[code].meaning for code in Code
    ]


def test_events_page(read_table):
    expected = [
        [str(int(event)), event.name, EXPLANATIONS[event]]
        for event in LogEvent
    ]
    assert read_table("EVENTS.md") == expected


def test_metrics_page(read_table):
    metrics = Metrics()
    attributes = [getattr(metrics, name) for name in Metrics.__slots__]
    names = sorted(
        metric._name
        for metric in attributes
        if isinstance(metric, MetricWrapperBase)
    )
    assert [row[0] for row in read_table("METRICS.md")] == names
