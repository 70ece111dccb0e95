//! Steps of a planned stop of the node.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Ingress;
use crate::protocol_adapter::ProtocolAdapter;

impl<D: ProtocolAdapter> Ingress<D> {
    /// Marks the node as stopping, so that readiness probes fail and connections close. Requests
    /// that still arrive are served, with deadlines before the end of the node, so that their
    /// upstreams answer in time.
    pub(crate) fn stop(&self, remaining: Duration) {
        let end_us = self.clock.now_us() + remaining.as_micros() as u64;
        self.latest_deadline_us.store(end_us, Ordering::Relaxed);
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the latest deadline that a request may have, in microseconds.
    pub(crate) fn latest_deadline_us(&self) -> u64 {
        self.latest_deadline_us.load(Ordering::Relaxed)
    }

    /// Refuses the requests that were not sent to an upstream yet, since too little time is left for
    /// them before the end of the node. Their callers may send them elsewhere.
    pub(crate) fn refuse_unsent(&self) {
        self.is_refusing.store(true, Ordering::Relaxed);
        self.slot_queue.refuse_all();
    }

    /// Returns whether requests that were not sent yet are refused.
    pub(crate) fn is_refusing(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Reports to other nodes that this node is leaving. Calls that still arrive are served.
    pub(crate) fn withdraw(&self) {
        self.is_withdrawn.store(true, Ordering::Relaxed);
        self.upstream_state.notify_changed();
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}
