//! Counters of one node, sent to statsd once a second.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use cadence::{Counted, StatsdClient, UdpMetricSink};
use quick_error::quick_error;

const SEND_INTERVAL: Duration = Duration::from_secs(1);
const PREFIX: &str = "heatherweir.node";

quick_error! {
    /// Failure to start the sender of metrics.
    #[derive(Debug)]
    pub enum StatsError {
        /// The socket cannot be opened or the thread cannot be started.
        Socket(source: std::io::Error) {
            display("cannot open the statsd socket or start its thread: {}", source)
            from()
        }
        /// The statsd address is invalid.
        Sink(source: cadence::MetricError) {
            display("invalid statsd address: {}", source)
            from()
        }
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $metric:literal;)*) => {
        /// Identifies a counter of the node.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(crate) enum Counter {
            $($(#[$doc])* $name,)*
        }

        impl Counter {
            pub(crate) const ALL: &[Counter] = &[$(Counter::$name),*];

            /// Returns the name of the metric.
            pub(crate) fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$name => $metric,)*
                }
            }
        }
    };
}

counters! {
    /// Requests received from callers.
    CallerRequests = "caller.requests";
    /// Requests of callers that an upstream answered.
    CallerAnswered = "caller.answered";
    /// Requests of callers that failed with the outcome `not-run`.
    CallerNotRun = "caller.not_run";
    /// Requests of callers that failed with the outcome `unknown`.
    CallerUnknown = "caller.unknown";
    /// Internal headers that were dropped from callers' requests.
    ForgedHeaders = "caller.forged_headers";
    /// Calls that the local upstream made.
    EgressCalls = "egress.calls";
    /// Calls that the local upstream made without a context header.
    EgressOrphans = "egress.orphans";
    /// Requests, calls and announcements refused for malformed input.
    BadInput = "input.bad";
    /// Attempts sent to nodes, including this one.
    Attempts = "dispatch.attempts";
    /// Attempts after the first one of a call.
    Retries = "dispatch.retries";
    /// Retries that were not sent because the retry budget was used up.
    BudgetRefusals = "dispatch.budget_refusals";
    /// Calls dispatched to the local upstream.
    IngressDispatched = "ingress.dispatched";
    /// Calls that the ingress refused without running them.
    IngressRefused = "ingress.refused";
    /// Calls that were running when their upstream died.
    UpstreamDeaths = "ingress.upstream_deaths";
    /// Claims granted.
    ClaimsGranted = "claims.granted";
    /// Claims refused for lack of a quorum.
    ClaimsNoQuorum = "claims.no_quorum";
}

/// Returns the name of every metric, without the prefix.
pub fn metrics() -> impl Iterator<Item = &'static str> {
    Counter::ALL.iter().map(|counter| counter.as_str())
}

/// Values of all counters.
#[derive(Debug)]
pub(crate) struct Stats {
    values: Vec<AtomicU64>,
}

impl Stats {
    pub(crate) fn new() -> Self {
        Self { values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect() }
    }

    pub(crate) fn increment(&self, counter: Counter) {
        self.values[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn to_json(&self) -> serde_json::Value {
        let entries = Counter::ALL.iter().map(|&c| (c.as_str().to_owned(), self.get(c).into()));
        serde_json::Value::Object(entries.collect())
    }
}

/// Starts the thread that sends the increments of the counters to statsd.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened or the thread cannot be started.
pub(crate) fn start_sender(stats: Arc<Stats>, statsd: SocketAddr) -> Result<(), StatsError> {
    let local: SocketAddr = match statsd {
        SocketAddr::V4(_) => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let client = StatsdClient::from_sink(PREFIX, UdpMetricSink::from(statsd, socket)?);
    thread::Builder::new().name("metrics".to_owned()).spawn(move || {
        let mut sent: Vec<u64> = vec![0; Counter::ALL.len()];
        loop {
            thread::sleep(SEND_INTERVAL);
            for (&counter, sent) in Counter::ALL.iter().zip(&mut sent) {
                let value = stats.get(counter);
                let delta = i64::try_from(value - *sent).unwrap_or(i64::MAX);
                *sent = value;
                if delta > 0 {
                    // An increment that cannot be sent is lost: statsd does not guarantee delivery.
                    let _ = client.count(counter.as_str(), delta);
                }
            }
        }
    })?;
    Ok(())
}
