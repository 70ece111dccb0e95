//! Open-loop load generator: requests arrive in a Poisson process, whether or not earlier ones have
//! ended. Requests that fail or are refused are retried after a random delay.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use model::headers;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Runtime;

const TAG_HEADER: &str = "x-tag";
const POLL_INTERVAL: Duration = Duration::from_millis(1);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A kind of request in the load mix.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name in reports and prefix of the requests' tags.
    pub name: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path, to which the number of the request is appended.
    pub path: &'static str,
    /// Weight relative to the sum of all weights in the mix.
    pub weight: u32,
    /// Whether the requests carry an idempotency key.
    pub is_keyed: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// Period of constant mean rate.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length of the period.
    pub duration: Duration,
    /// Mean arrival rate, in requests per second.
    pub rate_per_s: f64,
}

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Addresses to send to; each attempt picks one at random.
    pub entry_addresses: Vec<SocketAddr>,
    /// Kinds of requests in the mix.
    pub kinds: Vec<RequestKind>,
    /// Phases, run in sequence.
    pub phases: Vec<Phase>,
    /// Maximum number of attempts for each request, including the first.
    pub max_attempts: u32,
    /// Mean delay between attempts, with a uniform jitter of 50 percent in both directions.
    pub retry_delay: Duration,
    /// Time after which a request is not retried and a complete answer counts as late.
    pub answer_timeout: Duration,
    /// Seed of the arrivals, the mix and the retries.
    pub seed: u64,
}

/// Result of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// A complete answer to this request arrived in time.
    Good,
    /// The last attempt got an answer that says that it did not run.
    NotRun,
    /// The last attempt failed or its outcome is unknown.
    Failed,
    /// A complete answer arrived too late.
    Late,
    /// The answer is malformed or belongs to another request.
    Mismatched,
}

/// Result and timing of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Index of its kind in the mix.
    pub kind: usize,
    /// Time of its first attempt, since the start of the load.
    pub started: Duration,
    /// Time from its first attempt to its end.
    pub elapsed: Duration,
    /// Number of attempts made.
    pub attempts: u32,
    /// Result of the request.
    pub result: RequestResult,
    /// Tag under which upstreams count its runs.
    pub tag: String,
    /// Value of the reason header of the last answer; empty if absent.
    pub reason: String,
}

/// A running load.
pub struct Load {
    runtime: Runtime,
    started: Instant,
    generator: tokio::task::JoinHandle<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
    in_flight: Arc<AtomicUsize>,
}

struct LoadCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: LoadSettings,
}

impl Load {
    /// Starts the load on a runtime of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn start(settings: LoadSettings) -> std::io::Result<Self> {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let samples = Arc::new(Mutex::new(Vec::new()));
        let in_flight = Arc::new(AtomicUsize::new(0));
        let started = Instant::now();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(5))
            .pool_timer(TokioTimer::new())
            .build(connector);
        let caller = Arc::new(LoadCaller { client, settings });
        let generation =
            generate_load(caller, started, Arc::clone(&samples), Arc::clone(&in_flight));
        let generator = runtime.spawn(generation);
        Ok(Self { runtime, started, generator, samples, in_flight })
    }

    /// Returns the time since the start of the load.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Blocks until a point in time, given as the time since the start of the load.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.started.elapsed()));
    }

    /// Waits for the end of the load and returns the results of all requests.
    pub fn finish(self) -> Vec<Sample> {
        // If the generator panicked, there are fewer samples, which the evaluation of the run
        // detects.
        let _ = self.runtime.block_on(self.generator);
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            std::thread::sleep(POLL_INTERVAL);
        }
        std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Starts the requests of all phases at exponentially distributed intervals.
