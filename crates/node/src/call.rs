//! Calls in flight at one node and the ledgers of their retries.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, Method};
use model::{CallContext, Class, RequestId, ServiceName};
use policy::allowance::Ledger;

const SHARDS: usize = 16;

/// Head of a call to one service.
#[derive(Debug, Clone)]
pub(crate) struct CallHead {
    pub(crate) request_id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) class: Class,
    /// When the answer is due, on this process's clock.
    pub(crate) deadline_us: u64,
    pub(crate) admitted_unix_us: u64,
    pub(crate) retry_allowance: u32,
    pub(crate) idempotency_key: Option<String>,
}

/// A call that the upstream beside the node is serving.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) request_id: RequestId,
    pub(crate) call_id: u64,
    pub(crate) class: Class,
    pub(crate) deadline_us: u64,
    pub(crate) admitted_unix_us: u64,
    pub(crate) idempotency_key: Option<String>,
    ledger: Mutex<Ledger>,
    has_given_up: AtomicBool,
}

impl ActiveCall {
    pub(crate) fn new(head: &CallHead, call_id: u64) -> Self {
        Self {
            request_id: head.request_id,
            call_id,
            class: head.class,
            deadline_us: head.deadline_us,
            admitted_unix_us: head.admitted_unix_us,
            idempotency_key: head.idempotency_key.clone(),
            ledger: Mutex::new(Ledger::new(head.retry_allowance)),
            has_given_up: AtomicBool::new(false),
        }
    }

    pub(crate) fn context(&self) -> CallContext {
        CallContext::new(self.request_id, self.call_id)
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call below this one was given up.
    pub(crate) fn give_up(&self) {
        self.has_given_up.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_given_up(&self) -> bool {
        self.has_given_up.load(Ordering::Relaxed)
    }
}

/// Calls by their id.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    shards: [Mutex<HashMap<u64, Arc<ActiveCall>>>; SHARDS],
}

impl CallTable {
    pub(crate) fn insert(&self, call: Arc<ActiveCall>) {
        self.shard(call.call_id).insert(call.call_id, call);
    }

    pub(crate) fn remove(&self, call_id: u64) {
        self.shard(call_id).remove(&call_id);
    }

    /// Returns the call that a context names.
    pub(crate) fn find(&self, context: CallContext) -> Option<Arc<ActiveCall>> {
        let call = self.shard(context.call_id).get(&context.call_id).cloned()?;
        (call.request_id == context.request_id).then_some(call)
    }

    fn shard(&self, call_id: u64) -> MutexGuard<'_, HashMap<u64, Arc<ActiveCall>>> {
        let shard = &self.shards[call_id as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
