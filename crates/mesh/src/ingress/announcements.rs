//! What the upstream announces about itself with its answers.

use http::HeaderMap;
use policy::reported_load::ReportedLoad;
use slog::{info, warn};

use super::Ingress;
use crate::call::CallHead;
use crate::protocol_adapter::{Announcement, ProtocolAdapter};
use crate::upstream::ServingUpstream;

/// Value of the metric for the announced rate while there is none.
const NO_LIMIT_PER_S: f64 = -1.0;

impl<D: ProtocolAdapter> Ingress<D> {
    /// Records what the upstream announced with an answer.
    pub(super) fn record_announcements(
        &self,
        head: &CallHead,
        upstream: &ServingUpstream,
        headers: &HeaderMap,
    ) {
        let announcements = self.adapter.read_announcements(headers);
        match announcements.limit_per_s {
            Announcement::Absent => self.record_limit(head, upstream, None),
            Announcement::Value(limit_per_s) => {
                self.record_limit(head, upstream, Some(limit_per_s));
            }
            Announcement::Unreadable => {
                self.ignore_announcement("upstream-limit-ignored", head, upstream);
            }
        }
        match announcements.load {
            Announcement::Absent => {}
            Announcement::Value(load) => self.record_reported_load(head, upstream, load),
            Announcement::Unreadable => {
                self.ignore_announcement("upstream-load-ignored", head, upstream);
            }
        }
        match announcements.is_leaving {
            Announcement::Absent | Announcement::Value(false) => {}
            Announcement::Value(true) => self.record_leaving(head, upstream),
            Announcement::Unreadable => {
                self.ignore_announcement("upstream-leaving-ignored", head, upstream);
            }
        }
    }

    /// Records the load that the upstream reports. Its slots then bound the calls at it in place of a
    /// limit learned from refusals.
    fn record_reported_load(
        &self,
        head: &CallHead,
        upstream: &ServingUpstream,
        load: ReportedLoad,
    ) {
        if !self.slot_queue.record_reported_load(load) {
            return;
        }
        self.metrics.upstream_reported_slots.set(i64::from(load.slots()));
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            info!(log, "upstream-limit-reported"; "instance" => &*upstream.instance_id,
                "slots" => load.slots(), "announced_slots" => upstream.slots,
                "request" => head.id_text());
        }
    }

    fn ignore_announcement(
        &self,
        event: &'static str,
        head: &CallHead,
        upstream: &ServingUpstream,
    ) {
        self.metrics.announcements_ignored.inc();
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            warn!(log, "{}", event; "request" => head.id_text(),
                "instance" => &*upstream.instance_id);
        }
    }

    /// Sends no further calls to an upstream that is about to stop, and tells control and callers.
    fn record_leaving(&self, head: &CallHead, upstream: &ServingUpstream) {
        if !self.upstream_state.record_leaving(upstream) {
            return;
        }
        info!(self.log, "upstream-leaves"; "instance" => &*upstream.instance_id,
            "is_known" => true, "request" => head.id_text());
        self.refuse_queued_if_not_serving();
    }

    pub(super) fn apply_limit(&self, limit_per_s: Option<f64>) {
        self.slot_queue.set_named_limit(limit_per_s);
        self.metrics.upstream_limit_per_s.set(limit_per_s.unwrap_or(NO_LIMIT_PER_S));
    }

    fn record_limit(&self, head: &CallHead, upstream: &ServingUpstream, limit_per_s: Option<f64>) {
        let apply = |limit_per_s| self.apply_limit(limit_per_s);
        let change = self.upstream_state.record_limit(upstream, limit_per_s, apply);
        let Some(change) = change else { return };
        // A rate that changes with every answer would otherwise log a line for each.
        if let Some(log) = self.request_log.rate_limited_logger(&self.metrics) {
            info!(log, "upstream-limit"; "instance" => &*upstream.instance_id,
                "limit_per_s" => limit_per_s, "previous_per_s" => change.previous_per_s,
                "request" => head.id_text());
        }
    }
}
