//! Admission at the node beside an upstream: a working limit and a short queue ordered by class.
//!
//! A call that cannot finish in its remaining time is refused on arrival. Lower classes wait for a
//! short time only, critical ones as long as they can still finish. A full queue gives way to a
//! higher class. Within a class the earlier admission stamp goes first, so a chain finishes what
//! it has begun.

use std::collections::BTreeMap;

use model::{Class, Reason};

use crate::limit::{AdaptiveLimit, CallSample, LimitConfig};
use crate::reserve::CriticalReserve;

/// Longest queue, as a multiple of the limit.
const QUEUE_PER_LIMIT: u32 = 4;
/// Shortest queue, in calls.
const MIN_QUEUE: u32 = 16;

/// Identifies a call to the caller of this module.
pub type Ticket = u64;

/// Settings of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// Working limit.
    pub limit: LimitConfig,
    /// Longest wait in the queue, in microseconds.
    pub max_queue_delay_us: u64,
    /// Share of grants kept for the lower classes, in percent.
    pub floor_percent: u32,
}

/// A call that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Importance.
    pub class: Class,
    /// When the whole request entered the system, in Unix microseconds.
    pub admitted_unix_us: u64,
    /// When the answer is due, in microseconds on the clock of `now_us`.
    pub deadline_us: u64,
}

/// What becomes of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call runs now.
    Admit,
    /// The call waits; an [`Event`] follows.
    Queue,
    /// The call is refused.
    Refuse(Reason),
}

/// What becomes of a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The call runs now.
    Admit(Ticket),
    /// The call is refused.
    Refuse(Ticket, Reason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    admitted_unix_us: u64,
    ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    class: Class,
    queued_us: u64,
    deadline_us: u64,
}

/// Time that one more call needs, and its bounds.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    service_us: u64,
    max_queue_delay_us: u64,
}

impl Waiting {
    /// Returns whether the call cannot finish any more, or waited for its share.
    fn is_expired(&self, now_us: u64, limits: WaitLimits) -> bool {
        if now_us + limits.service_us >= self.deadline_us {
            return true;
        }
        // Higher classes go first, so their queue stays short unless they alone are too many.
        self.class < Class::Critical && now_us >= self.queued_us + limits.max_queue_delay_us
    }
}

/// Counts of one admission controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLoad {
    /// Calls running.
    pub in_flight: u32,
    /// Calls allowed at once.
    pub limit: u32,
    /// Calls waiting.
    pub queued: u32,
}

/// A call that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningCall {
    /// Importance.
    pub class: Class,
    /// When it was admitted, in microseconds.
    pub admitted_us: u64,
}

impl RunningCall {
    fn is_critical(&self) -> bool {
        self.class >= Class::Critical
    }
}

#[derive(Debug, Default)]
struct RunningCalls {
    count: u32,
    lower_count: u32,
    admitted_sum_us: u64,
}

impl RunningCalls {
    fn add(&mut self, call: RunningCall) {
        self.count += 1;
        self.lower_count += u32::from(!call.is_critical());
        self.admitted_sum_us += call.admitted_us;
    }

    fn remove(&mut self, call: RunningCall) {
        self.count = self.count.saturating_sub(1);
        self.lower_count = self.lower_count.saturating_sub(u32::from(!call.is_critical()));
        self.admitted_sum_us = self.admitted_sum_us.saturating_sub(call.admitted_us);
    }

    fn mean_age_us(&self, now_us: u64) -> u64 {
        match self.count {
            0 => 0,
            count => now_us.saturating_sub(self.admitted_sum_us / u64::from(count)),
        }
    }
}

/// Admission controller of one upstream.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    limit: AdaptiveLimit,
    running: RunningCalls,
    reserve: CriticalReserve,
    queues: [BTreeMap<QueueKey, Waiting>; Class::ALL.len()],
    grants_since_floor: u32,
}

impl Admission {
    /// Starts with a cold upstream.
    pub fn new(config: AdmissionConfig, now_us: u64) -> Self {
        Self {
            config,
            limit: AdaptiveLimit::new(config.limit, now_us),
            running: RunningCalls::default(),
            reserve: CriticalReserve::new(),
            queues: Default::default(),
            grants_since_floor: 0,
        }
    }

    /// Replaces the settings.
    pub fn set_config(&mut self, config: AdmissionConfig) {
        self.limit.set_config(config.limit);
        self.config = config;
    }

    /// Starts the ramp again, as for a new upstream process.
    pub fn restart(&mut self, now_us: u64) {
        self.limit = AdaptiveLimit::new(self.config.limit, now_us);
    }

