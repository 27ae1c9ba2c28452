"""Metrics of an entry process, exposed by prometheus_client."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0)


class EntryMetrics:
    """Counters, gauges and histograms of one entry process."""

    __slots__ = (
        "answers",
        "bad_answers",
        "broken_answers",
        "caller_bytes",
        "caller_connections",
        "callers_closed",
        "config_age",
        "engines",
        "engines_ended",
        "engines_leaving",
        "engines_limited",
        "faults",
        "first_byte",
        "hedges",
        "hedges_refused",
        "in_flight",
        "learned_rate",
        "lease_held",
        "parts_held",
        "refusals",
        "registry",
        "requests_held",
        "retries",
        "rollout_share",
        "store_era",
        "store_errors",
        "store_restores",
        "stream_records",
        "streams_taken_up",
    )

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.answers = Counter(
            "magnoliaflow_entry_answers",
            "Answers by route and status.",
            ["route", "status"],
            registry=registry,
        )
        self.refusals = Counter(
            "magnoliaflow_entry_refusals",
            "Refused requests by result code.",
            ["code"],
            registry=registry,
        )
        self.retries = Counter(
            "magnoliaflow_entry_retries",
            "Sends after the first, by reason.",
            ["reason"],
            registry=registry,
        )
        self.hedges = Counter(
            "magnoliaflow_entry_hedges",
            "Second sends of slow requests: begun, and how they ended.",
            ["outcome"],
            registry=registry,
        )
        self.hedges_refused = Counter(
            "magnoliaflow_entry_hedges_refused",
            "Looks at slow requests without a second send, by cause.",
            ["cause"],
            registry=registry,
        )
        self.broken_answers = Counter(
            "magnoliaflow_entry_broken_answers",
            "Answers that broke off, by route.",
            ["route"],
            registry=registry,
        )
        self.bad_answers = Counter(
            "magnoliaflow_entry_bad_answers",
            "Failed answers since a service's roll-out was ordered.",
            ["service", "version"],
            registry=registry,
        )
        self.rollout_share = Gauge(
            "magnoliaflow_entry_rollout_share",
            "Share of a route's requests that go to the ordered version.",
            ["service", "route"],
            registry=registry,
        )
        self.engines_ended = Counter(
            "magnoliaflow_entry_engines_ended",
            "Engines that took no connection after an answer had broken off.",
            registry=registry,
        )
        self.streams_taken_up = Counter(
            "magnoliaflow_entry_streams_taken_up",
            "Streams that callers took up, by how their version was known.",
            ["source"],
            registry=registry,
        )
        self.stream_records = Counter(
            "magnoliaflow_entry_stream_records",
            "Records of streams that were written, or could not be.",
            ["outcome"],
            registry=registry,
        )
        self.engines_leaving = Counter(
            "magnoliaflow_entry_engines_leaving",
            "Runs of engines whose answers said that they leave.",
            registry=registry,
        )
        self.parts_held = Gauge(
            "magnoliaflow_entry_parts_held",
            "Parts of prompts that are held back.",
            registry=registry,
        )
        self.requests_held = Gauge(
            "magnoliaflow_entry_requests_held",
            "Requests that are held back, whatever their ids.",
            registry=registry,
        )
        self.engines_limited = Gauge(
            "magnoliaflow_entry_engines_limited",
            "Engines that name a limit of requests a second.",
            registry=registry,
        )
        self.learned_rate = Gauge(
            "magnoliaflow_entry_learned_rate",
            "Learned prompt tokens a second of engines: lowest, median, "
            "highest.",
            ["service", "bound"],
            registry=registry,
        )
        self.faults = Counter(
            "magnoliaflow_entry_faults",
            "Unexpected errors after which the process went on, by place.",
            ["place"],
            registry=registry,
        )
        self.first_byte = Histogram(
            "magnoliaflow_entry_first_byte_seconds",
            "Time from a request to the first byte of its answer.",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.in_flight = Gauge(
            "magnoliaflow_entry_in_flight",
            "Requests in progress.",
            registry=registry,
        )
        self.config_age = Gauge(
            "magnoliaflow_entry_config_age_seconds",
            "Time since the configuration was confirmed as the newest.",
            registry=registry,
        )
        self.engines = Gauge(
            "magnoliaflow_entry_engines",
            "Engines that take new work.",
            registry=registry,
        )
        self.lease_held = Gauge(
            "magnoliaflow_entry_lease_held",
            "1 while this host holds the duties.",
            registry=registry,
        )
        self.store_era = Gauge(
            "magnoliaflow_entry_store_era",
            "Era of the platform's store, 0 if it names none.",
            registry=registry,
        )
        self.store_restores = Counter(
            "magnoliaflow_entry_store_restores",
            "Times that the store came back without confirmed records.",
            registry=registry,
        )
        self.caller_bytes = Gauge(
            "magnoliaflow_entry_caller_bytes",
            "Bytes held for callers.",
            registry=registry,
        )
        self.caller_connections = Gauge(
            "magnoliaflow_entry_caller_connections",
            "Open connections of callers.",
            registry=registry,
        )
        self.callers_closed = Counter(
            "magnoliaflow_entry_callers_closed",
            "Callers that lost their work to a limit, by the limit.",
            ["limit"],
            registry=registry,
        )
        self.store_errors = Counter(
            "magnoliaflow_entry_store_errors",
            "Failed calls to the platform's store.",
            registry=registry,
        )
