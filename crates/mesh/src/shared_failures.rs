//! Failure data of routes between nodes: the shares that answers carry, and the exchange of results
//! with the collectors of routes.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use model::VmName;
use policy::overload::{Exchange, ExchangeAnswer};
use policy::shared_failures::{FailureShare, RouteFailures, RunCounts, collector, source_digest};
use policy::slots::CallKind;

use crate::body::{self, AnswerBody, CallBody};
use crate::configuration_holder::ConfigurationHolder;
use crate::connection_pool::{ConnectionPool, ReusePolicy};
use crate::endpoints::EndpointTable;
use crate::http_listener;
use crate::peer;
use crate::request_throttles::{DueExchange, RequestThrottles};
use crate::settings::FailureEvidence;

/// Fields of the share of a route, separated by spaces: failed runs in thousandths, and the number
/// of runs. Absent in answers of older nodes.
pub(crate) const FAILURES: HeaderName = HeaderName::from_static("heatherweir-failures");
/// Fields of a message to a collector, separated by spaces: route digest, runs, failed runs, and
/// whether a probe is asked for.
pub(crate) const FAILURE_EXCHANGE: HeaderName =
    HeaderName::from_static("heatherweir-failure-exchange");
/// Whether the answer of a collector grants a probe.
const PROBE: HeaderName = HeaderName::from_static("heatherweir-probe");

/// Interval at which throttles are asked for messages to collectors.
const TICK: Duration = Duration::from_millis(100);
/// Maximum time for an exchange. After it the next collector is asked.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Failure data at this node, by route digest.
pub(crate) struct SharedFailures {
    clock: Clock,
    evidence: FailureEvidence,
    failures: Mutex<RouteFailures>,
}

impl SharedFailures {
    pub(crate) fn new(clock: Clock, evidence: FailureEvidence) -> Self {
        Self { clock, evidence, failures: Mutex::default() }
    }

    /// Records a run at the local upstream. Ignored if the node does not share its failure data.
    pub(crate) fn record_run(&self, kind: CallKind, counts: RunCounts) {
        if self.evidence == FailureEvidence::Shared {
            self.lock().record(self.clock.now_us(), kind, counts);
        }
    }

    /// Returns the share of the route's recent runs that failed for lack of capacity, for an answer.
    /// `None` if the node does not share its failure data.
    pub(crate) fn share(&self, kind: CallKind) -> Option<FailureShare> {
        match self.evidence {
            FailureEvidence::Own => None,
            FailureEvidence::Shared => self.lock().share(self.clock.now_us(), kind),
        }
    }

    /// Handles a message of an entry node for which this node is the collector of a route. Nodes
    /// that do not share their own data answer too.
    pub(crate) fn handle(&self, message: &HeaderValue) -> Response<AnswerBody> {
        let Some((kind, exchange)) = decode_exchange(message) else {
            return http_listener::empty_response(StatusCode::BAD_REQUEST);
        };
        let mut response = http_listener::empty_response(StatusCode::OK);
        let now_us = self.clock.now_us();
        let (is_granted, share) = {
            let mut failures = self.lock();
            failures.record(now_us, kind, exchange.counts);
            let is_granted = exchange.wants_probe && failures.grant_probe(now_us, kind);
            (is_granted, failures.share(now_us, kind))
        };
        let headers = response.headers_mut();
        write_share(headers, share);
        headers.insert(PROBE, HeaderValue::from(u32::from(is_granted)));
        response
    }

