//! What must hold, from the records of callers, operators and upstreams.

#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexMap;

use super::SoakError;
use crate::caller::{CallerError, Reply};
use crate::cluster::Cluster;
use crate::process::wait_until;
use crate::upstream_client::{self, UpstreamClientError};

/// Time in which the newest accepted change is read back.
const READ_BACK: Duration = Duration::from_secs(10);

/// How one sending of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ending {
    /// The work was done, and the answer came whole.
    Served,
    /// The answer says that the work did not run.
    NotRun,
    /// Nothing certain is known.
    Unknown,
    /// A success that is not the upstream's whole answer.
    Mangled(String),
}

impl Ending {
    pub(super) fn new(result: &Result<Reply, CallerError>) -> Self {
        match result {
            Ok(reply) if reply.status == 200 && reply.body.is_null() => {
                Self::Mangled(reply.text.clone())
            }
            Ok(reply) if reply.status == 200 => Self::Served,
            Ok(reply) if reply.outcome == "not-run" => Self::NotRun,
            Ok(_) | Err(_) => Self::Unknown,
        }
    }
}

/// Endings of every request, by the tag of its purchase; reads have none.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) reads: Vec<Ending>,
    pub(super) purchases: IndexMap<String, Vec<Ending>>,
    /// Newest version of the front's profile that an operator was told is accepted.
    pub(super) accepted_version: u64,
}

impl Ledger {
    pub(super) fn merge(&mut self, other: Self) {
        self.reads.extend(other.reads);
        self.purchases.extend(other.purchases);
    }

    pub(super) fn requests(&self) -> usize {
        self.endings().count()
    }

    pub(super) fn served(&self) -> usize {
        self.endings().filter(|ending| **ending == Ending::Served).count()
    }

    /// Returns what does not hold, given how often each tagged work ran.
    pub(super) fn violations(&self, runs: &IndexMap<String, u64>) -> Vec<String> {
        let mangled = self.endings().filter_map(|ending| match ending {
            Ending::Mangled(text) => Some(format!("a success with the body {text:?}")),
            _ => None,
        });
        let purchases = self.purchases.iter().filter_map(|(tag, endings)| {
            let ran = runs.get(tag).copied().unwrap_or(0);
            let is_served = endings.contains(&Ending::Served);
            let is_never = endings.iter().all(|ending| *ending == Ending::NotRun);
            let is_broken = ran > 1 || (is_served && ran == 0) || (is_never && ran > 0);
            is_broken.then(|| format!("purchase {tag} ran {ran} times: {endings:?}"))
        });
        mangled.chain(purchases).collect()
    }

    fn endings(&self) -> impl Iterator<Item = &Ending> {
        self.reads.iter().chain(self.purchases.values().flatten())
    }
}

/// Returns how often each tagged work ran at the service that charges.
pub(super) fn runs(cluster: &Cluster) -> Result<IndexMap<String, u64>, UpstreamClientError> {
    let mut runs = IndexMap::new();
    for instance in cluster.instances_of(cluster.deployment.charge_service) {
        for (tag, count) in upstream_client::record(instance.upstream_admin)?.runs {
            *runs.entry(tag).or_insert(0) += count;
        }
    }
    Ok(runs)
}

/// Returns what was accepted and is not there, given the newest accepted version of the front's profile.
pub(super) fn lost_changes(
    cluster: &Cluster,
    accepted_version: u64,
) -> Result<Option<String>, SoakError> {
    let operator = cluster.operator()?;
    let name = cluster.deployment.front().profile;
    let mut version = 0;
    let read = wait_until("the profile is read back", READ_BACK, || {
        let record = operator.get(name).ok().flatten();
        version = record.map_or(0, |record| record.version);
        version >= accepted_version
    });
    let lost = format!("version {accepted_version} of {name} was accepted, {version} is there");
    Ok(read.is_err().then_some(lost))
}

/// Returns the processes that ended by themselves.
pub(super) fn ended_processes(cluster: &mut Cluster) -> Vec<String> {
    let controls = cluster.controls.iter_mut().map(|control| &mut control.process);
    let instances = cluster.instances.iter_mut();
    let programs =
        instances.flat_map(|instance| instance.node.iter_mut().chain([&mut instance.upstream]));
    let ended = controls.chain(programs).filter_map(|process| {
        let is_running = process.is_running();
        (!is_running).then(|| format!("{} ended by itself", process.name()))
    });
    ended.collect()
}
