//! Detects crashes of the local upstream and records the requests that it was running.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use daemon::Clock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, header};
use model::VmName;
use policy::quarantine::{Digest, ProcessId, RunMode};
use policy::run_table::{Run, RunId, RunTable};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::body::CallBody;
use crate::configuration_holder::ConfigurationHolder;
use crate::connection_pool::{AddressCheck, ConnectionPool};
use crate::metrics::Metrics;
use crate::quarantine_peers::QuarantinePeers;
use crate::request_key::{RequestKey, digest_text};
use crate::request_log::RequestLog;
use crate::suspects::{self, Isolation, RunPermit, Suspects};
use crate::upstream::{ServingUpstream, UpstreamState};

/// Components that the monitor uses.
pub(crate) struct CrashMonitorDependencies {
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) vm: VmName,
    pub(crate) pool: ConnectionPool,
    pub(crate) upstream_state: Arc<UpstreamState>,
    pub(crate) suspects: Arc<Suspects>,
    pub(crate) peers: Arc<QuarantinePeers>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) configuration: Arc<ConfigurationHolder>,
    /// Header with the process id in the answer to a health check.
    pub(crate) health_id_header: HeaderName,
}

/// What a check of an upstream process found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The process has ended without notice.
    Crashed,
    /// The process answers nothing, so it has most likely ended.
    Silent,
    /// The process runs, or stops as planned.
    Running,
}

/// Last check of whether the upstream still runs.
struct Check {
    process: ProcessId,
    started: Instant,
    verdict: Verdict,
}

/// Requests that the local upstream runs, and the detection of its crashes.
pub(crate) struct CrashMonitor {
    deps: CrashMonitorDependencies,
    request_log: RequestLog,
    runs: Mutex<RunTable<RequestKey>>,
    last_check: tokio::sync::Mutex<Option<Check>>,
}

impl CrashMonitor {
    pub(crate) fn new(deps: CrashMonitorDependencies) -> Self {
        Self {
            request_log: RequestLog::new(deps.log.clone(), deps.clock),
            deps,
            runs: Mutex::default(),
            last_check: tokio::sync::Mutex::default(),
        }
    }

    /// Records that a request is dispatched.
    pub(crate) fn start(
        self: &Arc<Self>,
        upstream: &ServingUpstream,
        request: RequestKey,
        permit: RunPermit,
    ) -> RunGuard {
        let process = self.process_id(upstream);
        let mut permit = permit;
        let run_mode = permit.run_mode;
        let id = self.runs().start(Run { request, process, run_mode });
        let isolation_limit =
            permit.isolation.take().map(|isolation| self.limit_isolation(id, isolation));
        RunGuard {
            monitor: Arc::clone(self),
            upstream: upstream.clone(),
            id,
            _permit: permit,
            _isolation_limit: isolation_limit,
        }
    }

    /// Ends the isolation of a run after [`suspects::MAX_ISOLATION`], or when the returned sender
    /// is dropped.
    fn limit_isolation(self: &Arc<Self>, id: RunId, isolation: Isolation) -> oneshot::Sender<()> {
        let (run_ended, ended) = oneshot::channel();
        let monitor = Arc::clone(self);
        tokio::spawn(async move {
            if tokio::time::timeout(suspects::MAX_ISOLATION, ended).await.is_err() {
                monitor.runs().end_isolation(id);
            }
            drop(isolation);
        });
        run_ended
    }

