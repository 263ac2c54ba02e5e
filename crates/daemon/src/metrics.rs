//! Counts and timings, sent once a second to a statsd server.
//!
//! The request path only adds to integers; text is formatted once a second. The UDP socket does not
//! block, so a slow or absent server costs nothing.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::Gauged;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use hdrhistogram::Histogram;
use oriolecleat_core::key;
use oriolecleat_core::time::Span;
use serde_json::Value;
use serde_json::json;

mod text;

const PREFIX: &str = "oriolecleat";
const LATENCY_DIGITS: u8 = 3;
const LATENCY_MAX_US: u64 = 600_000_000;

key! {
    /// What is counted; each name in docs/metrics.md.
    pub enum Count {
        /// Requests received on the caller port.
        Calls,
        /// Requests answered by a target.
        Ran,
        /// Requests refused as not run.
        NotRun,
        /// Requests whose outcome is unknown.
        Unknown,
        /// Attempts that a target shed.
        Sheds,
        /// Attempts after the first one.
        Retries,
        /// Second copies of idempotent requests.
        Hedges,
        /// Probes sent to targets.
        Probes,
        /// Bytes spent on measuring targets, as charged to the budget.
        MeasuringBytes,
        /// Bytes to and from targets in other regions.
        CrossRegionBytes,
        /// Catalogue changes accepted.
        CatalogueAccepted,
        /// Catalogue changes rejected by the checks.
        CatalogueRejected,
        /// Calls to the configuration service.
        ConfigurationCalls,
        /// Times at which this VM began to read it without being a designated reader.
        Takeovers,
        /// Frames sent to peers.
        PeerFramesSent,
        /// Bytes sent to peers.
        PeerBytesSent,
        /// Bytes received from peers.
        PeerBytesReceived,
        /// Invalid frames from peers.
        PeerFaults,
        /// Bytes of catalogue texts received from peers, as they are carried.
        PeerTextBytes,
        /// Messages that waited long until they were written to a peer.
        PeerSlowWrites,
        /// Bytes of catalogue texts that were new and accepted.
        CatalogueBytes,
        /// Answers in which a target states something of itself that cannot be read.
        UnreadableStatements,
        /// Calls sent to another data centre of the region because no local target had room.
        SpillDataCenterFullCalls,
        /// Bytes sent to another data centre of the region because no local target had room.
        SpillDataCenterFullBytes,
        /// Calls sent to another data centre of the region because local targets were too slow.
        SpillDataCenterSlowCalls,
        /// Bytes sent to another data centre of the region because local targets were too slow.
        SpillDataCenterSlowBytes,
        /// Calls sent to another data centre of the region because no local target took new work.
        SpillDataCenterNoneOpenCalls,
        /// Bytes sent to another data centre of the region because no local target took new work.
        SpillDataCenterNoneOpenBytes,
        /// Calls sent to another data centre of the region because the loss was smaller there.
        SpillDataCenterCheaperCalls,
        /// Bytes sent to another data centre of the region because the loss was smaller there.
        SpillDataCenterCheaperBytes,
        /// Calls sent to another region because no local target had room.
        SpillRegionFullCalls,
        /// Bytes sent to another region because no local target had room.
        SpillRegionFullBytes,
        /// Calls sent to another region because local targets were too slow.
        SpillRegionSlowCalls,
        /// Bytes sent to another region because local targets were too slow.
        SpillRegionSlowBytes,
        /// Calls sent to another region because no local target took new work.
        SpillRegionNoneOpenCalls,
        /// Bytes sent to another region because no local target took new work.
        SpillRegionNoneOpenBytes,
        /// Calls sent to another region because the loss was smaller there.
        SpillRegionCheaperCalls,
        /// Bytes sent to another region because the loss was smaller there.
        SpillRegionCheaperBytes,
        /// Unknown words for the class of rules, once for each plan in force.
        UnreadClasses,
        /// Connections that were closed at once because too many lingered.
        LingerRefused,
        /// Connections whose callers did not close their side in time.
        LingerExpired,
        /// Restores of the platform's store from a copy, as this VM learned of them.
        StoreRestores,
        /// Answers of the platform's store from before its restore, which were not used.
        StoreOutdatedAnswers,
        /// Requests behind which none is processed ahead, as their answers may be streamed.
        NotAhead,
        /// Repeats of requests, such as retries, copies and sends after a shed, that a platform's budget
        /// allowed.
        Repeats,
        /// Repeats that were not made because the budget of their service was used up.
        RepeatsRefused,
    }

    /// What is gauged; each name in docs/metrics.md.
    pub enum Gauge {
        /// Requests in flight.
        InFlight,
        /// Requests waiting for a target.
        Waiting,
        /// Age of the catalogue view in milliseconds.
        ViewAgeMs,
        /// Links to peers.
        Links,
        /// Members known to be alive.
        Members,
        /// Targets that may get no new work.
        TargetsLeaving,
        /// Data centres that are out of service.
        DataCentersOut,
        /// Bytes of answers that are buffered and not yet written to their callers.
        AnswersHeld,
        /// Bytes reserved for bodies that are kept for another attempt.
        BodiesHeld,
        /// Bytes of requests that are read ahead.
        ReadAhead,
        /// Connections that linger after their last answer.
        Lingering,
        /// Era of the platform's store; 0 if it states none.
        StoreEra,
        /// Median time of a call inside the process and the target, in microseconds.
        CallP50Us,
        /// 99th percentile of that time.
        CallP99Us,
        /// 99.9th percentile of that time.
        CallP999Us,
    }
}

