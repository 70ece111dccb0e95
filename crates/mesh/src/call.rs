//! The head of a call on its way to an upstream.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Method, Uri};
use model::{HostRoute, Repeatability, ServiceName};
use policy::slots::{KindKey, Standing};

/// Head of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallHead {
    /// Service that runs the call.
    pub(crate) service: ServiceName,
    /// Service of the VM where the call began.
    pub(crate) caller: Arc<str>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) request_id: Option<HeaderValue>,
    pub(crate) standing: Standing,
    /// Place of the whole request among those of its rank, the same on all hops.
    pub(crate) order: u32,
    pub(crate) kind: KindKey,
    pub(crate) repeatability: Repeatability,
    /// When the answer is due, on this process's clock.
    pub(crate) deadline_us: u64,
    /// Longest useful wait for a slot.
    pub(crate) max_wait_us: u64,
}

impl CallHead {
    /// Returns the id for logs.
    pub(crate) fn id_text(&self) -> &str {
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// Returns the kind of the calls on a route: the same on all nodes.
pub(crate) fn kind_of(route: &HostRoute) -> KindKey {
    let mut hasher = DefaultHasher::new();
    route.host.hash(&mut hasher);
    route.path_prefix.hash(&mut hasher);
    hasher.finish()
}
