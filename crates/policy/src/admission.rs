//! Admission control at the node of an upstream: a concurrency limit and a bounded priority queue.
//!
//! A call that cannot finish before its deadline is refused on arrival. Calls of the lower classes
//! wait for a bounded time, critical ones as long as they can still meet their deadline. When the
//! queue is full, a call preempts a queued call of a lower class. Within a class, calls are ordered
//! by the time at which their request entered the system, so that call chains in progress complete
//! first.

use std::collections::BTreeMap;

use model::{Class, Reason};

use crate::critical_reserve::CriticalReserve;
use crate::limit::{AdaptiveLimit, CallSample, LimitConfig};

/// Queue capacity, as a multiple of the limit.
const QUEUE_CAPACITY_PER_LIMIT: u32 = 4;
/// Minimum queue capacity, in calls.
const MIN_QUEUE_CAPACITY: u32 = 16;

/// Identifier of a call, assigned by the user of this module.
pub type Ticket = u64;

/// Settings of an [`Admission`] controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// Settings of the concurrency limit.
    pub limit: LimitConfig,
    /// Maximum wait in the queue for classes below [`Class::Critical`], in microseconds.
    pub max_queue_delay_us: u64,
    /// Share of grants that go to the lowest class with queued calls, in percent.
    pub floor_percent: u32,
}

/// A call that requests admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier of the call.
    pub ticket: Ticket,
    /// Priority class of the request.
    pub class: Class,
    /// Time at which the whole request entered the system, in Unix microseconds.
    pub admitted_unix_us: u64,
    /// Deadline for the answer, in microseconds on the clock of `now_us`.
    pub deadline_us: u64,
}

/// Result of a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call starts now.
    Admit,
    /// The call is queued; an [`Event`] reports its result.
    Queue,
    /// The call is refused for this reason.
    Refuse(Reason),
}

/// Result for a queued call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The call starts now.
    Admit(Ticket),
    /// The call is refused for this reason.
    Refuse(Ticket, Reason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    admitted_unix_us: u64,
    ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
struct QueuedCall {
    class: Class,
    queued_us: u64,
    deadline_us: u64,
}

/// Bounds that decide when a queued call expires.
#[derive(Debug, Clone, Copy)]
struct WaitLimits {
    service_us: u64,
    max_queue_delay_us: u64,
}

impl QueuedCall {
    /// Returns whether the call can no longer finish in time or has reached its maximum queue
    /// delay.
    fn is_expired(&self, now_us: u64, limits: WaitLimits) -> bool {
        if now_us + limits.service_us >= self.deadline_us {
            return true;
        }
        // Critical classes have no maximum delay: they are granted first, so their queue stays
        // short unless critical calls alone exceed the limit.
        self.class < Class::Critical && now_us >= self.queued_us + limits.max_queue_delay_us
    }
}

/// Current load of one admission controller, in calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLoad {
    /// Calls that hold a slot.
    pub in_flight: u32,
    /// Maximum number of concurrent calls.
    pub limit: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
}

/// A call that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningCall {
    /// Priority class of the request.
    pub class: Class,
    /// Time at which the call was granted a slot, in microseconds.
    pub started_us: u64,
}

impl RunningCall {
    fn is_critical(&self) -> bool {
        self.class >= Class::Critical
    }
}

#[derive(Debug, Default)]
struct RunningCalls {
    count: u32,
    lower_class_count: u32,
    started_sum_us: u64,
}

impl RunningCalls {
    fn add(&mut self, call: RunningCall) {
        self.count += 1;
        self.lower_class_count += u32::from(!call.is_critical());
        self.started_sum_us += call.started_us;
    }

    fn remove(&mut self, call: RunningCall) {
        self.count = self.count.saturating_sub(1);
        self.lower_class_count =
            self.lower_class_count.saturating_sub(u32::from(!call.is_critical()));
        self.started_sum_us = self.started_sum_us.saturating_sub(call.started_us);
    }

