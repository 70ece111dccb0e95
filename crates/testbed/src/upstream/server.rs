//! The fake upstream itself.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use daemon::{AdminError, AdminReply, AdminServer, Clock};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use model::{Announcement, ServiceName, headers};
use quick_error::quick_error;
use rand::Rng;
use sha2::{Digest, Sha256};
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::answers::{
    AnswerBody, CallBody, ReceiverFrames, json, plain, relayed_failure, shed_answer, truncated,
};
use super::{Behaviour, CallRule, Settings, UpstreamRecord};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);
const DIRECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HELD_BYTES: usize = 1024 * 1024;
/// Header that names a request for the record of runs.
pub const TAG_HEADER: &str = "x-tag";

quick_error! {
    /// Failure that ends a fake upstream.
    #[derive(Debug)]
    pub enum UpstreamError {
        /// A listener failed.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The admin listener cannot be opened.
        Admin(source: AdminError) {
            display("{}", source)
            from()
        }
    }
}

struct Fake {
    settings: Settings,
    behaviour: Mutex<Behaviour>,
    record: Mutex<UpstreamRecord>,
    slots: Semaphore,
    client: Client<HttpConnector, CallBody>,
    incarnation: u64,
}

/// Runs a fake upstream until it is told to stop.
///
/// # Errors
///
/// Returns an error if a listener cannot be opened.
pub async fn run(log: Logger, settings: Settings) -> Result<(), UpstreamError> {
    let listener = TcpListener::bind(settings.listen).await?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_idle_timeout(Duration::from_secs(3))
        .pool_timer(TokioTimer::new())
        .build(connector);
    let fake = Arc::new(Fake {
        slots: Semaphore::new(settings.behaviour.slots),
        behaviour: Mutex::new(settings.behaviour.clone()),
        record: Mutex::new(UpstreamRecord::default()),
        client,
        incarnation: Clock::unix_us(),
        settings,
    });
    let admin = start_admin(&fake)?;
    info!(log, "upstream-started"; "vm" => %fake.settings.vm, "service" => %fake.settings.service,
        "listen" => %listener.local_addr()?, "admin" => %admin.address());
    let announcer = tokio::spawn(announce_always(Arc::clone(&fake)));
    let (stop_serving, stop) = watch::channel(false);
    let serving = tokio::spawn(serve(Arc::clone(&fake), listener, stop));
    daemon::stop_requested().await?;
    fake.behaviour().is_leaving = true;
    announce(&fake).await;
    tokio::time::sleep(LEAVE_NOTICE).await;
    // Whoever still sends, as callers without the layer do, finds the listener closed.
    let _ = stop_serving.send(true);
    let _ = serving.await;
    announcer.abort();
    info!(log, "upstream-stopped");
    Ok(())
}

impl Fake {
    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) -> MutexGuard<'_, UpstreamRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the behaviour; slots are added or taken away at once.
    fn set_behaviour(&self, next: Behaviour) {
        let mut current = self.behaviour();
        let (before, after) = (current.slots, next.slots);
        *current = next;
        drop(current);
        if after > before {
            self.slots.add_permits(after - before);
        } else {
            self.slots.forget_permits(before - after);
        }
    }
}

fn start_admin(fake: &Arc<Fake>) -> Result<AdminServer, AdminError> {
    let shared = Arc::clone(fake);
    AdminServer::start(fake.settings.admin_listen, move |method, path, body| match (method, path) {
        ("GET", "/record") => to_json(&*shared.record()),
        ("GET", "/behaviour") => to_json(&*shared.behaviour()),
        ("POST", "/behaviour") => match serde_json::from_str::<Behaviour>(body) {
            Ok(behaviour) => {
                shared.set_behaviour(behaviour);
                to_json(&*shared.behaviour())
            }
            Err(error) => {
                let reply = serde_json::json!({ "code": "bad-behaviour",
                        "message": error.to_string() });
                AdminReply::json(400, reply.to_string())
            }
        },
        _ => AdminReply::not_found(),
    })
}

fn to_json(value: &impl serde::Serialize) -> AdminReply {
    match serde_json::to_string(value) {
        Ok(text) => AdminReply::json(200, text),
        Err(error) => AdminReply::json(500, error.to_string()),
    }
}

