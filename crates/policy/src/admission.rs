//! Admission at the node beside an upstream: a working limit and a short queue ordered by class.
//!
//! A call that cannot finish in its remaining time is refused on arrival. A full queue gives way to
//! a higher class. Within a class the earlier admission stamp goes first, so a chain finishes what
//! it has begun.

use std::collections::BTreeMap;

use model::{Class, Reason};

use crate::limit::{AdaptiveLimit, CallSample, LimitConfig};

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
    expires_us: u64,
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

/// Admission controller of one upstream.
#[derive(Debug)]
pub struct Admission {
    config: AdmissionConfig,
    limit: AdaptiveLimit,
    in_flight: u32,
    queues: [BTreeMap<QueueKey, Waiting>; Class::ALL.len()],
    grants_since_floor: u32,
}

impl Admission {
    /// Starts with a cold upstream.
    pub fn new(config: AdmissionConfig, now_us: u64) -> Self {
        Self {
            config,
            limit: AdaptiveLimit::new(config.limit, now_us),
            in_flight: 0,
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
        if self.in_flight < self.limit.current(now_us) && self.queued() == 0 {
            self.in_flight += 1;
            return (Decision::Admit, events);
        }
        let expires_us = self.queue_expiry(now_us, &arrival);
        if self.expected_wait_us(now_us, &arrival) > expires_us.saturating_sub(now_us) {
            return (Decision::Refuse(Reason::Overloaded), events);
        }
        if self.queued() >= self.queue_capacity(now_us) {
            match self.evict_below(arrival.class) {
                Some(ticket) => events.push(Event::Refuse(ticket, Reason::Preempted)),
                None => return (Decision::Refuse(Reason::Overloaded), events),
            }
        }
        let key = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: arrival.ticket };
        let waiting = Waiting { class: arrival.class, expires_us };
        self.queues[arrival.class.rank() as usize].insert(key, waiting);
        self.grant(now_us, &mut events);
        (Decision::Queue, events)
    }

    /// Ends a running call.
    pub fn complete(&mut self, now_us: u64, sample: CallSample) -> Vec<Event> {
        self.in_flight = self.in_flight.saturating_sub(1);
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
            in_flight: self.in_flight,
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

    fn queue_expiry(&self, now_us: u64, arrival: &Arrival) -> u64 {
        let latest_start_us = arrival.deadline_us.saturating_sub(self.limit.mean_service_us());
        latest_start_us.min(now_us + self.config.max_queue_delay_us)
    }

    /// Estimates the wait behind queued calls that go first.
    fn expected_wait_us(&self, now_us: u64, arrival: &Arrival) -> u64 {
        let rank = arrival.class.rank() as usize;
        let higher: usize = self.queues[rank + 1..].iter().map(BTreeMap::len).sum();
        let stamp = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: 0 };
        let earlier = self.queues[rank].range(..stamp).count();
        let limit = u64::from(self.limit.current(now_us).max(1));
        (higher + earlier) as u64 * self.limit.mean_service_us() / limit
    }

    fn evict_below(&mut self, class: Class) -> Option<Ticket> {
        let lower = &mut self.queues[..class.rank() as usize];
        let queue = lower.iter_mut().find(|queue| !queue.is_empty())?;
        queue.pop_last().map(|(key, _)| key.ticket)
    }

    fn expire(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = Vec::new();
        for queue in &mut self.queues {
            queue.retain(|key, waiting| {
                let is_kept = waiting.expires_us > now_us;
                if !is_kept {
                    events.push(Event::Refuse(key.ticket, Reason::Overloaded));
                }
                is_kept
            });
        }
        events
    }

    fn grant(&mut self, now_us: u64, events: &mut Vec<Event>) {
        let limit = self.limit.current(now_us);
        while self.in_flight < limit {
            let Some(ticket) = self.pop_next() else {
                return;
            };
            self.in_flight += 1;
            events.push(Event::Admit(ticket));
        }
    }

    fn pop_next(&mut self) -> Option<Ticket> {
        let lowest = self.queues.iter().position(|queue| !queue.is_empty())?;
        let highest = self.queues.iter().rposition(|queue| !queue.is_empty())?;
        let rank = if self.is_floor_due() { lowest } else { highest };
        self.grants_since_floor = if rank < highest { 0 } else { self.grants_since_floor + 1 };
        let (key, waiting) = self.queues[rank].pop_first()?;
        debug_assert_eq!(waiting.class.rank() as usize, rank);
        Some(key.ticket)
    }

    fn is_floor_due(&self) -> bool {
        let percent = self.config.floor_percent;
        percent > 0 && (self.grants_since_floor + 1) * percent >= 100
    }
}
