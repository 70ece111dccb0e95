//! Calls in flight at one node, with their remaining retry allowance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{HeaderMap, Method};
use model::{CallContext, Class, RequestId, ServiceName};
use policy::retry_allowance::RetryAllowance;

/// Number of shards of a [`CallTable`], each with a lock of its own.
const SHARD_COUNT: usize = 16;

/// Head of a call to one service: everything but its body.
#[derive(Debug, Clone)]
pub(crate) struct CallHead {
    pub(crate) request_id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) class: Class,
    /// Time at which the answer is due, on the monotonic clock of this process.
    pub(crate) deadline_us: u64,
    /// Time at which the root request entered the system, in Unix microseconds.
    pub(crate) admitted_unix_us: u64,
    /// Number of retries that this call and its direct and indirect child calls may use.
    pub(crate) retry_allowance: u32,
    pub(crate) idempotency_key: Option<String>,
}

/// A call in progress whose child calls share one retry allowance.
///
/// The call id is 0 for a request of a caller and for a call that the upstream made without a
/// context; such a call is in no [`CallTable`].
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) request_id: RequestId,
    pub(crate) call_id: u64,
    pub(crate) class: Class,
    pub(crate) deadline_us: u64,
    pub(crate) admitted_unix_us: u64,
    pub(crate) idempotency_key: Option<String>,
    /// Retry allowance that is neither used nor granted to a child call.
    retry_allowance: Mutex<RetryAllowance>,
    has_child_failure: AtomicBool,
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
            retry_allowance: Mutex::new(RetryAllowance::new(head.retry_allowance)),
            has_child_failure: AtomicBool::new(false),
        }
    }

    /// Returns the context that the upstream sends back with its child calls.
    pub(crate) fn context(&self) -> CallContext {
        CallContext::new(self.request_id, self.call_id)
    }

    pub(crate) fn retry_allowance(&self) -> MutexGuard<'_, RetryAllowance> {
        self.retry_allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a child call failed and will not be retried.
    pub(crate) fn record_child_failure(&self) {
        self.has_child_failure.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_child_failure(&self) -> bool {
        self.has_child_failure.load(Ordering::Relaxed)
    }
}

/// Calls that the local upstream is serving, by call id.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    shards: [Mutex<HashMap<u64, Arc<ActiveCall>>>; SHARD_COUNT],
}

impl CallTable {
    pub(crate) fn insert(&self, call: Arc<ActiveCall>) {
        self.shard(call.call_id).insert(call.call_id, call);
    }

    pub(crate) fn remove(&self, call_id: u64) {
        self.shard(call_id).remove(&call_id);
    }

    /// Returns the call with the call id of a context, if the request id matches too.
    pub(crate) fn find(&self, context: CallContext) -> Option<Arc<ActiveCall>> {
        let call = self.shard(context.call_id).get(&context.call_id).cloned()?;
        (call.request_id == context.request_id).then_some(call)
    }

    fn shard(&self, call_id: u64) -> MutexGuard<'_, HashMap<u64, Arc<ActiveCall>>> {
        let shard = &self.shards[call_id as usize % SHARD_COUNT];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
