"""Metrics of a node, and the log events of its searches."""

import contextlib
import io
from collections.abc import Callable

import logbook
import result

from chivepond.errors import invalid, shed
from chivepond.observe import (
    events,
    journal,
    metrics,
    node_gauges,
    service_counts,
)
from chivepond.tests import test_burn


def _gauges() -> node_gauges.NodeGauges:
    return node_gauges.NodeGauges(
        revision=7,
        live_nodes=3,
        searchers=15,
        is_ready=True,
        unsigned_refused=2,
        memory_refused=3,
        connections_by_side={'callers': 4},
        platform_calls_by_result={'ok': 9},
    )


def _scrape(harness: test_burn.TelemetryHarness) -> list[str]:
    node_metrics = metrics.Metrics(harness.telemetry, _gauges)
    body, headers = node_metrics.render([])
    assert headers['Content-Type'].startswith('text/plain; version=0.0.4')
    return body.decode().splitlines()


def test_scrape_shows_counts() -> None:
    """A scrape returns all counts under their metric names."""
    harness = test_burn.TelemetryHarness()
    harness.record_answer(20, 'late')
    harness.record_answer(300)
    harness.record_outcome(result.Err(invalid.Invalid('wrong', 'mend it')))
    lines = _scrape(harness)
    name = 'chivepond_search'
    label = '{service="pass-lookup"}'
    expected = {
        f'# TYPE {name}_duration_seconds histogram',
        f'{name}_duration_seconds_count{label} 2.0',
        f'{name}_shards_total{label} 20',
        f'{name}_shards_covered_total{label} 19',
        f'chivepond_shard_attempts_total{label} 36',
        'chivepond_configuration_revision 7',
        'chivepond_platform_calls_total{result="ok"} 9',
    }
    assert expected - set(lines) == set()
    buckets = [line for line in lines if 'le="0.025"' in line]
    assert [line.split()[-1] for line in buckets] == ['1.0']
    outcomes = [line for line in lines if line.startswith('chivepond_requests')]
    assert len(outcomes) == 2
    assert any('outcome="invalid"' in line for line in outcomes)


def test_labels_are_bounded() -> None:
    """Unknown names from callers or searchers share one time series.

    A caller sends a new service name with each request, and a searcher sends
    arbitrary reasons. With a time series for each, memory and scrapes would
    grow until the node runs out of memory.
    """
    harness = test_burn.TelemetryHarness()
    for number in range(200):
        harness.record_answer(20, f'made-up-{number}')
        harness.record_outcome(
            result.Err(invalid.Invalid('unknown', 'name another')),
            service=f'service "{number}"\n',
        )
    assert len(harness.telemetry.counts_by_service) == 2
    assert len(_scrape(harness)) < 100


def _logged_fields(
    harness: test_burn.TelemetryHarness, record_search: Callable[[], None]
) -> dict:
    with logbook.TestHandler() as log_capture:
        record_search()
    assert len(log_capture.records) == 1
    fields = log_capture.records[0].extra['told']
    assert 'Tenzing' not in repr(fields)
    assert len(fields['query_digest']) == 32
    return fields | {'event': log_capture.records[0].extra['number']}


def test_each_answer_is_logged_once() -> None:
    """The event has the coverage of a search but not its query."""
    harness = test_burn.TelemetryHarness()
    fields = _logged_fields(
        harness, lambda: harness.record_answer(20, 'late', 'shed')
    )
    expected = {
        'event': events.SEARCH_ANSWERED.number,
        'request_id': 'r',
        'node': 'n',
        'revision': 0,
        'attempts': 12,
        'total': 10,
        'covered': 8,
        'missing': 2,
        'missing_shards': 's0:late,s1:shed',
    }
    assert expected.items() <= fields.items()


def test_each_refusal_is_logged_once() -> None:
    """The event of a refusal has its kind and the same query digest."""
    harness = test_burn.TelemetryHarness()
    refusal = result.Err(invalid.Invalid('wrong', 'mend it'))
    fields = _logged_fields(harness, lambda: harness.record_outcome(refusal))
    answer_fields = _logged_fields(harness, lambda: harness.record_answer(20))
    assert fields['event'] == events.SEARCH_REFUSED.number
    assert fields['kind'] == 'invalid'
    assert fields['query_digest'] == answer_fields['query_digest']


def test_log_event_size_is_bounded() -> None:
    """An answer with many missing shards lists only the first 20."""
    harness = test_burn.TelemetryHarness()
    fields = _logged_fields(
        harness,
        lambda: harness.record_answer(20, *('late' for _ in range(400))),
    )
    assert fields['missing'] == 400
    assert fields['missing_shards'].count(',') == 19


def test_line_feed_in_a_field_cannot_forge_an_event() -> None:
    """Input with a line feed stays inside its field of the log line.

    A caller sends a request id with a line feed followed by the text of an
    event, which unquoted would appear as a log line of its own.
    """
    output = io.StringIO()
    forged_id = 'r\n2026-12-02 INFO E3001 search answered covered=9'
    with contextlib.redirect_stderr(output):
        with journal.Journal('INFO', 'text'):
            journal.log(
                events.SEARCH_REFUSED, request_id=forged_id, plain='a-1'
            )
    lines = output.getvalue().splitlines()
    assert len(lines) == 1
    assert 'request_id="r' in lines[0]
    assert lines[0].endswith('plain=a-1')


def test_removed_services_leave_the_metrics() -> None:
    """A service that is no longer configured disappears from a scrape."""
    harness = test_burn.TelemetryHarness()
    harness.telemetry.counts_by_service['gone'] = service_counts.ServiceCounts()
    harness.record_outcome(result.Err(shed.Shed('full', 'wait', 100)))
    lines = _scrape(harness)
    assert not any('gone' in line for line in lines)
    assert any('outcome="shed"' in line for line in lines)
