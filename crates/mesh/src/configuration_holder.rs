//! The active configuration of a node.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use model::{Configuration, HostRoute, ServiceName};
use policy::weighted_split::WeightedSplit;
use slog::{Logger, info};

/// Active configuration with the state of the weighted split of each route.
pub(crate) struct ActiveConfiguration {
    pub(crate) configuration: Configuration,
    /// Weighted splits by route name.
    splits: IndexMap<Arc<str>, WeightedSplit>,
}

impl ActiveConfiguration {
    pub(crate) fn new(configuration: Configuration) -> Self {
        let splits = configuration.routes().map(|route| {
            let weights = route.targets.iter().map(|target| target.weight);
            (Arc::clone(&route.name), WeightedSplit::new(weights, rand::random()))
        });
        let splits = splits.collect();
        Self { configuration, splits }
    }

    /// Returns the target service of the next request on a route.
    pub(crate) fn next_service(&self, route: &HostRoute) -> Option<ServiceName> {
        let index = self.splits.get(&route.name)?.next();
        route.targets.get(index).map(|target| target.service.clone())
    }
}

/// Holder of the active configuration. Never reverts to an older version.
pub(crate) struct ConfigurationHolder {
    log: Logger,
    active: ArcSwapOption<ActiveConfiguration>,
    version: AtomicU64,
    /// Serialises the check of the version and the activation.
    activation: Mutex<()>,
}

impl ConfigurationHolder {
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            active: ArcSwapOption::empty(),
            version: AtomicU64::new(0),
            activation: Mutex::new(()),
        }
    }

    /// Returns the active version, or zero if there is no configuration yet.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    pub(crate) fn load(&self) -> Option<Arc<ActiveConfiguration>> {
        self.active.load_full()
    }

    /// Activates a configuration unless the active version is the same or newer. Returns whether it
    /// was activated.
    pub(crate) fn apply(&self, configuration: Configuration) -> bool {
        let version = configuration.version();
        if version <= self.version() {
            return false;
        }
        let active = Arc::new(ActiveConfiguration::new(configuration));
        let _activation = self.activation.lock().unwrap_or_else(PoisonError::into_inner);
        if version <= self.version() {
            return false;
        }
        self.active.store(Some(active));
        self.version.store(version, Ordering::Release);
        info!(self.log, "configuration-in-force"; "version" => version);
        true
    }
}
