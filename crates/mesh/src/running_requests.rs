//! Requests that the local upstream is running. Calls that it makes for them inherit their
//! priority, their client account and whether they are repeats.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;

/// Properties that a call inherits from its parent request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ParentRequest {
    /// Priority level of the request; zero is the highest.
    pub(crate) priority_level: u32,
    /// Orders requests of equal priority level; the lower value is served first.
    pub(crate) sequence: u32,
    /// Whether this run of the request repeats an earlier one, so that its calls are repeats too.
    pub(crate) is_repeat: bool,
    /// Name of the client account of the request. `None` without one.
    pub(crate) account: Option<Arc<str>>,
}

#[derive(Debug)]
struct RunningRequest {
    parent: ParentRequest,
    /// Number of runs with the same id. Callers choose the ids, so they may repeat.
    runs: u32,
    /// Number of calls that the upstream has made for the request, over all levels below it.
    calls: u32,
    /// Whether a call failed that fails at every upstream.
    has_final_failure: bool,
    /// Whether a call was turned away for lack of capacity, on any level below it.
    lacked_capacity: bool,
}

/// Running requests by request id.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests {
    requests: Mutex<HashMap<HeaderValue, RunningRequest>>,
}

impl RunningRequests {
    /// Registers a request until the guard is dropped. A request without an id is not registered.
    pub(crate) fn register(
        requests: &Arc<Self>,
        id: Option<&HeaderValue>,
        parent_request: ParentRequest,
    ) -> RunningRequestGuard {
        if let Some(id) = id {
            let mut requests = requests.lock();
            let runs = requests.get(id).map_or(0, |request| request.runs);
            let request = RunningRequest {
                parent: parent_request,
                runs: runs + 1,
                calls: 0,
                has_final_failure: false,
                lacked_capacity: false,
            };
            requests.insert(id.clone(), request);
        }
        RunningRequestGuard { requests: Arc::clone(requests), id: id.cloned() }
    }

    /// Returns the properties of a running request.
    pub(crate) fn get_by_id(&self, id: &[u8]) -> Option<ParentRequest> {
        let id = HeaderValue::from_bytes(id).ok()?;
        self.lock().get(&id).map(|request| request.parent.clone())
    }

    /// Adds calls that the upstream has made for a running request.
    pub(crate) fn add_calls(&self, id: &[u8], calls: u32) {
        let Ok(id) = HeaderValue::from_bytes(id) else { return };
        if let Some(request) = self.lock().get_mut(&id) {
            request.calls = request.calls.saturating_add(calls);
        }
    }

    /// Records that a call of a running request failed and would fail at every upstream.
    pub(crate) fn record_final_failure(&self, id: &[u8]) {
        let Ok(id) = HeaderValue::from_bytes(id) else { return };
        if let Some(request) = self.lock().get_mut(&id) {
            request.has_final_failure = true;
        }
    }

    /// Records that a call of a running request was turned away for lack of capacity.
    pub(crate) fn record_lack_of_capacity(&self, id: &[u8]) {
        let Ok(id) = HeaderValue::from_bytes(id) else { return };
        if let Some(request) = self.lock().get_mut(&id) {
            request.lacked_capacity = true;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, RunningRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a request registered. Dropping it removes the request.
pub(crate) struct RunningRequestGuard {
    requests: Arc<RunningRequests>,
    id: Option<HeaderValue>,
}

impl RunningRequestGuard {
    /// Returns the number of calls made for the request so far, over all levels below it.
    pub(crate) fn calls(&self) -> u32 {
        let id = self.id.as_ref();
        id.and_then(|id| self.requests.lock().get(id).map(|request| request.calls)).unwrap_or(0)
    }

    /// Returns whether a call of the request failed that fails at every upstream, so that the request
    /// fails at every upstream too.
    pub(crate) fn has_final_failure(&self) -> bool {
        let id = self.id.as_ref();
        id.is_some_and(|id| {
            self.requests.lock().get(id).is_some_and(|request| request.has_final_failure)
        })
    }

    /// Returns whether a call of the request was turned away for lack of capacity.
    pub(crate) fn lacked_capacity(&self) -> bool {
        let id = self.id.as_ref();
        id.is_some_and(|id| {
            self.requests.lock().get(id).is_some_and(|request| request.lacked_capacity)
        })
    }
}

impl Drop for RunningRequestGuard {
    /// Removes the request unless another run has the same id, whose calls would then be refused
    /// because of an unknown parent.
    fn drop(&mut self) {
        let Some(id) = &self.id else { return };
        let mut requests = self.requests.lock();
        let Some(request) = requests.get_mut(id) else { return };
        request.runs -= 1;
        if request.runs == 0 {
            requests.remove(id);
        }
    }
}