    fn lock(&self) -> MutexGuard<'_, RouteFailures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the share of a route to the headers of an answer.
pub(crate) fn write_share(headers: &mut HeaderMap, share: Option<FailureShare>) {
    let Some(FailureShare { failed_permille, runs }) = share else { return };
    if let Ok(value) = HeaderValue::try_from(format!("{failed_permille} {runs}")) {
        headers.insert(FAILURES, value);
    }
}

/// Reads the share of a route from the headers of an answer. Returns `None` if it is absent or
/// malformed. Fields that a later version may append are ignored.
pub(crate) fn read_share(headers: &HeaderMap) -> Option<FailureShare> {
    let mut fields = headers.get(FAILURES)?.to_str().ok()?.split(' ');
    let mut number = || fields.next()?.parse::<u32>().ok();
    FailureShare::from_message(number()?, number()?)
}

fn encode_exchange(kind: CallKind, exchange: Exchange) -> Option<HeaderValue> {
    let RunCounts { runs, failed } = exchange.counts;
    let wants_probe = u8::from(exchange.wants_probe);
    HeaderValue::try_from(format!("{kind} {runs} {failed} {wants_probe}")).ok()
}

fn decode_exchange(message: &HeaderValue) -> Option<(CallKind, Exchange)> {
    let mut fields = message.to_str().ok()?.split(' ');
    let kind = fields.next()?.parse().ok()?;
    let mut number = || fields.next()?.parse::<u32>().ok();
    let counts = RunCounts { runs: number()?, failed: number()? };
    let wants_probe = number()? != 0;
    Some((kind, Exchange { counts, wants_probe, collector_rank: 0 }))
}

/// Answer of a collector, with the overload that its node reported.
struct CollectorAnswer {
    answer: ExchangeAnswer,
    overload: f64,
}

/// Exchanges the results of throttled routes with their collectors.
pub(crate) struct FailureExchanges {
    pub(crate) vm: VmName,
    pub(crate) pool: ConnectionPool,
    pub(crate) endpoints: Arc<EndpointTable>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
    pub(crate) throttles: Arc<RequestThrottles>,
    pub(crate) shared_failures: Arc<SharedFailures>,
}

impl FailureExchanges {
    /// Sends the messages that are due. Never returns.
    pub(crate) async fn run(self) {
        let exchanges = Arc::new(self);
        loop {
            tokio::time::sleep(TICK).await;
            for due in exchanges.throttles.take_exchanges(exchanges.endpoints.node_count()) {
                let exchanges = Arc::clone(&exchanges);
                tokio::spawn(async move { exchanges.exchange(due).await });
            }
        }
    }

    async fn exchange(&self, due: DueExchange) {
        let Some((vm, address)) = self.collector(&due) else {
            return self.throttles.record_lost_exchange(due);
        };
        let source = source_digest(0, &vm);
        let answer = match vm == self.vm {
            true => self.exchange_locally(&due),
            false => send(&self.pool, address, &due).await,
        };
        match answer {
            Some(CollectorAnswer { answer, overload }) => {
                self.throttles.record_exchange(due.kind, source, answer, overload);
            }
            None => self.throttles.record_lost_exchange(due),
        }
    }

    fn exchange_locally(&self, due: &DueExchange) -> Option<CollectorAnswer> {
        let message = encode_exchange(due.kind, due.exchange)?;
        let response = self.shared_failures.handle(&message);
        Some(CollectorAnswer { answer: read_answer(response.headers()), overload: 0.0 })
    }

    /// Returns the VM beside the collector of a route: one of the service to which the first target
    /// of the route belongs.
    fn collector(&self, due: &DueExchange) -> Option<(VmName, SocketAddr)> {
        let active = self.configuration.load()?;
        let mut routes = active.configuration.routes();
        let route = routes.find(|route| crate::call::route_kind(route) == due.kind)?;
        let service = &route.targets.first()?.service;
        let vms = self.endpoints.vms(service);
        let chosen = collector(due.kind, vms.iter().map(|(vm, _)| vm), due.exchange.collector_rank);
        let chosen = chosen?.clone();
        vms.into_iter().find(|(vm, _)| *vm == chosen)
    }
}

fn read_answer(headers: &HeaderMap) -> ExchangeAnswer {
    let is_probe_granted = headers.get(PROBE).is_some_and(|value| value == "1");
    ExchangeAnswer { share: read_share(headers), is_probe_granted }
}

/// Sends a message to a collector. Returns `None` if it did not answer, for example because it is of a
/// version without such messages.
async fn send(
    pool: &ConnectionPool,
    address: SocketAddr,
    due: &DueExchange,
) -> Option<CollectorAnswer> {
    let mut request = Request::new(CallBody::default());
    *request.method_mut() = Method::POST;
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("node"));
    request.headers_mut().insert(FAILURE_EXCHANGE, encode_exchange(due.kind, due.exchange)?);
    let exchange = async {
        let sent = pool.send(address, request, ReusePolicy::AnyIdle, None).await;
        let (response, connection) = sent.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let (_, is_complete) = body::read_buffered(&mut incoming).await.ok()?;
        if is_complete {
            connection.return_to_pool();
        }
        let is_answer = parts.status == StatusCode::OK && parts.headers.contains_key(PROBE);
        is_answer.then(|| CollectorAnswer {
            answer: read_answer(&parts.headers),
            overload: peer::reported_overload(&parts.headers),
        })
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.ok().flatten()
}