async fn generate_load(
    caller: Arc<LoadCaller>,
    started: Instant,
    samples: Arc<Mutex<Vec<Sample>>>,
    in_flight: Arc<AtomicUsize>,
) {
    let mut rng = StdRng::seed_from_u64(caller.settings.seed);
    let mut next_arrival = Duration::ZERO;
    let mut phase_end = Duration::ZERO;
    let mut number = 0;
    for phase in caller.settings.phases.clone() {
        phase_end += phase.duration;
        while next_arrival < phase_end {
            if next_arrival > started.elapsed() {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let interarrival_s =
                -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / phase.rate_per_s;
            next_arrival += Duration::from_secs_f64(interarrival_s);
            number += 1;
            let kind = pick_kind(&caller.settings.kinds, rng.random());
            let request_seed = rng.random();
            let caller = Arc::clone(&caller);
            let samples = Arc::clone(&samples);
            let in_flight = Arc::clone(&in_flight);
            in_flight.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let sample = caller.run(kind, number, request_seed, started).await;
                samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
                in_flight.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

/// Returns the index of a kind, picked by weight.
fn pick_kind(kinds: &[RequestKind], random: u32) -> usize {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut remaining = random % total.max(1);
    for (index, kind) in kinds.iter().enumerate() {
        if remaining < kind.weight {
            return index;
        }
        remaining -= kind.weight;
    }
    0
}

impl LoadCaller {
    async fn run(&self, kind: usize, number: u64, seed: u64, load_started: Instant) -> Sample {
        let settings = &self.settings;
        let request_kind = &settings.kinds[kind];
        let mut rng = StdRng::seed_from_u64(seed);
        let started = Instant::now();
        let tag = format!("{}-{number}", request_kind.name);
        let path = format!("{}/{number}", request_kind.path);
        let mut attempts = 0;
        let mut result = RequestResult::Failed;
        let mut reason = String::new();
        while attempts < settings.max_attempts {
            attempts += 1;
            let entry_address =
                settings.entry_addresses[rng.random_range(0..settings.entry_addresses.len())];
            (result, reason) = self.attempt(request_kind, entry_address, &path, &tag).await;
            let is_expired = started.elapsed() > settings.answer_timeout;
            if result == RequestResult::Good && is_expired {
                result = RequestResult::Late;
            }
            let is_final = matches!(
                result,
                RequestResult::Good | RequestResult::Late | RequestResult::Mismatched
            );
            if is_final || is_expired {
                break;
            }
            let delay = settings.retry_delay.mul_f64(rng.random_range(0.5..1.5));
            tokio::time::sleep(delay).await;
        }
        Sample {
            kind,
            started: started.duration_since(load_started),
            elapsed: started.elapsed(),
            attempts,
            result,
            tag,
            reason,
        }
    }

    async fn attempt(
        &self,
        request_kind: &RequestKind,
        entry_address: SocketAddr,
        path: &str,
        tag: &str,
    ) -> (RequestResult, String) {
        let body = Bytes::from(vec![b'x'; request_kind.body_bytes]);
        let mut request = Request::builder()
            .method(request_kind.method.clone())
            .uri(format!("http://{entry_address}{path}"))
            .header(TAG_HEADER, tag);
        if request_kind.is_keyed {
            request = request.header(headers::IDEMPOTENCY_KEY, tag);
        }
        let Ok(request) = request.body(Full::new(body)) else {
            return (RequestResult::Failed, String::new());
        };
        let call = tokio::time::timeout(ATTEMPT_TIMEOUT, self.send(request));
        match call.await {
            Ok(Some(answer)) if answer.status == StatusCode::OK => {
                (check_answer(&answer.text, path, tag), answer.reason)
            }
            Ok(Some(answer)) if answer.is_not_run => (RequestResult::NotRun, answer.reason),
            Ok(Some(answer)) => (RequestResult::Failed, answer.reason),
            _ => (RequestResult::Failed, String::new()),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let is_not_run = header(headers::OUTCOME) == "not-run";
        let reason = header(headers::REASON);
        let text = response.into_body().collect().await.ok()?.to_bytes();
        Some(Answer { status, is_not_run, reason, text })
    }
}

struct Answer {
    status: StatusCode,
    is_not_run: bool,
    reason: String,
    text: Bytes,
}

/// Returns whether an answer is complete and belongs to its request, as `Good` or `Mismatched`.
fn check_answer(text: &[u8], path: &str, tag: &str) -> RequestResult {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(text) else {
        return RequestResult::Mismatched;
    };
    if answer["path"] == path && answer["tag"] == tag {
        RequestResult::Good
    } else {
        RequestResult::Mismatched
    }
}
