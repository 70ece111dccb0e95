//! Admission control for the slots of one upstream in the mesh: admits, queues or refuses each
//! call.
//!
//! Calls of requests in progress ([`CallPriority::InProgress`]) take precedence over new requests
//! ([`CallPriority::NewRequest`]), since a call that fails wastes the work already done for its
//! whole request. New requests are ordered by priority level. They may use the slots that requests
//! in progress are not expected to need (by Little's law), and at least a minimum share, so that no
//! kind of request starves. A call that cannot start in time is refused on arrival, while its
//! caller can still try another VM.
//!
//! Waiting calls of requests in progress are sorted by the priority level of their request, then by
//! a sequence number that the request carries on all hops. A request makes several calls in
//! sequence: under overload, first-in-first-out queues would make every request late, while a fixed
//! order across hops lets the first requests complete.
//!
//! An upstream may name a limit of calls per second. A call then needs a token of that limit as well
//! as a slot, and waits for a token only briefly, so that its caller can try another VM.

mod queue_bounds;

use std::collections::BTreeMap;
use std::fmt;

use indexmap::IndexMap;

use crate::demand::{Demand, EWMA_WEIGHT};
use crate::named_limit::NamedLimit;
use crate::reported_load::{LastReport, ReportedLoad};
use crate::{US_PER_MS, US_PER_S};

/// Identifier of a call, assigned by the user of this module.
pub type Ticket = u64;
/// Identifier of a kind of calls with similar service times.
pub type CallKind = u64;

/// Share of the announced slots that is used. Upstreams slow down when their last slots are taken.
const USABLE_SHARE: f64 = 0.95;
/// Minimum share of the limit that is available to new requests.
const NEW_REQUEST_FLOOR_SHARE: f64 = 0.15;
/// Factor applied to the limit after the upstream refused a call.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases, in microseconds. Refusals of calls that were in flight
/// together report the same overload.
const MIN_DECREASE_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Time in which the limit grows by all usable slots after a decrease, in microseconds.
const LIMIT_RECOVERY_US: u64 = 3 * US_PER_S;
/// Service time assumed for a kind before its first answer, in microseconds.
const DEFAULT_SERVICE_US: f64 = 100.0 * US_PER_MS as f64;
/// Factor on the mean service time when checking whether a call can finish before its deadline.
const SERVICE_TIME_MARGIN: f64 = 1.2;
/// Maximum number of kinds whose mean service times are kept.
const MAX_KINDS: usize = 1_024;
/// Maximum time that a call waits for a token of the upstream's named limit, in microseconds. Longer
/// waits are better spent at another VM.
const MAX_TOKEN_WAIT_US: u64 = 150 * US_PER_MS;
/// Maximum queue length, as a multiple of the limit.
const MAX_QUEUE_PER_LIMIT: usize = 4;

/// Priority of a call: whether its request is in progress, and the priority level of the request.
///
/// Values that sort first take precedence: requests in progress before new requests, then lower
/// levels. Level 0 is the highest priority.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// The call belongs to a request of this priority level that other upstreams are already
    /// processing.
    InProgress(u32),
    /// The call is a new request of this priority level.
    NewRequest(u32),
}

/// Formats the variants as `Begun` and `Entry`: the text is the value of the log key `standing`,
/// which operators search for.
impl fmt::Debug for CallPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, level) = match self {
            CallPriority::InProgress(level) => ("Begun", level),
            CallPriority::NewRequest(level) => ("Entry", level),
        };
        f.debug_tuple(name).field(level).finish()
    }
}

/// A call that requests a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// Priority of the call.
    pub priority: CallPriority,
    /// Sequence number of the request among those of its priority level; lower numbers are served
    /// first.
    pub sequence: u32,
    /// Kind of the call; selects the mean service time that applies.
    pub kind: CallKind,
    /// Deadline for the answer, in microseconds.
    pub deadline_us: u64,
    /// Maximum useful wait for a slot, in microseconds. A refusal within this time leaves the
    /// caller enough time to try elsewhere.
    pub max_wait_us: u64,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// All slots are taken or reserved.
    Slots,
    /// The upstream takes no more calls now than it gets, by the limit that it has named.
    NamedLimit,
}