/// All counts in the order of their declaration.
pub const COUNTS: [Count; 46] = [
    Count::Calls,
    Count::Ran,
    Count::NotRun,
    Count::Unknown,
    Count::Sheds,
    Count::Retries,
    Count::Hedges,
    Count::Probes,
    Count::MeasuringBytes,
    Count::CrossRegionBytes,
    Count::CatalogueAccepted,
    Count::CatalogueRejected,
    Count::ConfigurationCalls,
    Count::Takeovers,
    Count::PeerFramesSent,
    Count::PeerBytesSent,
    Count::PeerBytesReceived,
    Count::PeerFaults,
    Count::PeerTextBytes,
    Count::PeerSlowWrites,
    Count::CatalogueBytes,
    Count::UnreadableStatements,
    Count::SpillDataCenterFullCalls,
    Count::SpillDataCenterFullBytes,
    Count::SpillDataCenterSlowCalls,
    Count::SpillDataCenterSlowBytes,
    Count::SpillDataCenterNoneOpenCalls,
    Count::SpillDataCenterNoneOpenBytes,
    Count::SpillDataCenterCheaperCalls,
    Count::SpillDataCenterCheaperBytes,
    Count::SpillRegionFullCalls,
    Count::SpillRegionFullBytes,
    Count::SpillRegionSlowCalls,
    Count::SpillRegionSlowBytes,
    Count::SpillRegionNoneOpenCalls,
    Count::SpillRegionNoneOpenBytes,
    Count::SpillRegionCheaperCalls,
    Count::SpillRegionCheaperBytes,
    Count::UnreadClasses,
    Count::LingerRefused,
    Count::LingerExpired,
    Count::StoreRestores,
    Count::StoreOutdatedAnswers,
    Count::NotAhead,
    Count::Repeats,
    Count::RepeatsRefused,
];

/// All gauges in the order of their declaration.
pub const GAUGES: [Gauge; 15] = [
    Gauge::InFlight,
    Gauge::Waiting,
    Gauge::ViewAgeMs,
    Gauge::Links,
    Gauge::Members,
    Gauge::TargetsLeaving,
    Gauge::DataCentersOut,
    Gauge::AnswersHeld,
    Gauge::BodiesHeld,
    Gauge::ReadAhead,
    Gauge::Lingering,
    Gauge::StoreEra,
    Gauge::CallP50Us,
    Gauge::CallP99Us,
    Gauge::CallP999Us,
];