    /// Checks whether the upstream process has crashed, and records the requests that it was running
    /// if so. A process that was about to stop has not crashed.
    async fn check(&self, upstream: &ServingUpstream) -> Verdict {
        let noticed = Instant::now();
        let process = self.process_id(upstream);
        let mut last_check = self.last_check.lock().await;
        if let Some(last) = last_check.as_ref().filter(|last| last.process == process)
            && (last.verdict == Verdict::Crashed || last.started >= noticed)
        {
            return last.verdict;
        }
        let started = Instant::now();
        let verdict = self.find_verdict(upstream).await;
        *last_check = Some(Check { process, started, verdict });
        if let Some(log) = self.request_log.rate_limited_logger(&self.deps.metrics) {
            info!(log, "upstream-checked"; "instance" => &*upstream.instance_id,
                "address" => %upstream.address, "verdict" => ?verdict,
                "duration_ms" => started.elapsed().as_millis() as u64);
        }
        match verdict {
            Verdict::Crashed => self.record_crash(upstream).await,
            Verdict::Silent => {
                self.deps.metrics.upstream_silences.inc();
                self.deps.upstream_state.mark_unreachable(upstream);
            }
            Verdict::Running => {}
        }
        verdict
    }

    async fn find_verdict(&self, upstream: &ServingUpstream) -> Verdict {
        let state = &self.deps.upstream_state;
        if state.is_planned_stop(upstream) {
            return Verdict::Running;
        }
        if state.is_replaced(upstream) {
            return Verdict::Crashed;
        }
        let started_us = self.deps.clock.now_us();
        let probe = || self.health_check(upstream);
        match self.deps.pool.check(upstream.address, probe).await {
            AddressCheck::Refused => Verdict::Crashed,
            AddressCheck::Open(headers) if self.is_other_process(upstream, headers.as_deref()) => {
                Verdict::Crashed
            }
            AddressCheck::Open(_) => Verdict::Running,
            // A process may have no room for another connection or call.
            AddressCheck::Silent
                if self.runs().has_answered_since(started_us, &self.process_id(upstream)) =>
            {
                Verdict::Running
            }
            AddressCheck::Silent => Verdict::Silent,
        }
    }