/// Result of a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call holds a slot and starts now.
    Admit,
    /// The call is queued; an [`Event`] reports its result.
    Queue,
    /// The call is refused.
    Refuse {
        /// Expected wait until the call could have started, in microseconds.
        wait_us: u64,
        /// Why the call is refused.
        cause: RefusalCause,
    },
}

/// Result for a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The call holds a slot and starts now.
    Admit(Ticket),
    /// The call is refused.
    Refuse {
        /// Identifier of the call.
        ticket: Ticket,
        /// Expected further wait, in microseconds.
        wait_us: u64,
        /// Why the call is refused.
        cause: RefusalCause,
    },
}

/// How a running call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered.
    Answered {
        /// Service time of the upstream, in microseconds.
        service_us: u64,
    },
    /// The upstream refused the call because it was at capacity.
    AtCapacity,
    /// The call ended in another way that gives no information on capacity or service time.
    Other,
}

/// A call that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningCall {
    /// Priority with which the call was admitted.
    pub priority: CallPriority,
    /// Kind of the call; selects the mean service time to update.
    pub kind: CallKind,
}

/// Current load of one upstream, in calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotLoad {
    /// Calls that hold a slot.
    pub in_flight: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Maximum number of concurrent calls.
    pub limit: u32,
}

/// Sort key within a queue: sequence number of the request, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    sequence: u32,
    ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
struct QueuedCall {
    kind: CallKind,
    queued_us: u64,
    deadline_us: u64,
    max_wait_us: u64,
}

/// Admission controller for the slots of one upstream.
#[derive(Debug)]
pub struct SlotAdmission {
    announced_slots: u32,
    limit: f64,
    limit_updated_us: u64,
    last_decrease_us: u64,
    /// Running calls of requests in progress.
    running_in_progress: u32,
    /// Running calls of new requests.
    running_new: u32,
    in_progress_demand: Demand,
    mean_service_us_by_kind: IndexMap<CallKind, f64>,
    queues: BTreeMap<CallPriority, BTreeMap<QueueKey, QueuedCall>>,
    /// Limit of calls per second that the upstream has named.
    named_limit: Option<NamedLimit>,
    /// Load that the upstream reported last.
    last_report: Option<LastReport>,
}

impl CallPriority {
    /// Returns the priority level of the request; 0 is the highest priority.
    pub fn level(self) -> u32 {
        match self {
            CallPriority::InProgress(level) | CallPriority::NewRequest(level) => level,
        }
    }

    /// Returns whether the request is already in progress at other upstreams.
    pub fn is_in_progress(self) -> bool {
        matches!(self, CallPriority::InProgress(_))
    }
}

impl SlotAdmission {
    /// Creates a controller for an upstream that announced this number of slots.
    pub fn new(announced_slots: u32, now_us: u64) -> Self {
        Self {
            announced_slots,
            limit: usable_slots(announced_slots),
            limit_updated_us: now_us,
            last_decrease_us: 0,
            running_in_progress: 0,
            running_new: 0,
            in_progress_demand: Demand::default(),
            mean_service_us_by_kind: IndexMap::new(),
            queues: BTreeMap::new(),
            named_limit: None,
            last_report: None,
        }
    }

    /// Forgets what the upstream has said with its answers, for example because another process runs
    /// at its address.
    pub fn forget_upstream(&mut self) {
        self.named_limit = None;
        self.last_report = None;
    }

    /// Records the load that the upstream reports with an answer. Returns the results for queued
    /// calls.
    pub fn record_reported_load(&mut self, now_us: u64, load: ReportedLoad) -> Vec<Event> {
        self.last_report = Some(LastReport::new(now_us, load, self.running()));
        self.poll(now_us)
    }

    /// Returns whether the limit follows what the upstream reports, not its refusals.
    pub fn is_limit_reported(&self, now_us: u64) -> bool {
        self.fresh_report(now_us).is_some()
    }

    fn fresh_report(&self, now_us: u64) -> Option<&LastReport> {
        self.last_report.as_ref().filter(|report| report.is_fresh(now_us))
    }

    /// Sets the limit that the upstream names, in calls per second, or ends it. Returns the results
    /// for queued calls.
    pub fn set_named_limit(&mut self, now_us: u64, limit_per_s: Option<f64>) -> Vec<Event> {
        match (&mut self.named_limit, limit_per_s) {
            (Some(named_limit), Some(limit_per_s)) => named_limit.set_limit(now_us, limit_per_s),
            (Some(named_limit), None) => named_limit.end(now_us),
            (None, limit_per_s) => {
                self.named_limit =
                    limit_per_s.map(|limit_per_s| NamedLimit::new(now_us, limit_per_s));
            }
        }
        self.poll(now_us)
    }