impl Count {
    /// Name in statsd, after the prefix.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calls => "calls",
            Self::Ran => "outcome.ran",
            Self::NotRun => "outcome.not_run",
            Self::Unknown => "outcome.unknown",
            Self::Sheds => "attempts.shed",
            Self::Retries => "attempts.retried",
            Self::Hedges => "attempts.hedged",
            Self::Probes => "probes",
            Self::MeasuringBytes => "measuring.bytes",
            Self::CrossRegionBytes => "cross_region.bytes",
            Self::CatalogueAccepted => "catalogue.accepted",
            Self::CatalogueRejected => "catalogue.rejected",
            Self::ConfigurationCalls => "configuration.calls",
            Self::Takeovers => "configuration.takeovers",
            Self::PeerFramesSent => "peer.frames_sent",
            Self::PeerBytesSent => "peer.bytes_sent",
            Self::PeerBytesReceived => "peer.bytes_received",
            Self::PeerFaults => "peer.faults",
            Self::PeerTextBytes => "peer.text_bytes",
            Self::PeerSlowWrites => "peer.slow_writes",
            Self::CatalogueBytes => "catalogue.bytes",
            Self::UnreadableStatements => "targets.unreadable",
            Self::SpillDataCenterFullCalls => "spill.data_center.full.calls",
            Self::SpillDataCenterFullBytes => "spill.data_center.full.bytes",
            Self::SpillDataCenterSlowCalls => "spill.data_center.slow.calls",
            Self::SpillDataCenterSlowBytes => "spill.data_center.slow.bytes",
            Self::SpillDataCenterNoneOpenCalls => "spill.data_center.none_open.calls",
            Self::SpillDataCenterNoneOpenBytes => "spill.data_center.none_open.bytes",
            Self::SpillDataCenterCheaperCalls => "spill.data_center.cheaper.calls",
            Self::SpillDataCenterCheaperBytes => "spill.data_center.cheaper.bytes",
            Self::SpillRegionFullCalls => "spill.region.full.calls",
            Self::SpillRegionFullBytes => "spill.region.full.bytes",
            Self::SpillRegionSlowCalls => "spill.region.slow.calls",
            Self::SpillRegionSlowBytes => "spill.region.slow.bytes",
            Self::SpillRegionNoneOpenCalls => "spill.region.none_open.calls",
            Self::SpillRegionNoneOpenBytes => "spill.region.none_open.bytes",
            Self::SpillRegionCheaperCalls => "spill.region.cheaper.calls",
            Self::SpillRegionCheaperBytes => "spill.region.cheaper.bytes",
            Self::UnreadClasses => "plan.unread_classes",
            Self::LingerRefused => "connections.linger_refused",
            Self::LingerExpired => "connections.linger_expired",
            Self::StoreRestores => "store.restores",
            Self::StoreOutdatedAnswers => "store.outdated_answers",
            Self::NotAhead => "pipelining.not_ahead",
            Self::Repeats => "repeats.allowed",
            Self::RepeatsRefused => "repeats.refused",
        }
    }
}

impl Gauge {
    /// Name in statsd, after the prefix.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::InFlight => "calls.in_flight",
            Self::Waiting => "calls.waiting",
            Self::ViewAgeMs => "view.age_ms",
            Self::Links => "peer.links",
            Self::Members => "members.alive",
            Self::TargetsLeaving => "targets.leaving",
            Self::DataCentersOut => "data_centers.out",
            Self::AnswersHeld => "held.answers_bytes",
            Self::BodiesHeld => "held.bodies_bytes",
            Self::ReadAhead => "held.read_ahead_bytes",
            Self::Lingering => "connections.lingering",
            Self::StoreEra => "store.era",
            Self::CallP50Us => "call.p50_us",
            Self::CallP99Us => "call.p99_us",
            Self::CallP999Us => "call.p999_us",
        }
    }
}

/// Counts since the start of the process and since the last report.
pub(crate) struct Metrics {
    client: StatsdClient,
    totals: [u64; COUNTS.len()],
    reported: [u64; COUNTS.len()],
    latency: Histogram<u64>,
    /// Time of each attempt since the start of the process.
    attempts: Histogram<u64>,
    /// Time inside the process since its start, for each call.
    inside: Histogram<u64>,
}