async fn announce_always(fake: Arc<Fake>) {
    loop {
        announce(&fake).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce(fake: &Fake) {
    let Some(egress) = fake.settings.egress else {
        return;
    };
    let behaviour = fake.behaviour().clone();
    let announcement = Announcement {
        service: fake.settings.service.clone(),
        profile: fake.settings.profile.clone(),
        address: behaviour.announced_address.unwrap_or(fake.settings.listen),
        slots: behaviour.announced_slots.unwrap_or(behaviour.slots as u32),
        connections: fake.settings.connections,
        incarnation: fake.incarnation,
        calls: fake.settings.calls.iter().map(|rule| rule.service.clone()).collect(),
        is_leaving: behaviour.is_leaving,
    };
    let Ok(body) = serde_json::to_vec(&announcement) else {
        return;
    };
    let uri = format!("http://{egress}/.heatherweir/announce");
    let request = Request::post(uri).body(Either::Left(Full::new(Bytes::from(body))));
    if let Ok(request) = request {
        // The node may not be up yet; the next heartbeat tries again.
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, fake.client.request(request)).await;
    }
}

async fn serve(fake: Arc<Fake>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_connection(&fake, stream, &graceful);
                }
            }
            _ = stop.changed() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection(fake: &Arc<Fake>, stream: TcpStream, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let fake = Arc::clone(fake);
    let service = service_fn(move |request| {
        let fake = Arc::clone(&fake);
        async move { Ok::<_, Infallible>(handle(&fake, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A caller that goes away cancels its call.
        let _ = watched.await;
    });
}

/// Counts a running call and notices its cancellation.
struct Running<'a> {
    fake: &'a Fake,
    is_finished: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut record = self.fake.record();
        record.in_flight -= 1;
        if self.is_finished {
            record.finished += 1;
        } else {
            record.cancelled += 1;
        }
    }
}

async fn handle(fake: &Fake, request: Request<Incoming>) -> Response<AnswerBody> {
    let behaviour = fake.behaviour().clone();
    if behaviour.is_shedding {
        fake.record().shed += 1;
        return shed_answer();
    }
    fake.record().in_flight += 1;
    let mut running = Running { fake, is_finished: false };
    let Ok(_slot) = fake.slots.acquire().await else {
        return plain(StatusCode::GONE);
    };
    begin(fake, &request);
    if let Some(text) = &behaviour.crash_on
        && request.uri().path().contains(text.as_str())
    {
        // The record is gone with the process; the log keeps which request it was.
        eprintln!("crash path={}", request.uri().path());
        std::process::abort();
    }
    if behaviour.is_hanging {
        std::future::pending::<()>().await;
    }
    let jitter_us = match behaviour.jitter_us {
        0 => 0,
        limit => rand::rng().random_range(0..limit),
    };
    tokio::time::sleep(Duration::from_micros(behaviour.service_time_us + jitter_us)).await;
    let response = answer(fake, &behaviour, request).await;
    running.is_finished = true;
    response
}

fn begin(fake: &Fake, request: &Request<Incoming>) {
    let mut record = fake.record();
    record.started += 1;
    record.last_started_unix_us = Clock::unix_us();
    if let Some(tag) = request.headers().get(TAG_HEADER).and_then(|tag| tag.to_str().ok()) {
        *record.runs.entry(tag.to_owned()).or_insert(0) += 1;
    }
}

async fn answer(
    fake: &Fake,
    behaviour: &Behaviour,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if rand::rng().random_range(0..100) < behaviour.fail_percent {
        return plain(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let rule = fake.settings.calls.iter().find(|rule| path.starts_with(&rule.path_prefix));
    let mut trail = Vec::new();
    let summary = match rule {
        Some(rule) => {
            match call_below(fake, rule, &parts.method, &path, &parts.headers, body).await {
                Ok(below) => {
                    trail = below.trail;
                    below.summary
                }
                Err(failure) => return failure,
            }
        }
        None => match take_body(fake, body).await {
            Some(summary) => summary,
            None => return plain(StatusCode::BAD_REQUEST),
        },
    };
    trail.insert(0, fake.settings.vm.to_string());
    let tag = parts.headers.get(TAG_HEADER).and_then(|tag| tag.to_str().ok());
    let report = serde_json::json!({
        "path": path,
        "tag": tag,
        "trail": trail,
        "body_bytes": summary.bytes,
        "body_sha256": summary.sha256,
        "padding": "x".repeat(behaviour.padding_bytes),
    });
    let text = report.to_string();
    match behaviour.is_truncating {
        true => truncated(text),
        false => json(text),
    }
}

/// Size and digest of a request body.
struct BodySummary {
    bytes: u64,
    sha256: String,
}

struct Below {
    trail: Vec<String>,
    summary: BodySummary,
}

async fn take_body(fake: &Fake, mut body: Incoming) -> Option<BodySummary> {
    let mut digest = Sha256::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame.ok()?.into_data() else {
            continue;
        };
        bytes += chunk.len() as u64;
        digest.update(&chunk);
    }
    let sha256 = hex(&digest.finalize());
    if bytes > 0 {
        let mut record = fake.record();
        record.last_upload_bytes = bytes;
        record.last_upload_sha256 = Some(sha256.clone());
    }
    Some(BodySummary { bytes, sha256 })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Makes the calls of a rule. Returns the answer to give instead when one fails.
async fn call_below(
    fake: &Fake,
    rule: &CallRule,
    method: &Method,
    path: &str,
    from: &HeaderMap,
    body: Incoming,
) -> Result<Below, Response<AnswerBody>> {
    let mut held = BytesMut::new();
    let mut body = body;
    let is_whole = loop {
        match body.frame().await {
            None => break true,
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    held.extend_from_slice(&chunk);
                }
            }
            Some(Err(_)) => return Err(plain(StatusCode::BAD_REQUEST)),
        }
        if held.len() > MAX_HELD_BYTES {
            break false;
        }
    };
    let held = held.freeze();
    if !is_whole {
        let stream = StreamBody::new(pump(held, body));
        return call_once(fake, rule, method, path, from, Either::Right(stream)).await;
    }
    let mut last = None;
    for _ in 0..rule.count.max(1) {
        let full = Either::Left(Full::new(held.clone()));
        last = Some(call_once(fake, rule, method, path, from, full).await?);
    }
    last.ok_or_else(|| plain(StatusCode::INTERNAL_SERVER_ERROR))
}

fn pump(held: Bytes, mut body: Incoming) -> ReceiverFrames {
    let (sender, receiver) = tokio::sync::mpsc::channel(16);
    tokio::spawn(async move {
        if sender.send(Ok(Frame::data(held))).await.is_err() {
            return;
        }
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(io::Error::other);
            let is_broken = frame.is_err();
            if sender.send(frame).await.is_err() || is_broken {
                return;
            }
        }
    });
    ReceiverFrames(receiver)
}