    /// Updates the number of announced slots. A changed number resets the limit.
    pub fn set_announced_slots(&mut self, announced_slots: u32) {
        if announced_slots != self.announced_slots {
            self.announced_slots = announced_slots;
            self.limit = usable_slots(announced_slots);
        }
    }

    /// Admits, queues or refuses an arriving call. The events report on calls queued earlier.
    pub fn offer(&mut self, now_us: u64, request: SlotRequest) -> (Decision, Vec<Event>) {
        self.remove_ended_limit(now_us);
        let mut events = self.expire(now_us);
        let service_us = self.expected_service_us(request.kind);
        if request.priority.is_in_progress() {
            self.in_progress_demand.record(now_us, service_us);
        }
        if let Some(named_limit) = &mut self.named_limit {
            named_limit.record_arrival(now_us, request.priority);
        }
        self.grant(now_us, &mut events);
        if self.has_slot(now_us, request.priority) && self.is_next(request.priority) {
            self.start(now_us, request.priority);
            return (Decision::Admit, events);
        }
        let key = QueueKey { sequence: request.sequence, ticket: request.ticket };
        let (wait_us, cause) = self.expected_wait_us(now_us, request.priority, key);
        let queued_call = QueuedCall {
            kind: request.kind,
            queued_us: now_us,
            deadline_us: request.deadline_us,
            max_wait_us: request.max_wait_us,
        };
        if self.latest_start_us(&queued_call) < now_us + wait_us {
            return (Decision::Refuse { wait_us, cause }, events);
        }
        if self.is_queue_full(now_us, request.priority) {
            match self.evict_behind(request.priority, key) {
                Some(ticket) => events.push(Event::Refuse { ticket, wait_us, cause }),
                None => return (Decision::Refuse { wait_us, cause }, events),
            }
        }
        let queue = self.queues.entry(request.priority).or_default();
        queue.insert(key, queued_call);
        (Decision::Queue, events)
    }

    /// Releases the slot of a call that ended and returns the results for queued calls.
    pub fn complete(&mut self, now_us: u64, call: RunningCall, end: CallEnd) -> Vec<Event> {
        let running = self.running_mut(call.priority);
        *running = running.saturating_sub(1);
        match end {
            CallEnd::Answered { service_us } => self.record_service_time(call.kind, service_us),
            CallEnd::AtCapacity => self.decrease_limit(now_us),
            CallEnd::Other => {}
        }
        self.poll(now_us)
    }

