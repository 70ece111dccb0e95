//! Checks the guarantees of the system against the records of callers, operators and upstreams.

#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexMap;

use super::SoakError;
use crate::caller::{CallerError, Reply};
use crate::cluster::Cluster;
use crate::process::wait_until;
use crate::upstream_client::{self, UpstreamClientError};

/// Time within which the newest accepted change must be readable.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of one attempt of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The request ran, and a complete answer arrived.
    Served,
    /// The answer says that the request did not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The status is 200, but the body is not a complete answer of the upstream. Holds the body.
    Malformed(String),
}

impl CallResult {
    pub(super) fn new(reply_result: &Result<Reply, CallerError>) -> Self {
        match reply_result {
            Ok(reply) if reply.status == 200 && reply.body.is_null() => {
                Self::Malformed(reply.text.clone())
            }
            Ok(reply) if reply.status == 200 => Self::Served,
            Ok(reply) if reply.outcome == "not-run" => Self::NotRun,
            Ok(_) | Err(_) => Self::Unknown,
        }
    }
}

/// Results of the requests of the callers and the newest accepted change of the operator.
#[derive(Debug, Default)]
pub(super) struct TrafficRecord {
    /// Result of each read.
    pub(super) reads: Vec<CallResult>,
    /// Results of all attempts of each purchase, by its tag.
    pub(super) purchases: IndexMap<String, Vec<CallResult>>,
    /// Newest version of the front service's profile that was reported to the operator as accepted.
    pub(super) accepted_version: u64,
}

impl TrafficRecord {
    pub(super) fn merge(&mut self, other: Self) {
        self.reads.extend(other.reads);
        self.purchases.extend(other.purchases);
    }

    pub(super) fn requests(&self) -> usize {
        self.results().count()
    }

    pub(super) fn served(&self) -> usize {
        self.results().filter(|result| **result == CallResult::Served).count()
    }

    /// Returns the violated guarantees, given how often each tagged request ran.
    pub(super) fn violations(&self, runs: &IndexMap<String, u64>) -> Vec<String> {
        let malformed = self.results().filter_map(|result| match result {
            CallResult::Malformed(text) => {
                Some(format!("response with status 200 and a malformed body: {text:?}"))
            }
            _ => None,
        });
        let purchases = self.purchases.iter().filter_map(|(tag, results)| {
            let run_count = runs.get(tag).copied().unwrap_or(0);
            let is_served = results.contains(&CallResult::Served);
            let is_only_refused = results.iter().all(|result| *result == CallResult::NotRun);
            let is_violation = run_count > 1
                || (is_served && run_count == 0)
                || (is_only_refused && run_count > 0);
            is_violation.then(|| format!("purchase {tag} ran {run_count} times: {results:?}"))
        });
        malformed.chain(purchases).collect()
    }

    fn results(&self) -> impl Iterator<Item = &CallResult> {
        self.reads.iter().chain(self.purchases.values().flatten())
    }
}

/// Returns how often each tagged request ran at the service that runs purchases.
pub(super) fn runs(cluster: &Cluster) -> Result<IndexMap<String, u64>, UpstreamClientError> {
    let mut runs = IndexMap::new();
    for instance in cluster.instances_of(cluster.deployment.purchase_service) {
        for (tag, count) in upstream_client::record(instance.upstream_admin)?.runs {
            *runs.entry(tag).or_insert(0) += count;
        }
    }
    Ok(runs)
}

/// Returns a violation if the front service's profile cannot be read at the accepted version or a
/// newer one.
pub(super) fn lost_changes(
    cluster: &Cluster,
    accepted_version: u64,
) -> Result<Option<String>, SoakError> {
    let operator = cluster.operator()?;
    let name = cluster.deployment.front().profile;
    let mut version = 0;
    let read_back = wait_until("the profile is read back", READ_BACK_TIMEOUT, || {
        let record = operator.get(name).ok().flatten();
        version = record.map_or(0, |record| record.version);
        version >= accepted_version
    });
    let violation = format!(
        "version {accepted_version} of {name} was accepted, but version {version} was read"
    );
    Ok(read_back.is_err().then_some(violation))
}

/// Returns a violation for each process that has ended unexpectedly.
pub(super) fn ended_processes(cluster: &mut Cluster) -> Vec<String> {
    let controls = cluster.controls.iter_mut().map(|control| &mut control.process);
    let instances = cluster.instances.iter_mut();
    let programs =
        instances.flat_map(|instance| instance.node.iter_mut().chain([&mut instance.upstream]));
    let ended = controls.chain(programs).filter_map(|process| {
        let is_running = process.is_running();
        (!is_running).then(|| format!("{} ended unexpectedly", process.name()))
    });
    ended.collect()
}