impl Metrics {
    /// Metrics that go to `statsd`, or nowhere without one.
    pub(crate) fn new(statsd: Option<SocketAddr>, vm: &str) -> Self {
        let histogram = || {
            Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS)
                .expect("the bounds of the histogram are constant and valid")
        };
        Self {
            client: client(statsd, vm),
            totals: [0; COUNTS.len()],
            reported: [0; COUNTS.len()],
            latency: histogram(),
            attempts: histogram(),
            inside: histogram(),
        }
    }

    pub(crate) fn add(&mut self, count: Count, amount: u64) {
        self.totals[count as usize] += amount;
    }

    /// Sets a total that is counted elsewhere.
    pub(crate) fn set(&mut self, count: Count, total: u64) {
        self.totals[count as usize] = total;
    }

    /// Records the time of one call.
    pub(crate) fn record(&mut self, latency: Span) {
        self.latency.saturating_record(latency.as_micros());
        self.attempts.saturating_record(latency.as_micros());
    }

    /// Records the time of one call without the wait for its target.
    pub(crate) fn record_inside(&mut self, time: Span) {
        self.inside.saturating_record(time.as_micros());
    }

    /// Histogram of the time inside the process in microseconds.
    pub(crate) fn inside(&self) -> Value {
        let quantile = |quantile| self.inside.value_at_quantile(quantile);
        let buckets = self.inside.iter_log(1, 2.0);
        let buckets: Vec<Value> = buckets
            .map(|bucket| {
                json!([
                    bucket.value_iterated_to(),
                    bucket.count_since_last_iteration()
                ])
            })
            .collect();
        json!({
            "calls": self.inside.len(), "p50": quantile(0.5), "p99": quantile(0.99),
            "p999": quantile(0.999), "buckets": buckets,
        })
    }

    /// Sends what changed since the last report, with `gauges` as they are now.
    pub(crate) fn report(&mut self, gauges: &[(Gauge, u64)]) {
        for count in COUNTS {
            let total = self.totals[count as usize];
            let change = total - self.reported[count as usize];
            if change > 0 {
                // Metrics that can't be sent are lost; the totals stay on the operator port.
                let _ = self
                    .client
                    .count(count.name(), i64::try_from(change).unwrap_or(i64::MAX));
            }
        }
        self.reported = self.totals;
        let quantiles = [
            (Gauge::CallP50Us, self.latency.value_at_quantile(0.5)),
            (Gauge::CallP99Us, self.latency.value_at_quantile(0.99)),
            (Gauge::CallP999Us, self.latency.value_at_quantile(0.999)),
        ];
        for (gauge, value) in gauges.iter().copied().chain(quantiles) {
            let _ = self.client.gauge(gauge.name(), value);
        }
        self.latency.reset();
        let _ = self.client.flush();
    }

    /// Counters, gauges and histograms as text that a collector of metrics reads.
    pub(crate) fn text(&self, gauges: &[(Gauge, u64)]) -> Box<str> {
        let counts = COUNTS.iter().map(|count| {
            let help = "Counted since the start of the process.";
            (
                count.name(),
                help,
                text::Value::Counter(self.totals[*count as usize]),
            )
        });
        let gauges = gauges.iter().map(|(gauge, value)| {
            (
                gauge.name(),
                "State at the time of the call.",
                text::Value::Gauge(*value),
            )
        });
        let histograms = [
            (
                "attempt",
                "Seconds from the choice of a target to its whole answer.",
                &self.attempts,
            ),
            (
                "inside",
                "Seconds of a call without the wait for its target.",
                &self.inside,
            ),
        ];
        let histograms = histograms
            .into_iter()
            .map(|(name, help, found)| (name, help, text::Value::histogram(found)));
        text::encode(counts.chain(gauges).chain(histograms))
    }

    /// The totals by name.
    pub(crate) fn totals(&self) -> Value {
        COUNTS
            .iter()
            .map(|count| (count.name(), json!(self.totals[*count as usize])))
            .collect()
    }
}

fn client(statsd: Option<SocketAddr>, vm: &str) -> StatsdClient {
    match statsd.map(sink) {
        Some(Ok(sink)) => StatsdClient::builder(PREFIX, sink)
            .with_tag("vm", vm)
            .build(),
        Some(Err(error)) => {
            log::warn!(cause:% = error; "metrics are not sent: the UDP socket could not be opened");
            StatsdClient::from_sink(PREFIX, NopMetricSink)
        }
        None => StatsdClient::from_sink(PREFIX, NopMetricSink),
    }
}

fn sink(statsd: SocketAddr) -> Result<BufferedUdpMetricSink, cadence::MetricError> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(statsd, socket)
}
