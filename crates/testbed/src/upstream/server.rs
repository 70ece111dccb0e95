//! Server of the fake upstream: handles calls, announces the upstream to its node and serves the
//! admin listener.

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

use super::responses::{
    FrameSender, FrameStream, RequestBody, ResponseBody, empty_response, endless_response,
    forwarded_failure, json_response, shed_response, truncated_response,
};
use super::{Behaviour, CallRule, Settings, UpstreamRecord};

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the announcement that the upstream is leaving in which it still accepts connections.
const DRAIN_DELAY: Duration = Duration::from_millis(2_500);
/// Time between two frames of a response without an end.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);
const DIRECT_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a request body that is buffered so that it can be sent more than once. Larger
/// bodies are streamed and sent once.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Header with the tag under which the runs of a request are counted.
pub const TAG_HEADER: &str = "x-tag";

quick_error! {
    /// Failure that stops a fake upstream.
    #[derive(Debug)]
    pub enum UpstreamError {
        /// The listener for calls or the signal handler failed.
        Io(source: io::Error) {
            display("{}", source)
            from()
        }
        /// The admin listener could not be opened.
        Admin(source: AdminError) {
            display("{}", source)
            from()
        }
    }
}

struct FakeUpstream {
    settings: Settings,
    behaviour: Mutex<Behaviour>,
    record: Mutex<UpstreamRecord>,
    slots: Semaphore,
    client: Client<HttpConnector, RequestBody>,
    incarnation: u64,
}

