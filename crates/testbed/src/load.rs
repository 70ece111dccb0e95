//! Callers: an open-loop load with retries, and what a judge counts of it.

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
const TICK: Duration = Duration::from_millis(1);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// One kind of request of a mix.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Name in reports.
    pub name: &'static str,
    /// Method.
    pub method: Method,
    /// Path; a number is appended.
    pub path: &'static str,
    /// Share of the load.
    pub weight: u32,
    /// Whether it carries an idempotency key.
    pub is_keyed: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

/// Constant rate for a while.
#[derive(Debug, Clone, Copy)]
pub struct Phase {
    /// Length.
    pub duration: Duration,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// Load of a run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Addresses, each request picks one.
    pub entries: Vec<SocketAddr>,
    /// Mix.
    pub kinds: Vec<RequestKind>,
    /// Rates, one after another.
    pub phases: Vec<Phase>,
    /// Attempts of a caller, the first one included.
    pub attempts: u32,
    /// Pause between attempts, spread by half.
    pub retry_pause: Duration,
    /// Time after which an answer is of no use to the caller.
    pub patience: Duration,
    /// Seed.
    pub seed: u64,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Complete answer to the right request in time.
    Good,
    /// The last attempt was told that it did not run.
    NotRun,
    /// The last attempt failed or its outcome is unknown.
    Failed,
    /// A complete answer came too late.
    Late,
    /// The answer belongs to another request.
    Wrong,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Index of the kind.
    pub kind: usize,
    /// Start since the start of the load.
    pub started: Duration,
    /// Time until the end.
    pub elapsed: Duration,
    /// Attempts that were made.
    pub attempts: u32,
    /// Ending.
    pub ending: Ending,
    /// Tag that the upstreams recorded.
    pub tag: String,
    /// Reason of the last refusal or failure, if one was given.
    pub reason: String,
}

/// A running load.
pub struct Load {
    runtime: Runtime,
    started: Instant,
    driver: tokio::task::JoinHandle<()>,
    samples: Arc<Mutex<Vec<Sample>>>,
    in_flight: Arc<AtomicUsize>,
}

struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: LoadSettings,
}

impl Load {
    /// Starts the load on threads of its own.
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
        let caller = Arc::new(Caller { client, settings });
        let drive = drive(caller, started, Arc::clone(&samples), Arc::clone(&in_flight));
        let driver = runtime.spawn(drive);
        Ok(Self { runtime, started, driver, samples, in_flight })
    }

    /// Returns the time since the start of the load.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Waits until a time since the start of the load.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.started.elapsed()));
    }

    /// Waits for the end of the load and returns every request.
    pub fn finish(self) -> Vec<Sample> {
        // A driver that panicked leaves fewer samples, which the judge sees.
        let _ = self.runtime.block_on(self.driver);
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            std::thread::sleep(TICK);
        }
        std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn drive(
    caller: Arc<Caller>,
    started: Instant,
    samples: Arc<Mutex<Vec<Sample>>>,
    in_flight: Arc<AtomicUsize>,
) {
    let mut rng = StdRng::seed_from_u64(caller.settings.seed);
    let mut next = Duration::ZERO;
    let mut phase_end = Duration::ZERO;
    let mut number = 0;
    for phase in caller.settings.phases.clone() {
        phase_end += phase.duration;
        while next < phase_end {
            if next > started.elapsed() {
                tokio::time::sleep(TICK).await;
                continue;
            }
            let gap_s = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / phase.rate_per_s;
            next += Duration::from_secs_f64(gap_s);
            number += 1;
            let kind = pick(&caller.settings.kinds, rng.random());
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

fn pick(kinds: &[RequestKind], random: u32) -> usize {
    let total: u32 = kinds.iter().map(|kind| kind.weight).sum();
    let mut left = random % total.max(1);
    for (index, kind) in kinds.iter().enumerate() {
        if left < kind.weight {
            return index;
        }
        left -= kind.weight;
    }
    0
}

impl Caller {
    async fn run(&self, kind: usize, number: u64, seed: u64, origin: Instant) -> Sample {
        let settings = &self.settings;
        let spec = &settings.kinds[kind];
        let mut rng = StdRng::seed_from_u64(seed);
        let begun = Instant::now();
        let tag = format!("{}-{number}", spec.name);
        let path = format!("{}/{number}", spec.path);
        let mut attempts = 0;
        let mut ending = Ending::Failed;
        let mut reason = String::new();
        while attempts < settings.attempts {
            attempts += 1;
            let entry = settings.entries[rng.random_range(0..settings.entries.len())];
            (ending, reason) = self.attempt(spec, entry, &path, &tag).await;
            let is_over = begun.elapsed() > settings.patience;
            if ending == Ending::Good && is_over {
                ending = Ending::Late;
            }
            let is_done = matches!(ending, Ending::Good | Ending::Late | Ending::Wrong);
            if is_done || is_over {
                break;
            }
            let pause = settings.retry_pause.mul_f64(rng.random_range(0.5..1.5));
            tokio::time::sleep(pause).await;
        }
        Sample {
            kind,
            started: begun.duration_since(origin),
            elapsed: begun.elapsed(),
            attempts,
            ending,
            tag,
            reason,
        }
    }

    async fn attempt(
        &self,
        spec: &RequestKind,
        entry: SocketAddr,
        path: &str,
        tag: &str,
    ) -> (Ending, String) {
        let body = Bytes::from(vec![b'x'; spec.body_bytes]);
        let mut request = Request::builder()
            .method(spec.method.clone())
            .uri(format!("http://{entry}{path}"))
            .header(TAG_HEADER, tag);
        if spec.is_keyed {
            request = request.header(headers::IDEMPOTENCY_KEY, tag);
        }
        let Ok(request) = request.body(Full::new(body)) else {
            return (Ending::Failed, String::new());
        };
        let call = tokio::time::timeout(ATTEMPT_TIMEOUT, self.exchange(request));
        match call.await {
            Ok(Some(answer)) if answer.status == StatusCode::OK => {
                (judge_answer(&answer.text, path, tag), answer.reason)
            }
            Ok(Some(answer)) if answer.is_not_run => (Ending::NotRun, answer.reason),
            Ok(Some(answer)) => (Ending::Failed, answer.reason),
            _ => (Ending::Failed, String::new()),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Option<Answer> {
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

/// Checks that an answer is complete and belongs to its request.
fn judge_answer(text: &[u8], path: &str, tag: &str) -> Ending {
    let Ok(answer) = serde_json::from_slice::<serde_json::Value>(text) else {
        return Ending::Wrong;
    };
    if answer["path"] == path && answer["tag"] == tag { Ending::Good } else { Ending::Wrong }
}