async fn call_once(
    fake: &Fake,
    rule: &CallRule,
    method: &Method,
    path: &str,
    from: &HeaderMap,
    body: CallBody,
) -> Result<Below, Response<AnswerBody>> {
    let response = match fake.settings.egress {
        Some(egress) => {
            let request = below_request(method, egress, path, from, &rule.service, body);
            fake.client.request(request).await.ok()
        }
        None => call_direct(fake, rule, method, path, from, body).await,
    };
    let Some(response) = response else {
        return Err(plain(StatusCode::BAD_GATEWAY));
    };
    if response.status() != StatusCode::OK {
        return Err(relayed_failure(&response));
    }
    let Ok(bytes) = response.into_body().collect().await.map(|body| body.to_bytes()) else {
        return Err(plain(StatusCode::BAD_GATEWAY));
    };
    let Ok(report) = serde_json::from_slice::<serde_json::Value>(&bytes) else {
        return Err(plain(StatusCode::BAD_GATEWAY));
    };
    let trail = report["trail"].as_array().cloned().unwrap_or_default();
    Ok(Below {
        trail: trail.iter().filter_map(|vm| vm.as_str().map(str::to_owned)).collect(),
        summary: BodySummary {
            bytes: report["body_bytes"].as_u64().unwrap_or(0),
            sha256: report["body_sha256"].as_str().unwrap_or_default().to_owned(),
        },
    })
}

/// Calls an upstream without the layer, with the usual retries of a client.
async fn call_direct(
    fake: &Fake,
    rule: &CallRule,
    method: &Method,
    path: &str,
    from: &HeaderMap,
    body: CallBody,
) -> Option<Response<Incoming>> {
    let targets: Vec<SocketAddr> = fake
        .settings
        .direct
        .iter()
        .filter(|target| target.service == rule.service)
        .map(|target| target.address)
        .collect();
    if targets.is_empty() {
        return None;
    }
    let replay = match &body {
        Either::Left(full) => Some(full.clone()),
        Either::Right(_) => None,
    };
    let mut body = Some(body);
    for _ in 0..=fake.settings.direct_retries {
        let next = body.take().or_else(|| replay.clone().map(Either::Left))?;
        let address = targets[rand::rng().random_range(0..targets.len())];
        let request = below_request(method, address, path, from, &rule.service, next);
        let call = tokio::time::timeout(DIRECT_TIMEOUT, fake.client.request(request)).await;
        if let Ok(Ok(response)) = call
            && !response.status().is_server_error()
        {
            return Some(response);
        }
    }
    None
}

fn below_request(
    method: &Method,
    address: SocketAddr,
    path: &str,
    from: &HeaderMap,
    service: &ServiceName,
    body: CallBody,
) -> Request<CallBody> {
    let mut request = Request::new(body);
    *request.method_mut() = method.clone();
    if let Ok(uri) = format!("http://{address}{path}").parse() {
        *request.uri_mut() = uri;
    }
    let out = request.headers_mut();
    for name in [headers::CONTEXT, headers::IDEMPOTENCY_KEY, TAG_HEADER] {
        if let Some(value) = from.get(name) {
            out.insert(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::try_from(service.as_str()) {
        out.insert(headers::SERVICE, value);
    }
    request
}
