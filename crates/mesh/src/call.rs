//! Head of a call that is routed to an upstream.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Method, Uri};
use model::{HostRoute, Idempotence, ServiceName};
use policy::slots::{CallKind, CallPriority};

/// Routing data, priority and HTTP head of a call.
#[derive(Debug, Clone)]
pub(crate) struct CallHead {
    /// Called service.
    pub(crate) service: ServiceName,
    /// Service of the VM that the call comes from.
    pub(crate) caller: Arc<str>,
    /// Name of the client account of the request that the call serves. `None` without one.
    pub(crate) account: Option<Arc<str>>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) request_id: Option<HeaderValue>,
    /// Priority level of the request, and whether it is new or already in progress at another
    /// upstream.
    pub(crate) priority: CallPriority,
    /// Orders requests of equal priority level; the lower value is served first. Drawn at random
    /// for each new request and passed on to all hops.
    pub(crate) sequence: u32,
    /// Digest of the route; see [`route_kind`].
    pub(crate) kind: CallKind,
    pub(crate) idempotence: Idempotence,
    /// Whether the call was sent before, or belongs to a request that was.
    pub(crate) is_repeat: bool,
    /// Deadline of the response on the clock of this process, in microseconds.
    pub(crate) deadline_us: u64,
    /// Maximum useful wait for a slot, in microseconds.
    pub(crate) max_wait_us: u64,
}

impl CallHead {
    /// Returns the name of the client account that the upstream is told. Calls of upstreams have an
    /// account, but the upstream is not told.
    pub(crate) fn announced_account(&self) -> Option<&str> {
        self.account.as_deref().filter(|_| !self.priority.is_in_progress())
    }

    /// Returns the request id for logs, or `-` if there is none.
    pub(crate) fn id_text(&self) -> &str {
        let id = self.request_id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// Returns a digest of a route's host and path prefix that identifies its calls, equal on all
/// nodes.
pub(crate) fn route_kind(route: &HostRoute) -> CallKind {
    let mut hasher = DefaultHasher::new();
    route.host.hash(&mut hasher);
    route.path_prefix.hash(&mut hasher);
    hasher.finish()
}