    fn mean_age_us(&self, now_us: u64) -> u64 {
        match self.count {
            0 => 0,
            count => now_us.saturating_sub(self.started_sum_us / u64::from(count)),
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
    queues: [BTreeMap<QueueKey, QueuedCall>; Class::ALL.len()],
    grants_since_floor_grant: u32,
}

impl Admission {
    /// Creates the controller of a cold upstream that started at `now_us`.
    pub fn new(config: AdmissionConfig, now_us: u64) -> Self {
        Self {
            config,
            limit: AdaptiveLimit::new(config.limit, now_us),
            running: RunningCalls::default(),
            reserve: CriticalReserve::new(),
            queues: Default::default(),
            grants_since_floor_grant: 0,
        }
    }

    /// Replaces the settings and scales the limit to the new number of slots.
    pub fn set_config(&mut self, config: AdmissionConfig) {
        self.limit.set_config(config.limit);
        self.config = config;
    }

    /// Resets the limit to that of a cold upstream, for example for a new upstream process.
    pub fn restart(&mut self, now_us: u64) {
        self.limit = AdaptiveLimit::new(self.config.limit, now_us);
    }

    /// Admits, queues or refuses an arriving call. The events report on queued calls; the new call
    /// may be among them.
    pub fn offer(&mut self, now_us: u64, arrival: Arrival) -> (Decision, Vec<Event>) {
        let mut events = self.expire(now_us);
        if arrival.deadline_us <= now_us {
            return (Decision::Refuse(Reason::DeadlineExceeded), events);
        }
        if arrival.class >= Class::Critical {
            self.reserve.record_arrival(now_us);
        }
        if self.queued() == 0 && self.has_slot(now_us, arrival.class) {
            self.running.add(RunningCall { class: arrival.class, started_us: now_us });
            return (Decision::Admit, events);
        }
        let queued_call = QueuedCall {
            class: arrival.class,
            queued_us: now_us,
            deadline_us: arrival.deadline_us,
        };
        let expected_start_us = now_us + self.expected_wait_us(now_us, &arrival);
        if queued_call.is_expired(expected_start_us, self.wait_limits(now_us)) {
            return (Decision::Refuse(Reason::Overloaded), events);
        }
        if self.queued() >= self.queue_capacity(now_us) {
            match self.evict_lower_class(arrival.class) {
                Some(ticket) => events.push(Event::Refuse(ticket, Reason::Preempted)),
                None => return (Decision::Refuse(Reason::Overloaded), events),
            }
        }
        let key = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: arrival.ticket };
        self.queues[arrival.class.rank() as usize].insert(key, queued_call);
        self.grant(now_us, &mut events);
        (Decision::Queue, events)
    }

    /// Releases the slot of a call that ended and returns the results for queued calls.
    pub fn complete(&mut self, now_us: u64, call: RunningCall, sample: CallSample) -> Vec<Event> {
        self.running.remove(call);
        self.limit.record(now_us, sample);
        self.poll(now_us)
    }

    /// Removes a queued call that its caller cancelled. Returns whether the call was queued.
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

    /// Refuses expired queued calls and grants free slots to others.
    pub fn poll(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = self.expire(now_us);
        self.grant(now_us, &mut events);
        events
    }

    /// Refuses every queued call for the given reason, for example when the upstream leaves.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Event> {
        let mut events = Vec::new();
        for queue in &mut self.queues {
            let tickets = std::mem::take(queue).into_keys().map(|key| key.ticket);
            events.extend(tickets.map(|ticket| Event::Refuse(ticket, reason)));
        }
        events
    }

    /// Returns the current load.
    pub fn load(&self, now_us: u64) -> AdmissionLoad {
        AdmissionLoad {
            in_flight: self.running.count,
            limit: self.limit.current(now_us),
            queued: self.queued(),
        }
    }

    /// Returns the mean service time in microseconds, or zero before the first answer.
    pub fn mean_service_us(&self) -> u64 {
        self.limit.mean_service_us()
    }

    fn queued(&self) -> u32 {
        let queued: usize = self.queues.iter().map(BTreeMap::len).sum();
        queued as u32
    }

