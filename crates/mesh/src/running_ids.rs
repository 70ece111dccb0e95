//! Ids of the requests that the upstream is running, by which its own calls are recognised.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::HeaderValue;

/// What a call inherits from the request that it is made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Lineage {
    pub(crate) rank: u32,
    pub(crate) order: u32,
}

/// Ids of the requests that the upstream is running.
#[derive(Debug, Default)]
pub(crate) struct RunningIds {
    ids: Mutex<HashMap<HeaderValue, Lineage>>,
}

impl RunningIds {
    /// Enters an id until the guard is dropped.
    pub(crate) fn enter(
        ids: &Arc<Self>,
        id: Option<&HeaderValue>,
        lineage: Lineage,
    ) -> RunningGuard {
        if let Some(id) = id {
            ids.lock().insert(id.clone(), lineage);
        }
        RunningGuard { ids: Arc::clone(ids), id: id.cloned() }
    }

    /// Returns the lineage of a running request.
    pub(crate) fn find(&self, id: &[u8]) -> Option<Lineage> {
        let id = HeaderValue::from_bytes(id).ok()?;
        self.lock().get(&id).copied()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<HeaderValue, Lineage>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps an id entered.
pub(crate) struct RunningGuard {
    ids: Arc<RunningIds>,
    id: Option<HeaderValue>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            self.ids.lock().remove(id);
        }
    }
}
