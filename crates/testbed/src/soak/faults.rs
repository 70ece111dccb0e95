//! Seeded sequence of overlapping faults.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use super::SoakError;
use crate::cluster::Cluster;
use crate::process::Process;
use crate::upstream::Behaviour;
use crate::upstream_client;

/// Interval between the starts of two faults, in milliseconds; most faults last longer.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..900;
/// Duration of a fault, in milliseconds: up to a few election timeouts.
const FAULT_DURATION_MS: std::ops::Range<u64> = 100..3_000;

/// A fault that is cleared after a time. An index refers to the control replicas or to the
/// instances of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Fault {
    ControlKilled(usize),
    ControlFrozen(usize),
    NodeKilled(usize),
    NodeStopped(usize),
    NodeFrozen(usize),
    Cut(String, String),
    Isolated(String),
    UpstreamFails(usize),
    UpstreamSheds(usize),
    UpstreamTruncates(usize),
}

/// Injects random faults and clears them when they expire.
pub(super) struct FaultSchedule {
    rng: StdRng,
    next_fault_at: Duration,
    /// Active faults, each with the time at which it expires.
    active: Vec<(Duration, Fault)>,
    history: Vec<(u64, String)>,
}

impl FaultSchedule {
    pub(super) fn new(rng: StdRng) -> Self {
        Self { rng, next_fault_at: Duration::ZERO, active: Vec::new(), history: Vec::new() }
    }

    /// Returns the faults injected so far, each with the time since the start in milliseconds.
    pub(super) fn history(&self) -> &[(u64, String)] {
        &self.history
    }

    /// Clears the faults that have expired and injects the next one if it is due.
    pub(super) fn step(&mut self, cluster: &mut Cluster, now: Duration) -> Result<(), SoakError> {
        let (expired, active) = self.active.drain(..).partition(|(end, _)| *end <= now);
        self.active = active;
        self.clear_faults(cluster, expired)?;
        if now < self.next_fault_at {
            return Ok(());
        }
        self.next_fault_at = now + Duration::from_millis(self.rng.random_range(FAULT_INTERVAL_MS));
        let end = now + Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
        match self.rng.random_range(1..12) {
            1 => {
                self.record(now, "a third of the connections stopped carrying data".to_owned());
                if let Some(links) = cluster.links() {
                    links.silence_open_connections();
                }
            }
            kind => {
                let fault = self.random_fault(cluster, kind);
                let is_target_free =
                    !self.active.iter().any(|(_, active)| active.has_same_target(&fault));
                if is_target_free {
                    self.record(now, format!("{fault:?} until {} ms", end.as_millis()));
                    inject(cluster, &fault)?;
                    self.active.push((end, fault));
                }
            }
        }
        Ok(())
    }

    /// Clears all active faults.
    pub(super) fn clear_all(&mut self, cluster: &mut Cluster) -> Result<(), SoakError> {
        let active = std::mem::take(&mut self.active);
        self.clear_faults(cluster, active)?;
        if let Some(links) = cluster.links() {
            links.heal();
        }
        Ok(())
    }

    fn record(&mut self, now: Duration, description: String) {
        self.history.push((now.as_millis() as u64, description));
    }

    fn random_fault(&mut self, cluster: &Cluster, kind: u32) -> Fault {
        let control = self.rng.random_range(0..cluster.controls.len());
        let instance = self.rng.random_range(0..cluster.instances.len());
        let data_centres = cluster.deployment.data_centres;
        let from = self.rng.random_range(0..data_centres.len());
        let to = (from + self.rng.random_range(1..data_centres.len())) % data_centres.len();
        match kind {
            2 => Fault::ControlKilled(control),
            3 => Fault::ControlFrozen(control),
            4 => Fault::NodeKilled(instance),
            5 => Fault::NodeStopped(instance),
            6 => Fault::NodeFrozen(instance),
            7 => Fault::Isolated(data_centres[from].to_owned()),
            8 => Fault::UpstreamFails(instance),
            9 => Fault::UpstreamSheds(instance),
            10 => Fault::UpstreamTruncates(instance),
            _ => Fault::Cut(data_centres[from].to_owned(), data_centres[to].to_owned()),
        }
    }

