//! Seeded series of faults that overlap.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use super::SoakError;
use crate::cluster::Cluster;
use crate::process::Process;
use crate::upstream::Behaviour;
use crate::upstream_client;

/// Pause between two faults, in milliseconds; most faults last longer.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Time after which a fault is undone, in milliseconds: up to a few election timeouts.
const LENGTH_MS: std::ops::Range<u64> = 100..3_000;

/// A fault and what undoes it.
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

/// Series of faults.
pub(super) struct Faults {
    rng: StdRng,
    next: Duration,
    /// Faults in force, each with the time of its end.
    active: Vec<(Duration, Fault)>,
    history: Vec<(u64, String)>,
}

impl Faults {
    pub(super) fn new(rng: StdRng) -> Self {
        Self { rng, next: Duration::ZERO, active: Vec::new(), history: Vec::new() }
    }

    /// Returns the faults so far, each with its time in milliseconds.
    pub(super) fn history(&self) -> &[(u64, String)] {
        &self.history
    }

    /// Undoes what is over and begins what is due.
    pub(super) fn step(&mut self, cluster: &mut Cluster, now: Duration) -> Result<(), SoakError> {
        let (over, active) = self.active.drain(..).partition(|(end, _)| *end <= now);
        self.active = active;
        self.undo(cluster, over)?;
        if now < self.next {
            return Ok(());
        }
        self.next = now + Duration::from_millis(self.rng.random_range(PAUSE_MS));
        let end = now + Duration::from_millis(self.rng.random_range(LENGTH_MS));
        match self.rng.random_range(1..12) {
            1 => {
                self.note(now, "connections silenced".to_owned());
                if let Some(links) = cluster.links() {
                    links.silence_open_connections();
                }
            }
            draw => {
                let fault = self.draw(cluster, draw);
                let is_new = !self.active.iter().any(|(_, active)| active.is_on(&fault));
                if is_new {
                    self.note(now, format!("{fault:?} until {} ms", end.as_millis()));
                    begin(cluster, &fault)?;
                    self.active.push((end, fault));
                }
            }
        }
        Ok(())
    }

    /// Undoes everything.
    pub(super) fn end(&mut self, cluster: &mut Cluster) -> Result<(), SoakError> {
        let over = std::mem::take(&mut self.active);
        self.undo(cluster, over)?;
        if let Some(links) = cluster.links() {
            links.heal();
        }
        Ok(())
    }

    fn note(&mut self, now: Duration, what: String) {
        self.history.push((now.as_millis() as u64, what));
    }

    fn draw(&mut self, cluster: &Cluster, draw: u32) -> Fault {
        let control = self.rng.random_range(0..cluster.controls.len());
        let instance = self.rng.random_range(0..cluster.instances.len());
        let places = cluster.deployment.data_centres;
        let from = self.rng.random_range(0..places.len());
        let to = (from + self.rng.random_range(1..places.len())) % places.len();
        match draw {
            2 => Fault::ControlKilled(control),
            3 => Fault::ControlFrozen(control),
            4 => Fault::NodeKilled(instance),
            5 => Fault::NodeStopped(instance),
            6 => Fault::NodeFrozen(instance),
            7 => Fault::Isolated(places[from].to_owned()),
            8 => Fault::UpstreamFails(instance),
            9 => Fault::UpstreamSheds(instance),
            10 => Fault::UpstreamTruncates(instance),
            _ => Fault::Cut(places[from].to_owned(), places[to].to_owned()),
        }
    }

    fn undo(&self, cluster: &mut Cluster, over: Vec<(Duration, Fault)>) -> Result<(), SoakError> {
        let is_link_healed = over.iter().any(|(_, fault)| fault.is_of_links());
        for (_, fault) in over {
            end(cluster, &fault)?;
        }
        if !is_link_healed {
            return Ok(());
        }
        // Cuts are healed together, so those that go on begin again.
        if let Some(links) = cluster.links() {
            links.heal();
        }
        for (_, fault) in &self.active {
            if fault.is_of_links() {
                begin(cluster, fault)?;
            }
        }
        Ok(())
    }
}

impl Fault {
    /// Returns whether two faults concern the same process or place.
    fn is_on(&self, other: &Self) -> bool {
        self.subject() == other.subject()
    }

    fn is_of_links(&self) -> bool {
        matches!(self, Self::Cut(..) | Self::Isolated(_))
    }

    fn subject(&self) -> (u8, usize, &str, &str) {
        match self {
            Self::ControlKilled(index) | Self::ControlFrozen(index) => (0, *index, "", ""),
            Self::NodeKilled(index) | Self::NodeStopped(index) | Self::NodeFrozen(index) => {
                (1, *index, "", "")
            }
            Self::UpstreamFails(index)
            | Self::UpstreamSheds(index)
            | Self::UpstreamTruncates(index) => (2, *index, "", ""),
            Self::Cut(from, to) => (3, 0, from, to),
            Self::Isolated(place) => (4, 0, place, ""),
        }
    }
}

fn begin(cluster: &mut Cluster, fault: &Fault) -> Result<(), SoakError> {
    let node = |cluster: &Cluster, index: usize, act: fn(&Process) -> _| {
        cluster.instances[index].node.as_ref().map_or(Ok(()), act)
    };
    match fault {
        Fault::ControlKilled(index) => cluster.controls[*index].process.kill(),
        Fault::ControlFrozen(index) => cluster.controls[*index].process.freeze()?,
        Fault::NodeKilled(index) => {
            if let Some(node) = &mut cluster.instances[*index].node {
                node.kill();
            }
        }
        Fault::NodeStopped(index) => node(cluster, *index, Process::terminate)?,
        Fault::NodeFrozen(index) => node(cluster, *index, Process::freeze)?,
        Fault::Cut(from, to) => {
            if let Some(links) = cluster.links() {
                links.cut(from, to);
            }
        }
        Fault::Isolated(place) => {
            if let Some(links) = cluster.links() {
                links.isolate(place, cluster.deployment.data_centres);
            }
        }
        Fault::UpstreamFails(index) => change(cluster, *index, |b| b.fail_percent = 30)?,
        Fault::UpstreamSheds(index) => change(cluster, *index, |b| b.is_shedding = true)?,
        Fault::UpstreamTruncates(index) => change(cluster, *index, |b| b.is_truncating = true)?,
    }
    Ok(())
}

fn end(cluster: &mut Cluster, fault: &Fault) -> Result<(), SoakError> {
    match fault {
        Fault::ControlKilled(index) => cluster.restart_control(*index)?,
        Fault::ControlFrozen(index) => cluster.controls[*index].process.thaw()?,
        Fault::NodeKilled(index) | Fault::NodeStopped(index) => cluster.restart_node(*index)?,
        Fault::NodeFrozen(index) => {
            if let Some(node) = &cluster.instances[*index].node {
                node.thaw()?;
            }
        }
        Fault::UpstreamFails(index) => change(cluster, *index, |b| b.fail_percent = 0)?,
        Fault::UpstreamSheds(index) => change(cluster, *index, |b| b.is_shedding = false)?,
        Fault::UpstreamTruncates(index) => change(cluster, *index, |b| b.is_truncating = false)?,
        Fault::Cut(..) | Fault::Isolated(_) => {}
    }
    Ok(())
}

fn change(
    cluster: &Cluster,
    index: usize,
    change: impl Fn(&mut Behaviour),
) -> Result<(), SoakError> {
    Ok(upstream_client::change(cluster.instances[index].upstream_admin, &change)?)
}
