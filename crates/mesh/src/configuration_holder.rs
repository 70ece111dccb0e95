//! The configuration in force at a node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use indexmap::IndexMap;
use model::{Configuration, HostRoute, ServiceName};
use policy::split::WeightedSplit;
use slog::{Logger, info};

/// The configuration in force and the counters that split its routes.
pub(crate) struct InForce {
    pub(crate) configuration: Configuration,
    /// By the names of the routes.
    splits: IndexMap<Arc<str>, WeightedSplit>,
}

impl InForce {
    pub(crate) fn new(configuration: Configuration) -> Self {
        let splits = configuration.routes().map(|route| {
            let weights = route.targets.iter().map(|target| target.weight);
            (Arc::clone(&route.name), WeightedSplit::new(weights, rand::random()))
        });
        let splits = splits.collect();
        Self { configuration, splits }
    }

    /// Returns the service that takes the next request of a route.
    pub(crate) fn next_service(&self, route: &HostRoute) -> Option<ServiceName> {
        let index = self.splits.get(&route.name)?.next();
        route.targets.get(index).map(|target| target.service.clone())
    }
}

/// Configuration of a node. Never goes back to an older version.
pub(crate) struct ConfigurationHolder {
    log: Logger,
    in_force: ArcSwapOption<InForce>,
    version: AtomicU64,
}

impl ConfigurationHolder {
    pub(crate) fn new(log: Logger) -> Self {
        Self { log, in_force: ArcSwapOption::empty(), version: AtomicU64::new(0) }
    }

    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }

    pub(crate) fn load(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// Puts a configuration in force unless a newer one is. Returns whether it did.
    pub(crate) fn apply(&self, configuration: Configuration) -> bool {
        let version = configuration.version();
        if version <= self.version() {
            return false;
        }
        self.in_force.store(Some(Arc::new(InForce::new(configuration))));
        self.version.store(version, Ordering::Release);
        info!(self.log, "configuration-in-force"; "version" => version);
        true
    }
}
