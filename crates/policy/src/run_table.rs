//! Requests that one upstream process is running or may still be running.
//!
//! When the process dies, all of them may have caused it. That includes a run whose connection was
//! closed before: the process may have crashed without closing its address, and its death is seen
//! only when the next process reports. A process that answers over a connection from before the
//! run ended has not died meanwhile.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::US_PER_S;
use crate::quarantine::{ProcessId, RunMode};

/// Time for which an abandoned run counts as possibly running at a process that is alive, in
/// microseconds. Upstreams notice a closed connection much sooner.
const CANCEL_TIME_US: u64 = 2 * US_PER_S;
/// Time for which an abandoned run is kept while its process may have died, in microseconds. Covers
/// the restart of a process.
const ABANDONED_RETENTION_US: u64 = 10 * US_PER_S;
/// Maximum number of abandoned runs stored.
const MAX_ABANDONED_RUNS: usize = 256;

/// Identifier of a run in its table.
pub type RunId = u64;

/// A run of a request of type `R`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run<R> {
    /// The request.
    pub request: R,
    /// Process that runs it.
    pub process: ProcessId,
    /// How isolated it runs.
    pub run_mode: RunMode,
}

#[derive(Debug)]
struct AbandonedRun<R> {
    id: RunId,
    run: Run<R>,
    abandoned_us: u64,
}

/// Runs of the upstream of one VM.
#[derive(Debug)]
pub struct RunTable<R> {
    next_id: RunId,
    running: IndexMap<RunId, Run<R>>,
    abandoned: VecDeque<AbandonedRun<R>>,
    /// Process that answered last, and when, in microseconds.
    last_answer: Option<(ProcessId, u64)>,
    /// Runs that others may have joined, and whose processes have not answered since.
    ended_isolations: Vec<RunId>,
}

impl<R> Default for RunTable<R> {
    fn default() -> Self {
        Self {
            next_id: 0,
            running: IndexMap::new(),
            abandoned: VecDeque::new(),
            last_answer: None,
            ended_isolations: Vec::new(),
        }
    }
}

impl<R> RunTable<R> {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a run that starts.
    pub fn start(&mut self, run: Run<R>) -> RunId {
        self.next_id += 1;
        self.running.insert(self.next_id, run);
        self.next_id
    }

    /// Records that other requests may run beside an isolated one from now on. The run counts as
    /// isolated until the process answers, since a process that answers nothing more may have died
    /// before the others began.
    pub fn end_isolation(&mut self, id: RunId) {
        self.ended_isolations.push(id);
    }

    /// Lets the runs of a process that has answered beside others count as runs on probation.
    fn demote_ended_isolations(&mut self, process: &ProcessId) {
        for id in std::mem::take(&mut self.ended_isolations) {
            let abandoned = self.abandoned.iter_mut().find(|abandoned| abandoned.id == id);
            let abandoned = abandoned.map(|abandoned| &mut abandoned.run);
            let Some(run) = self.running.get_mut(&id).or(abandoned) else { continue };
            if run.process == *process {
                run.run_mode = run.run_mode.min(RunMode::Probation);
            } else {
                self.ended_isolations.push(id);
            }
        }
    }

    /// Removes a run that ended with an answer or a refusal of the process.
    pub fn finish(&mut self, id: RunId) -> Option<Run<R>> {
        self.running.swap_remove(&id)
    }

    /// Records that the connection of a run was closed before its end. Returns how isolated the run
    /// was, or `None` if it had ended.
    pub fn abandon(&mut self, now_us: u64, id: RunId) -> Option<RunMode> {
        let run = self.running.swap_remove(&id)?;
        let run_mode = run.run_mode;
        self.expire(now_us);
        if self.abandoned.len() >= MAX_ABANDONED_RUNS {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(AbandonedRun { id, run, abandoned_us: now_us });
        Some(run_mode)
    }

    /// Removes an abandoned run.
    pub fn take_abandoned(&mut self, id: RunId) -> Option<Run<R>> {
        let position = self.abandoned.iter().position(|abandoned| abandoned.id == id)?;
        self.abandoned.remove(position).map(|abandoned| abandoned.run)
    }

    /// Records that a process answered over a connection that was opened at `opened_us`. Removes the
    /// abandoned runs that it has survived.
    pub fn record_alive(&mut self, now_us: u64, opened_us: u64, process: &ProcessId) {
        match &mut self.last_answer {
            Some((answering, time_us)) if answering == process => *time_us = now_us,
            last_answer => *last_answer = Some((process.clone(), now_us)),
        }
        if !self.ended_isolations.is_empty() {
            self.demote_ended_isolations(process);
        }
        self.abandoned.retain(|abandoned| {
            let is_survived = abandoned.abandoned_us > opened_us
                && now_us.saturating_sub(abandoned.abandoned_us) >= CANCEL_TIME_US;
            !is_survived || abandoned.run.process != *process
        });
    }

    /// Removes and returns the runs of a process that has died.
    pub fn take_crashed(&mut self, now_us: u64, process: &ProcessId) -> Vec<Run<R>> {
        self.expire(now_us);
        let running = self.running.extract_if(.., |_, run| run.process == *process);
        let mut crashed: Vec<Run<R>> = running.map(|(_, run)| run).collect();
        let (ended, others) = std::mem::take(&mut self.abandoned)
            .into_iter()
            .partition(|abandoned| abandoned.run.process == *process);
        self.abandoned = others;
        let ended: VecDeque<AbandonedRun<R>> = ended;
        crashed.extend(ended.into_iter().map(|abandoned| abandoned.run));
        crashed
    }

    /// Returns whether a process has answered a call at or after `since_us`.
    pub fn has_answered_since(&self, since_us: u64, process: &ProcessId) -> bool {
        let last = self.last_answer.as_ref();
        last.is_some_and(|(answering, time_us)| answering == process && *time_us >= since_us)
    }

    /// Returns whether a process has runs in the table.
    pub fn has_runs(&self, process: &ProcessId) -> bool {
        let abandoned = self.abandoned.iter().map(|abandoned| &abandoned.run);
        self.running.values().chain(abandoned).any(|run| run.process == *process)
    }

    fn expire(&mut self, now_us: u64) {
        let is_expired = |abandoned: &AbandonedRun<R>| {
            now_us.saturating_sub(abandoned.abandoned_us) >= ABANDONED_RETENTION_US
        };
        while self.abandoned.front().is_some_and(is_expired) {
            self.abandoned.pop_front();
        }
    }
}
