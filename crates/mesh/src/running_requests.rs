//! Requests that the local upstream is running. Calls that it makes for them inherit their
//! priority and whether they are repeats.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;

/// Priority that a call inherits from its parent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct InheritedPriority {
    /// Priority level of the request; zero is the highest.
    pub(crate) priority_level: u32,
    /// Orders requests of equal priority level; the lower value is served first.
    pub(crate) sequence: u32,
}

/// Running requests by request id.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests {
    requests: Mutex<HashMap<HeaderValue, InheritedPriority>>,
}

impl RunningRequests {
    /// Registers a request until the guard is dropped. A request without an id is not registered.
    pub(crate) fn register(
        requests: &Arc<Self>,
        id: Option<&HeaderValue>,
        inherited_priority: InheritedPriority,
    ) -> RunningRequestGuard {
        if let Some(id) = id {
            requests.lock().insert(id.clone(), inherited_priority);
        }
        RunningRequestGuard { requests: Arc::clone(requests), id: id.cloned() }
    }

    /// Returns the priority of a running request.
    pub(crate) fn get_by_id(&self, id: &[u8]) -> Option<InheritedPriority> {
        let id = HeaderValue::from_bytes(id).ok()?;
        self.lock().get(&id).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, InheritedPriority>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request registered. Dropping it removes the request.
pub(crate) struct RunningRequestGuard {
    requests: Arc<RunningRequests>,
    id: Option<HeaderValue>,
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            self.requests.lock().remove(id);
        }
    }
}