    fn queue_capacity(&self, now_us: u64) -> u32 {
        (self.limit.current(now_us) * QUEUE_CAPACITY_PER_LIMIT).max(MIN_QUEUE_CAPACITY)
    }

    /// Returns whether a slot is available to a call of this class.
    fn has_slot(&self, now_us: u64, class: Class) -> bool {
        let limit = self.limit.current(now_us);
        if self.running.count >= limit || class >= Class::Critical {
            return self.running.count < limit;
        }
        let reserved = self.reserve.slots(now_us, self.expected_service_us(now_us), limit);
        self.running.lower_class_count < limit - reserved
    }

    fn wait_limits(&self, now_us: u64) -> WaitLimits {
        WaitLimits {
            service_us: self.expected_service_us(now_us),
            max_queue_delay_us: self.config.max_queue_delay_us,
        }
    }

    /// Estimates the service time in microseconds, also when no calls complete because of a
    /// slowdown.
    ///
    /// If running calls started at a uniform rate, their mean age is half of their service time.
    /// The factor of 3/2 instead of 2 gives a lower estimate.
    fn expected_service_us(&self, now_us: u64) -> u64 {
        let mean_age_us = self.running.mean_age_us(now_us);
        self.limit.mean_service_us().max(mean_age_us * 3 / 2)
    }

    /// Estimates the wait behind the queued calls that precede an arrival, in microseconds.
    fn expected_wait_us(&self, now_us: u64, arrival: &Arrival) -> u64 {
        let rank = arrival.class.rank() as usize;
        let higher: usize = self.queues[rank + 1..].iter().map(BTreeMap::len).sum();
        let first_key = QueueKey { admitted_unix_us: arrival.admitted_unix_us, ticket: 0 };
        let earlier = self.queues[rank].range(..first_key).count();
        let limit = u64::from(self.limit.current(now_us).max(1));
        (higher + earlier) as u64 * self.expected_service_us(now_us) / limit
    }

    fn evict_lower_class(&mut self, class: Class) -> Option<Ticket> {
        let lower = &mut self.queues[..class.rank() as usize];
        let queue = lower.iter_mut().find(|queue| !queue.is_empty())?;
        queue.pop_last().map(|(key, _)| key.ticket)
    }

    fn expire(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = Vec::new();
        let limits = self.wait_limits(now_us);
        for queue in &mut self.queues {
            queue.retain(|key, queued_call| {
                let is_kept = !queued_call.is_expired(now_us, limits);
                if !is_kept {
                    events.push(Event::Refuse(key.ticket, Reason::Overloaded));
                }
                is_kept
            });
        }
        events
    }

    fn grant(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(rank) = self.next_class_rank(now_us) {
            let Some((key, queued_call)) = self.queues[rank].pop_first() else { return };
            self.running.add(RunningCall { class: queued_call.class, started_us: now_us });
            events.push(Event::Admit(key.ticket));
        }
    }

    /// Returns the rank of the class that gets the next free slot, if a slot is available to it.
    fn next_class_rank(&mut self, now_us: u64) -> Option<usize> {
        let lowest = self.queues.iter().position(|queue| !queue.is_empty())?;
        let highest = self.queues.iter().rposition(|queue| !queue.is_empty())?;
        let is_floor_grant = lowest < highest && self.is_floor_grant_due();
        let rank = if is_floor_grant { lowest } else { highest };
        // A floor grant may use a slot that is reserved for critical calls.
        let class =
            if is_floor_grant { Class::CriticalPlus } else { Class::from_rank(rank as u32) };
        if !self.has_slot(now_us, class) {
            return None;
        }
        self.grants_since_floor_grant =
            if rank < highest { 0 } else { self.grants_since_floor_grant + 1 };
        Some(rank)
    }

    fn is_floor_grant_due(&self) -> bool {
        let percent = self.config.floor_percent;
        percent > 0 && (self.grants_since_floor_grant + 1) * percent >= 100
    }
}