    /// Decides on an arrival. The events concern calls queued before it.
    pub fn offer(&mut self, now_us: u64, arrival: Arrival) -> (Decision, Vec<Event>) {
        let mut events = self.expire(now_us);
        if arrival.deadline_us <= now_us {
            return (Decision::Refuse(Reason::DeadlineExceeded), events);
        }
        if arrival.class >= Class::Critical {
            self.reserve.record_arrival(now_us);
        }
        if self.queued() == 0 && self.has_slot(now_us, arrival.class) {
            self.running.add(RunningCall { class: arrival.class, admitted_us: now_us });
            return (Decision::Admit, events);
        }
        let waiting =
            Waiting { class: arrival.class, queued_us: now_us, deadline_us: arrival.deadline_us };
        let granted_us = now_us + self.expected_wait_us(now_us, &arrival);
        if waiting.is_expired(granted_us, self.wait_limits(now_us)) {
            return (Decision::Refuse(Reason::Overloaded), events);
        }
        if self.queued() >= self.queue_capacity(now_us) {
            match self.evict_below(arrival.class) {
                Some(ticket) => events.push(Event::Refuse(ticket, Reason::Preempted)),
                None => return (Decision::Refuse(Reason::Overloaded), events),
            }
        }
        let key = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: arrival.ticket };
        self.queues[arrival.class.rank() as usize].insert(key, waiting);
        self.grant(now_us, &mut events);
        (Decision::Queue, events)
    }

    /// Ends a running call.
    pub fn complete(&mut self, now_us: u64, call: RunningCall, sample: CallSample) -> Vec<Event> {
        self.running.remove(call);
        self.limit.record(now_us, sample);
        self.poll(now_us)
    }

    /// Removes a queued call whose caller went away. Returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        for queue in &mut self.queues {
            let key = queue.keys().find(|key| key.ticket == ticket).copied();
            if let Some(key) = key {
                queue.remove(&key);
                return true;
            }
        }
        false
    }

    /// Refuses calls that waited too long and grants free slots.
    pub fn poll(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = self.expire(now_us);
        self.grant(now_us, &mut events);
        events
    }

    /// Refuses every queued call, as when the upstream leaves.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Event> {
        let mut events = Vec::new();
        for queue in &mut self.queues {
            let tickets = std::mem::take(queue).into_keys().map(|key| key.ticket);
            events.extend(tickets.map(|ticket| Event::Refuse(ticket, reason)));
        }
        events
    }

    /// Returns the present counts.
    pub fn load(&self, now_us: u64) -> AdmissionLoad {
        AdmissionLoad {
            in_flight: self.running.count,
            limit: self.limit.current(now_us),
            queued: self.queued(),
        }
    }

    /// Returns the mean service time in microseconds, zero before the first answer.
    pub fn mean_service_us(&self) -> u64 {
        self.limit.mean_service_us()
    }

    fn queued(&self) -> u32 {
        let queued: usize = self.queues.iter().map(BTreeMap::len).sum();
        queued as u32
    }

    fn queue_capacity(&self, now_us: u64) -> u32 {
        (self.limit.current(now_us) * QUEUE_PER_LIMIT).max(MIN_QUEUE)
    }

    /// Returns whether a call of a class may take a free slot.
    fn has_slot(&self, now_us: u64, class: Class) -> bool {
        let limit = self.limit.current(now_us);
        if self.running.count >= limit || class >= Class::Critical {
            return self.running.count < limit;
        }
        let reserved = self.reserve.slots(now_us, self.expected_service_us(now_us), limit);
        self.running.lower_count < limit - reserved
    }

    fn wait_limits(&self, now_us: u64) -> WaitLimits {
        WaitLimits {
            service_us: self.expected_service_us(now_us),
            max_queue_delay_us: self.config.max_queue_delay_us,
        }
    }

    /// Estimates the service time, also while a slowdown keeps all calls from ending.
    ///
    /// The mean age of running calls is half of their whole time where they start evenly.
    fn expected_service_us(&self, now_us: u64) -> u64 {
        let mean_age_us = self.running.mean_age_us(now_us);
        self.limit.mean_service_us().max(mean_age_us * 3 / 2)
    }

    /// Estimates the wait behind queued calls that go first.
    fn expected_wait_us(&self, now_us: u64, arrival: &Arrival) -> u64 {
        let rank = arrival.class.rank() as usize;
        let higher: usize = self.queues[rank + 1..].iter().map(BTreeMap::len).sum();
        let stamp = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: 0 };
        let earlier = self.queues[rank].range(..stamp).count();
        let limit = u64::from(self.limit.current(now_us).max(1));
        (higher + earlier) as u64 * self.expected_service_us(now_us) / limit
    }

    fn evict_below(&mut self, class: Class) -> Option<Ticket> {
        let lower = &mut self.queues[..class.rank() as usize];
        let queue = lower.iter_mut().find(|queue| !queue.is_empty())?;
        queue.pop_last().map(|(key, _)| key.ticket)
    }

    fn expire(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = Vec::new();
        let limits = self.wait_limits(now_us);
        for queue in &mut self.queues {
            queue.retain(|key, waiting| {
                let is_kept = !waiting.is_expired(now_us, limits);
                if !is_kept {
                    events.push(Event::Refuse(key.ticket, Reason::Overloaded));
                }
                is_kept
            });
        }
        events
    }

    fn grant(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(rank) = self.next_rank(now_us) {
            let Some((key, waiting)) = self.queues[rank].pop_first() else { return };
            self.running.add(RunningCall { class: waiting.class, admitted_us: now_us });
            events.push(Event::Admit(key.ticket));
        }
    }

    /// Returns the class that takes the next free slot, by its rank.
    fn next_rank(&mut self, now_us: u64) -> Option<usize> {
        let lowest = self.queues.iter().position(|queue| !queue.is_empty())?;
        let highest = self.queues.iter().rposition(|queue| !queue.is_empty())?;
        let is_floor = lowest < highest && self.is_floor_due();
        let rank = if is_floor { lowest } else { highest };
        let class = if is_floor { Class::CriticalPlus } else { Class::from_rank(rank as u32) };
        if !self.has_slot(now_us, class) {
            return None;
        }
        self.grants_since_floor = if rank < highest { 0 } else { self.grants_since_floor + 1 };
        Some(rank)
    }

    fn is_floor_due(&self) -> bool {
        let percent = self.config.floor_percent;
        percent > 0 && (self.grants_since_floor + 1) * percent >= 100
    }
}