    fn clear_faults(
        &self,
        cluster: &mut Cluster,
        faults: Vec<(Duration, Fault)>,
    ) -> Result<(), SoakError> {
        let has_link_fault = faults.iter().any(|(_, fault)| fault.is_link_fault());
        for (_, fault) in faults {
            clear(cluster, &fault)?;
        }
        if !has_link_fault {
            return Ok(());
        }
        // `heal` restores all links, so link faults that are still active are injected again.
        if let Some(links) = cluster.links() {
            links.heal();
        }
        for (_, fault) in &self.active {
            if fault.is_link_fault() {
                inject(cluster, fault)?;
            }
        }
        Ok(())
    }
}

impl Fault {
    /// Returns whether two faults affect the same process, link or data centre.
    fn has_same_target(&self, other: &Self) -> bool {
        self.target() == other.target()
    }

    fn is_link_fault(&self) -> bool {
        matches!(self, Self::Cut(..) | Self::Isolated(_))
    }

    /// Returns what the fault affects: a number for the kind of target, and its index or the names
    /// of its data centres.
    fn target(&self) -> (u8, usize, &str, &str) {
        match self {
            Self::ControlKilled(index) | Self::ControlFrozen(index) => (0, *index, "", ""),
            Self::NodeKilled(index) | Self::NodeStopped(index) | Self::NodeFrozen(index) => {
                (1, *index, "", "")
            }
            Self::UpstreamFails(index)
            | Self::UpstreamSheds(index)
            | Self::UpstreamTruncates(index) => (2, *index, "", ""),
            Self::Cut(from, to) => (3, 0, from, to),
            Self::Isolated(data_centre) => (4, 0, data_centre, ""),
        }
    }
}

fn inject(cluster: &mut Cluster, fault: &Fault) -> Result<(), SoakError> {
    let signal_node = |cluster: &Cluster, index: usize, signal: fn(&Process) -> _| {
        cluster.instances[index].node.as_ref().map_or(Ok(()), signal)
    };
    match fault {
        Fault::ControlKilled(index) => cluster.controls[*index].process.kill(),
        Fault::ControlFrozen(index) => cluster.controls[*index].process.freeze()?,
        Fault::NodeKilled(index) => {
            if let Some(node) = &mut cluster.instances[*index].node {
                node.kill();
            }
        }
        Fault::NodeStopped(index) => signal_node(cluster, *index, Process::terminate)?,
        Fault::NodeFrozen(index) => signal_node(cluster, *index, Process::freeze)?,
        Fault::Cut(from, to) => {
            if let Some(links) = cluster.links() {
                links.cut(from, to);
            }
        }
        Fault::Isolated(data_centre) => {
            if let Some(links) = cluster.links() {
                links.isolate(data_centre, cluster.deployment.data_centres);
            }
        }
        Fault::UpstreamFails(index) => change_behaviour(cluster, *index, |b| b.fail_percent = 30)?,
        Fault::UpstreamSheds(index) => change_behaviour(cluster, *index, |b| b.is_shedding = true)?,
        Fault::UpstreamTruncates(index) => {
            change_behaviour(cluster, *index, |b| b.is_truncating = true)?
        }
    }
    Ok(())
}

fn clear(cluster: &mut Cluster, fault: &Fault) -> Result<(), SoakError> {
    match fault {
        Fault::ControlKilled(index) => cluster.restart_control(*index)?,
        Fault::ControlFrozen(index) => cluster.controls[*index].process.thaw()?,
        Fault::NodeKilled(index) | Fault::NodeStopped(index) => cluster.restart_node(*index)?,
        Fault::NodeFrozen(index) => {
            if let Some(node) = &cluster.instances[*index].node {
                node.thaw()?;
            }
        }
        Fault::UpstreamFails(index) => change_behaviour(cluster, *index, |b| b.fail_percent = 0)?,
        Fault::UpstreamSheds(index) => {
            change_behaviour(cluster, *index, |b| b.is_shedding = false)?
        }
        Fault::UpstreamTruncates(index) => {
            change_behaviour(cluster, *index, |b| b.is_truncating = false)?
        }
        Fault::Cut(..) | Fault::Isolated(_) => {}
    }
    Ok(())
}

fn change_behaviour(
    cluster: &Cluster,
    index: usize,
    apply: impl Fn(&mut Behaviour),
) -> Result<(), SoakError> {
    Ok(upstream_client::change(cluster.instances[index].upstream_admin, &apply)?)
}