    /// Removes a queued call that its caller cancelled. Returns whether the call was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queues.values_mut().any(|queue| {
            let key = queue.keys().find(|key| key.ticket == ticket).copied();
            key.is_some_and(|key| queue.remove(&key).is_some())
        })
    }

    /// Refuses queued calls that can no longer start in time and grants free slots to others.
    pub fn poll(&mut self, now_us: u64) -> Vec<Event> {
        self.remove_ended_limit(now_us);
        let mut events = self.expire(now_us);
        self.grant(now_us, &mut events);
        events
    }

    fn remove_ended_limit(&mut self, now_us: u64) {
        self.named_limit.take_if(|named_limit| named_limit.has_ended(now_us));
    }

    /// Refuses every queued call, for example when the upstream leaves.
    pub fn refuse_all(&mut self) -> Vec<Event> {
        let queues = std::mem::take(&mut self.queues);
        let tickets = queues.into_values().flat_map(BTreeMap::into_keys);
        let cause = RefusalCause::Slots;
        tickets.map(|key| Event::Refuse { ticket: key.ticket, wait_us: 0, cause }).collect()
    }

    /// Returns the earliest time at which a queued call expires or may get a token of the named
    /// limit, in microseconds.
    pub fn next_poll_us(&self, now_us: u64) -> Option<u64> {
        let queued_calls = self.queues.values().flat_map(BTreeMap::values);
        let expiry_us = queued_calls.map(|queued_call| self.latest_start_us(queued_call)).min();
        let token_us = self.named_limit.as_ref().and_then(|named_limit| {
            let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
            let wait_us = waiting.map(|(priority, _)| named_limit.wait_us(now_us, *priority, 0, 0));
            // A call that has a token waits for a slot, whose release is an event of its own.
            wait_us.filter(|wait_us| *wait_us > 0).min().map(|wait_us| now_us + wait_us)
        });
        [expiry_us, token_us].into_iter().flatten().min()
    }

    /// Returns the current load.
    pub fn load(&self, now_us: u64) -> SlotLoad {
        SlotLoad {
            in_flight: self.running(),
            queued: self.queued() as u32,
            limit: self.reported_limit(now_us),
        }
    }

    /// Returns the number of concurrent calls that other nodes should count on: with a named limit,
    /// the running calls and those that may be sent at once.
    fn reported_limit(&self, now_us: u64) -> u32 {
        let limit = self.current_limit(now_us);
        match self.named_limit.as_ref().filter(|named_limit| !named_limit.has_ended(now_us)) {
            Some(named_limit) => limit.min(self.running() + named_limit.tokens(now_us)).max(1),
            None => limit,
        }
    }

    fn running(&self) -> u32 {
        self.running_in_progress + self.running_new
    }

    fn running_mut(&mut self, priority: CallPriority) -> &mut u32 {
        match priority {
            CallPriority::InProgress(_) => &mut self.running_in_progress,
            CallPriority::NewRequest(_) => &mut self.running_new,
        }
    }

    /// Starts a call: takes a slot and a token of the named limit.
    fn start(&mut self, now_us: u64, priority: CallPriority) {
        *self.running_mut(priority) += 1;
        if let Some(named_limit) = &mut self.named_limit {
            named_limit.take(now_us, priority);
        }
    }

    fn queued(&self) -> usize {
        self.queues.values().map(BTreeMap::len).sum()
    }

    fn current_limit(&self, now_us: u64) -> u32 {
        let report = self.fresh_report(now_us);
        let slots =
            report.map_or(self.announced_slots, |report| report.slots(self.announced_slots));
        let foreign_calls = report.map_or(0, LastReport::foreign_calls);
        let max_limit = usable_slots(slots) - f64::from(foreign_calls);
        let elapsed_us = now_us.saturating_sub(self.limit_updated_us) as f64;
        let recovered = max_limit.max(1.0) * elapsed_us / LIMIT_RECOVERY_US as f64;
        (self.limit + recovered).min(max_limit).max(1.0) as u32
    }

    fn decrease_limit(&mut self, now_us: u64) {
        if self.fresh_report(now_us).is_some_and(LastReport::has_free_slot)
            || now_us.saturating_sub(self.last_decrease_us) < MIN_DECREASE_INTERVAL_US
        {
            return;
        }
        // The refused call no longer counts as running.
        let limit_in_use = f64::from(self.current_limit(now_us).min(self.running() + 1));
        self.limit = (limit_in_use * DECREASE_FACTOR).max(1.0);
        self.limit_updated_us = now_us;
        self.last_decrease_us = now_us;
    }

    fn record_service_time(&mut self, kind: CallKind, service_us: u64) {
        if self.mean_service_us_by_kind.len() >= MAX_KINDS
            && !self.mean_service_us_by_kind.contains_key(&kind)
        {
            self.mean_service_us_by_kind.shift_remove_index(0);
        }
        let mean = self.mean_service_us_by_kind.entry(kind).or_insert(service_us as f64);
        *mean += EWMA_WEIGHT * (service_us as f64 - *mean);
    }

    fn expected_service_us(&self, kind: CallKind) -> f64 {
        self.mean_service_us_by_kind.get(&kind).copied().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Returns the maximum number of slots that new requests may hold.
    fn new_request_limit(&self, now_us: u64) -> u32 {
        let limit = f64::from(self.current_limit(now_us));
        let remaining = limit - self.in_progress_demand.reserved_slots(now_us);
        remaining.max(self.new_request_floor(now_us)).max(1.0) as u32
    }

    fn has_token(&self, now_us: u64, priority: CallPriority) -> bool {
        self.named_limit.as_ref().is_none_or(|named_limit| named_limit.has_token(now_us, priority))
    }

    /// Returns whether a call may start: there is a slot and a token of the named limit.
    fn has_slot(&self, now_us: u64, priority: CallPriority) -> bool {
        if !self.has_token(now_us, priority) {
            return false;
        }
        let is_free = self.running() < self.current_limit(now_us);
        match priority {
            CallPriority::InProgress(_) => is_free,
            CallPriority::NewRequest(_) => {
                is_free && self.running_new < self.new_request_limit(now_us)
            }
        }
    }

    /// Returns whether no call of the same or a higher priority is queued.
    fn is_next(&self, priority: CallPriority) -> bool {
        self.queues.range(..=priority).all(|(_, queue)| queue.is_empty())
    }

    /// Returns the latest time at which a queued call may start, in microseconds.
    fn latest_start_us(&self, queued_call: &QueuedCall) -> u64 {
        let service_us = (self.expected_service_us(queued_call.kind) * SERVICE_TIME_MARGIN) as u64;
        let by_deadline = queued_call.deadline_us.saturating_sub(service_us);
        let max_wait_us = match self.named_limit {
            Some(_) => queued_call.max_wait_us.min(MAX_TOKEN_WAIT_US),
            None => queued_call.max_wait_us,
        };
        by_deadline.min(queued_call.queued_us + max_wait_us)
    }

    /// Returns the number of slots that new requests get before calls of requests in progress.
    fn new_request_floor(&self, now_us: u64) -> f64 {
        f64::from(self.current_limit(now_us)) * NEW_REQUEST_FLOOR_SHARE
    }

    fn expire(&mut self, now_us: u64) -> Vec<Event> {
        let mut expired = Vec::new();
        for (priority, queue) in &self.queues {
            for (key, queued_call) in queue {
                if self.latest_start_us(queued_call) < now_us {
                    expired.push((*priority, *key));
                }
            }
        }
        let refuse = |(priority, key): (CallPriority, QueueKey)| {
            self.queues.get_mut(&priority).map(|queue| queue.remove(&key));
            let (wait_us, cause) = self.expected_wait_us(now_us, priority, key);
            Event::Refuse { ticket: key.ticket, wait_us, cause }
        };
        expired.into_iter().map(refuse).collect()
    }

    fn grant(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(priority) = self.next_priority(now_us) {
            let Some((key, _)) = self.queues.get_mut(&priority).and_then(BTreeMap::pop_first)
            else {
                return;
            };
            self.start(now_us, priority);
            events.push(Event::Admit(key.ticket));
        }
    }

    /// Returns the priority of the queue that gets the next free slot, if a slot is available.
    fn next_priority(&self, now_us: u64) -> Option<CallPriority> {
        match &self.named_limit {
            Some(named_limit) => self.next_limited_priority(now_us, named_limit),
            None => self.next_unlimited_priority(now_us),
        }
    }

    /// Returns the same while the upstream names a limit, whose tokens are then scarcer than slots.
    fn next_limited_priority(&self, now_us: u64, named_limit: &NamedLimit) -> Option<CallPriority> {
        let ready = |priority: &CallPriority| {
            let has_queued_call = self.queues.get(priority).is_some_and(|queue| !queue.is_empty());
            has_queued_call && self.has_slot(now_us, *priority)
        };
        let due = |priority: &CallPriority| named_limit.is_due(now_us, *priority);
        let mut ready_priorities = self.queues.keys().copied().filter(ready);
        let first = ready_priorities.next()?;
        Some(ready_priorities.find(due).unwrap_or(first))
    }

    fn next_unlimited_priority(&self, now_us: u64) -> Option<CallPriority> {
        let floor = self.new_request_floor(now_us);
        let has_queued_call = |priority: &CallPriority| {
            self.queues.get(priority).is_some_and(|queue| !queue.is_empty())
        };
        let new_request =
            self.queues.keys().find(|p| !p.is_in_progress() && has_queued_call(p)).copied();
        let is_new_request_due = f64::from(self.running_new) + 1.0 <= floor;
        let in_progress =
            self.queues.keys().find(|p| p.is_in_progress() && has_queued_call(p)).copied();
        let next = match (in_progress, new_request) {
            (Some(_), Some(new_request)) if is_new_request_due => Some(new_request),
            (Some(in_progress), _) => Some(in_progress),
            (None, new_request) => new_request,
        };
        next.filter(|priority| self.has_slot(now_us, *priority))
    }
}

fn usable_slots(announced_slots: u32) -> f64 {
    (f64::from(announced_slots) * USABLE_SHARE).floor().max(1.0)
}