/// Runs a fake upstream until a stop is requested.
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
    let fake = Arc::new(FakeUpstream {
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
    let announcer = tokio::spawn(announce_periodically(Arc::clone(&fake)));
    let (stop_server, stop) = watch::channel(false);
    let server = tokio::spawn(serve(Arc::clone(&fake), listener, stop));
    daemon::stop_requested().await?;
    fake.behaviour().is_leaving = true;
    announce(&fake).await;
    tokio::time::sleep(DRAIN_DELAY).await;
    // Callers that send directly, without a node, don't see the announcement; their new connections
    // are refused from here on.
    let _ = stop_server.send(true);
    let _ = server.await;
    announcer.abort();
    info!(log, "upstream-stopped");
    Ok(())
}

impl FakeUpstream {
    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self) -> MutexGuard<'_, UpstreamRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the behaviour and adds or removes slots accordingly. Slots in use are not removed.
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

fn start_admin(fake: &Arc<FakeUpstream>) -> Result<AdminServer, AdminError> {
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

async fn announce_periodically(fake: Arc<FakeUpstream>) {
    loop {
        announce(&fake).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce(fake: &FakeUpstream) {
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
        // The node may not be up yet; the next announcement retries.
        let _ = tokio::time::timeout(ANNOUNCE_INTERVAL, fake.client.request(request)).await;
    }
}

async fn serve(fake: Arc<FakeUpstream>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
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

fn serve_connection(fake: &Arc<FakeUpstream>, stream: TcpStream, graceful: &GracefulShutdown) {
    let _ = stream.set_nodelay(true);
    let fake = Arc::clone(fake);
    let service = service_fn(move |request| {
        let fake = Arc::clone(&fake);
        async move { Ok::<_, Infallible>(handle(&fake, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // If the caller closes the connection, the future of its call is dropped, which cancels it.
        let _ = watched.await;
    });
}

/// Counts a call as finished or cancelled when it is dropped.
struct RunningCall<'a> {
    fake: &'a FakeUpstream,
    is_finished: bool,
}

impl Drop for RunningCall<'_> {
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

async fn handle(fake: &Arc<FakeUpstream>, request: Request<Incoming>) -> Response<ResponseBody> {
    let behaviour = fake.behaviour().clone();
    if behaviour.is_shedding {
        fake.record().shed += 1;
        return shed_response();
    }
    fake.record().in_flight += 1;
    let mut running_call = RunningCall { fake, is_finished: false };
    let Ok(_slot) = fake.slots.acquire().await else {
        return empty_response(StatusCode::GONE);
    };
    record_start(fake, &request);
    if let Some(text) = &behaviour.crash_on
        && request.uri().path().contains(text.as_str())
    {
        // The record is lost with the process, so the path goes to the log.
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
    let response = respond(fake, &behaviour, request).await;
    running_call.is_finished = true;
    response
}

fn record_start(fake: &FakeUpstream, request: &Request<Incoming>) {
    let mut record = fake.record();
    record.started += 1;
    record.last_started_unix_us = Clock::unix_us();
    if let Some(tag) = request.headers().get(TAG_HEADER).and_then(|tag| tag.to_str().ok()) {
        *record.runs.entry(tag.to_owned()).or_insert(0) += 1;
    }
}

async fn respond(
    fake: &Arc<FakeUpstream>,
    behaviour: &Behaviour,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if rand::rng().random_range(0..100) < behaviour.fail_percent {
        return empty_response(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let rule = fake.settings.calls.iter().find(|rule| path.starts_with(&rule.path_prefix));
    let mut trail = Vec::new();
    let summary = match rule {
        Some(rule) => {
            match call_service(fake, rule, &parts.method, &path, &parts.headers, body).await {
                Ok(callee) => {
                    trail = callee.trail;
                    callee.summary
                }
                Err(failure) => return failure,
            }
        }
        None => match read_body(fake, body).await {
            Some(summary) => summary,
            None => return empty_response(StatusCode::BAD_REQUEST),
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
    if behaviour.is_endless {
        let (response, sender) = endless_response();
        tokio::spawn(send_endless(Arc::clone(fake), sender));
        return response;
    }
    let text = report.to_string();
    match behaviour.is_truncating {
        true => truncated_response(text),
        false => json_response(text),
    }
}

/// Sends frames of a body until its connection is closed.
async fn send_endless(fake: Arc<FakeUpstream>, sender: FrameSender) {
    fake.record().endless_responses += 1;
    let frame = Bytes::from_static(&[b'x'; 4_096]);
    while sender.send(Ok(Frame::data(frame.clone()))).await.is_ok() {
        tokio::time::sleep(ENDLESS_INTERVAL).await;
    }
    fake.record().endless_responses -= 1;
}

/// Size and SHA-256 digest of a request body.
struct BodySummary {
    bytes: u64,
    sha256: String,
}

/// What the response of a called service reports.
struct CalleeReport {
    /// VMs that the call ran on, in call order.
    trail: Vec<String>,
    /// Size and digest of the body that the last of them received.
    summary: BodySummary,
}

async fn read_body(fake: &FakeUpstream, mut body: Incoming) -> Option<BodySummary> {
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

/// Makes the calls of a rule, one after another. If one fails, returns the response for the caller
/// as the error.
async fn call_service(
    fake: &FakeUpstream,
    rule: &CallRule,
    method: &Method,
    path: &str,
    caller_headers: &HeaderMap,
    body: Incoming,
) -> Result<CalleeReport, Response<ResponseBody>> {
    let mut buffered = BytesMut::new();
    let mut body = body;
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    buffered.extend_from_slice(&chunk);
                }
            }
            Some(Err(_)) => return Err(empty_response(StatusCode::BAD_REQUEST)),
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            break false;
        }
    };
    let buffered = buffered.freeze();
    if !is_complete {
        let stream = StreamBody::new(forward_body(buffered, body));
        return call_once(fake, rule, method, path, caller_headers, Either::Right(stream)).await;
    }
    let mut last = None;
    for _ in 0..rule.count.max(1) {
        let full = Either::Left(Full::new(buffered.clone()));
        last = Some(call_once(fake, rule, method, path, caller_headers, full).await?);
    }
    last.ok_or_else(|| empty_response(StatusCode::INTERNAL_SERVER_ERROR))
}

/// Streams the buffered part of a body and then the rest of it.
fn forward_body(buffered: Bytes, mut body: Incoming) -> FrameStream {
    let (sender, receiver) = tokio::sync::mpsc::channel(16);
    tokio::spawn(async move {
        if sender.send(Ok(Frame::data(buffered))).await.is_err() {
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
    FrameStream(receiver)
}

async fn call_once(
    fake: &FakeUpstream,
    rule: &CallRule,
    method: &Method,
    path: &str,
    caller_headers: &HeaderMap,
    body: RequestBody,
) -> Result<CalleeReport, Response<ResponseBody>> {
    let response = match fake.settings.egress {
        Some(egress) => {
            let request = callee_request(method, egress, path, caller_headers, &rule.service, body);
            fake.client.request(request).await.ok()
        }
        None => call_directly(fake, rule, method, path, caller_headers, body).await,
    };
    let Some(response) = response else {
        return Err(empty_response(StatusCode::BAD_GATEWAY));
    };
    if response.status() != StatusCode::OK {
        return Err(forwarded_failure(&response));
    }
    let Ok(bytes) = response.into_body().collect().await.map(|body| body.to_bytes()) else {
        return Err(empty_response(StatusCode::BAD_GATEWAY));
    };
    let Ok(report) = serde_json::from_slice::<serde_json::Value>(&bytes) else {
        return Err(empty_response(StatusCode::BAD_GATEWAY));
    };
    let trail = report["trail"].as_array().cloned().unwrap_or_default();
    Ok(CalleeReport {
        trail: trail.iter().filter_map(|vm| vm.as_str().map(str::to_owned)).collect(),
        summary: BodySummary {
            bytes: report["body_bytes"].as_u64().unwrap_or(0),
            sha256: report["body_sha256"].as_str().unwrap_or_default().to_owned(),
        },
    })
}

/// Calls an upstream without a node in between, with the retries that an ordinary client makes.
async fn call_directly(
    fake: &FakeUpstream,
    rule: &CallRule,
    method: &Method,
    path: &str,
    caller_headers: &HeaderMap,
    body: RequestBody,
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
    let replayable_body = match &body {
        Either::Left(full) => Some(full.clone()),
        Either::Right(_) => None,
    };
    let mut body = Some(body);
    for _ in 0..=fake.settings.direct_retries {
        let next = body.take().or_else(|| replayable_body.clone().map(Either::Left))?;
        let address = targets[rand::rng().random_range(0..targets.len())];
        let request = callee_request(method, address, path, caller_headers, &rule.service, next);
        let call = tokio::time::timeout(DIRECT_CALL_TIMEOUT, fake.client.request(request)).await;
        if let Ok(Ok(response)) = call
            && !response.status().is_server_error()
        {
            return Some(response);
        }
    }
    None
}

fn callee_request(
    method: &Method,
    address: SocketAddr,
    path: &str,
    caller_headers: &HeaderMap,
    service: &ServiceName,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = method.clone();
    if let Ok(uri) = format!("http://{address}{path}").parse() {
        *request.uri_mut() = uri;
    }
    let callee_headers = request.headers_mut();
    for name in [headers::CONTEXT, headers::IDEMPOTENCY_KEY, TAG_HEADER] {
        if let Some(value) = caller_headers.get(name) {
            callee_headers.insert(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::try_from(service.as_str()) {
        callee_headers.insert(headers::SERVICE, value);
    }
    request
}