    /// Returns a health check of the upstream, or `None` if the configuration has no path for it.
    fn health_check(&self, upstream: &ServingUpstream) -> Option<Request<CallBody>> {
        let active = self.deps.configuration.load()?;
        let path = active.configuration.health_path(&upstream.service)?;
        let mut request = Request::new(CallBody::default());
        *request.uri_mut() = path.parse().ok()?;
        let host = HeaderValue::try_from(upstream.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        Some(request)
    }

    /// Returns whether the answer to a health check names another process.
    fn is_other_process(&self, upstream: &ServingUpstream, headers: Option<&HeaderMap>) -> bool {
        let id = headers.and_then(|headers| headers.get(&self.deps.health_id_header));
        id.is_some_and(|id| id.as_bytes() != upstream.instance_id.as_bytes())
    }

    /// Checks for a crash if a process that was replaced or cannot be reached may have been running
    /// requests. The check continues if the returned handle is dropped.
    pub(crate) fn check_unreachable(self: &Arc<Self>, upstream: ServingUpstream) -> JoinHandle<()> {
        let monitor = Arc::clone(self);
        tokio::spawn(async move {
            if monitor.runs().has_runs(&monitor.process_id(&upstream)) {
                monitor.check(&upstream).await;
            }
        })
    }

    /// Checks whether the process of an abandoned run has crashed or fell silent, and records it.
    async fn check_run(&self, upstream: &ServingUpstream, id: RunId) {
        if self.check(upstream).await == Verdict::Silent {
            self.record_silence(upstream, id).await;
        }
    }

    /// Records that a process fell silent when it ran this request.
    async fn record_silence(&self, upstream: &ServingUpstream, id: RunId) {
        let Some(run) = self.runs().take_abandoned(id) else { return };
        let digest = run.request.digest();
        let process = self.process_id(upstream);
        let change = self.deps.suspects.record_death(&process, digest, run.run_mode);
        self.log_suspect(upstream, &run.request, digest, run.run_mode);
        if change.is_some() {
            self.deps.peers.announce(vec![digest]).await;
        }
    }

    /// Records the requests of a crashed process and reports them to the other nodes.
    async fn record_crash(&self, upstream: &ServingUpstream) {
        let process = self.process_id(upstream);
        self.deps.upstream_state.mark_unreachable(upstream);
        let crashed = self.runs().take_crashed(self.deps.clock.now_us(), &process);
        self.deps.metrics.upstream_crashes.inc();
        warn!(self.deps.log, "upstream-crashed"; "instance" => &*upstream.instance_id,
            "address" => %upstream.address, "requests" => crashed.len());
        let mut digests = Vec::new();
        for run in crashed {
            let digest = run.request.digest();
            if self.deps.suspects.record_death(&process, digest, run.run_mode).is_some() {
                digests.push(digest);
            }
            self.log_suspect(upstream, &run.request, digest, run.run_mode);
        }
        self.deps.peers.announce(digests).await;
    }

    fn log_suspect(
        &self,
        upstream: &ServingUpstream,
        request: &RequestKey,
        digest: Digest,
        run_mode: RunMode,
    ) {
        let crashes = self.deps.suspects.report(digest).map_or(0, |report| report.evidence.crashes);
        // Evidence beyond a shared crash is rare, so these lines are not rate-limited.
        let log = match run_mode {
            RunMode::Shared => self.request_log.rate_limited_logger(&self.deps.metrics),
            RunMode::Probation | RunMode::Isolated => Some(&self.deps.log),
        };
        let Some(log) = log else { return };
        info!(log, "request-suspected"; "request" => request.id_text(),
            "digest" => digest_text(digest), "instance" => &*upstream.instance_id,
            "run_mode" => ?run_mode, "crashes" => crashes);
    }

    fn process_id(&self, upstream: &ServingUpstream) -> ProcessId {
        ProcessId { vm: self.deps.vm.to_string(), incarnation: upstream.incarnation }
    }

    fn runs(&self) -> MutexGuard<'_, RunTable<RequestKey>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a run in the table of the monitor. Dropping it records that the run was abandoned.
pub(crate) struct RunGuard {
    monitor: Arc<CrashMonitor>,
    upstream: ServingUpstream,
    id: RunId,
    _permit: RunPermit,
    _isolation_limit: Option<oneshot::Sender<()>>,
}

impl RunGuard {
    /// Records that the upstream sent a complete answer over a connection opened at `opened_us`.
    pub(crate) fn finish_answered(self, opened_us: u64) {
        let now_us = self.monitor.deps.clock.now_us();
        let run = {
            let mut runs = self.monitor.runs();
            let Some(run) = runs.finish(self.id) else { return };
            runs.record_alive(now_us, opened_us, &run.process);
            run
        };
        let cleared = self.monitor.deps.suspects.record_answer(|| run.request.digest());
        if let Some(digest) = cleared {
            self.monitor.deps.peers.enqueue([digest]);
        }
    }

    /// Records that the upstream refused the request over a connection opened at `opened_us`.
    pub(crate) fn finish_refused(self, opened_us: u64) {
        let now_us = self.monitor.deps.clock.now_us();
        let mut runs = self.monitor.runs();
        if let Some(run) = runs.finish(self.id) {
            runs.record_alive(now_us, opened_us, &run.process);
        }
    }

    /// Records that the upstream did not run the request.
    pub(crate) fn finish_not_run(self) {
        self.monitor.runs().finish(self.id);
    }

    /// Checks whether the upstream crashed after the connection of the run broke. The check
    /// continues if the returned handle is dropped.
    pub(crate) fn finish_broken(self) -> JoinHandle<()> {
        tokio::spawn(async move {
            let now_us = self.monitor.deps.clock.now_us();
            // The next process may report long after this check.
            self.monitor.runs().abandon(now_us, self.id);
            self.monitor.check_run(&self.upstream, self.id).await;
        })
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now_us = self.monitor.deps.clock.now_us();
        let run_mode = self.monitor.runs().abandon(now_us, self.id);
        // A suspect that ends without an answer may have left its process silent.
        if run_mode.is_some_and(|run_mode| run_mode > RunMode::Shared)
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            let (monitor, upstream, id) =
                (Arc::clone(&self.monitor), self.upstream.clone(), self.id);
            runtime.spawn(async move { monitor.check_run(&upstream, id).await });
        }
    }
}
