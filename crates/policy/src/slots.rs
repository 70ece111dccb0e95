//! Which calls get an upstream's slots, which wait, and which are refused at once.
//!
//! Calls of requests that have begun go before new requests, since a call that fails wastes what was
//! done for its whole request. New requests are ordered by rank. They share what the begun calls leave
//! free, by Little's law, and never less than a floor, so that no kind of request starves. A call that
//! cannot start in time is refused on arrival, while its caller can still go elsewhere.
//!
//! Waiting calls of begun requests go by the rank of their request, then by an order that the request
//! has on all hops. A request needs several calls in a row; served in order of arrival, an overload
//! would make every request late, while an order of their own lets the first ones finish whole.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::{US_PER_MS, US_PER_S};

/// Identifies a call to the caller of this module.
pub type Ticket = u64;
/// Identifies the kind of a call; calls of a kind take similar time.
pub type KindKey = u64;

/// Share of the announced slots that is used. Upstreams turn slow when their last slots fill.
const USABLE_SHARE: f64 = 0.95;
/// Share of the limit that new requests may always use.
const ENTRY_FLOOR_SHARE: f64 = 0.15;
/// Share of the limit kept after the upstream refused a call.
const DECREASE_FACTOR: f64 = 0.85;
/// Shortest time between two decreases, in microseconds: calls in flight report the same shortage.
const MIN_DECREASE_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Time in which a lowered limit regains all announced slots, in microseconds.
const REGAIN_US: u64 = 3 * US_PER_S;
/// Memory of arrival rates, in microseconds.
const RATE_MEMORY_US: f64 = US_PER_S as f64;
/// Weight of a new sample in a mean service time.
const SMOOTHING: f64 = 0.1;
/// Service time assumed of a kind before its first answer, in microseconds.
const DEFAULT_SERVICE_US: f64 = 100.0 * US_PER_MS as f64;
/// Margin on the mean service time when judging whether a call can finish.
const SERVICE_MARGIN: f64 = 1.2;
/// Most kinds whose service times are remembered.
const MAX_KINDS: usize = 1_024;
/// Longest queue, as a multiple of the limit.
const QUEUE_PER_LIMIT: usize = 4;

/// Importance of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The call belongs to a request of a rank that other upstreams are at work on.
    Begun(u32),
    /// The call is a new request of a rank; zero goes first.
    Entry(u32),
}

/// A call that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applicant {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Importance.
    pub standing: Standing,
    /// Place of the request among those of its rank; lower goes first.
    pub order: u32,
    /// Kind of the call.
    pub kind: KindKey,
    /// When the answer is due, in microseconds.
    pub deadline_us: u64,
    /// Longest useful wait, in microseconds. A refusal within it costs the caller nothing.
    pub max_wait_us: u64,
}

/// What becomes of an applicant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call runs now.
    Admit,
    /// The call waits; an [`Event`] follows.
    Queue,
    /// The call is refused; it could start after this time at the earliest, in microseconds.
    Refuse {
        /// Expected wait, in microseconds.
        wait_us: u64,
    },
}

/// What becomes of a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The call runs now.
    Admit(Ticket),
    /// The call is refused.
    Refuse {
        /// Identifies the call.
        ticket: Ticket,
        /// Expected further wait, in microseconds.
        wait_us: u64,
    },
}

/// How a running call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The upstream answered after a time in microseconds.
    Answered {
        /// Time that the upstream took.
        service_us: u64,
    },
    /// The upstream refused the call because it was full.
    Full,
    /// The call ended otherwise.
    Other,
}

/// A call that holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Running {
    /// Importance.
    pub standing: Standing,
    /// Kind of the call.
    pub kind: KindKey,
}

/// Counts of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotLoad {
    /// Calls running.
    pub in_flight: u32,
    /// Calls waiting.
    pub queued: u32,
    /// Calls allowed at once.
    pub limit: u32,
}

/// Place in a queue: by the order of the request, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    order: u32,
    ticket: Ticket,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    kind: KindKey,
    queued_us: u64,
    deadline_us: u64,
    max_wait_us: u64,
}

/// Arrival rate of one kind of standing, decaying.
#[derive(Debug, Default)]
struct Demand {
    rate_per_us: f64,
    mean_service_us: f64,
    updated_us: u64,
}

impl Demand {
    fn record(&mut self, now_us: u64, service_us: f64) {
        self.rate_per_us = self.rate(now_us) + 1.0 / RATE_MEMORY_US;
        self.updated_us = now_us;
        self.mean_service_us += SMOOTHING * (service_us - self.mean_service_us);
    }

    fn rate(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        self.rate_per_us * (-age_us / RATE_MEMORY_US).exp()
    }

    /// Returns the slots that the demand keeps busy, one standard deviation less so that few are idle.
    fn slots(&self, now_us: u64) -> f64 {
        let mean = self.rate(now_us) * self.mean_service_us;
        (mean - mean.sqrt()).max(0.0)
    }
}

/// Slots of one upstream.
#[derive(Debug)]
pub struct Slots {
    announced: u32,
    limit: f64,
    limit_updated_us: u64,
    decreased_us: u64,
    running_begun: u32,
    running_entry: u32,
    begun_demand: Demand,
    service_us: IndexMap<KindKey, f64>,
    queues: BTreeMap<Standing, BTreeMap<Place, Waiting>>,
}

impl Standing {
    /// Returns the rank of the whole request.
    pub fn rank(self) -> u32 {
        match self {
            Standing::Begun(rank) | Standing::Entry(rank) => rank,
        }
    }

    /// Returns whether the request has begun elsewhere.
    pub fn is_begun(self) -> bool {
        matches!(self, Standing::Begun(_))
    }
}

impl Slots {
    /// Starts with the announced slots of an upstream.
    pub fn new(announced: u32, now_us: u64) -> Self {
        Self {
            announced,
            limit: usable(announced),
            limit_updated_us: now_us,
            decreased_us: 0,
            running_begun: 0,
            running_entry: 0,
            begun_demand: Demand::default(),
            service_us: IndexMap::new(),
            queues: BTreeMap::new(),
        }
    }

    /// Takes a new announcement into account.
    pub fn set_announced(&mut self, announced: u32) {
        if announced != self.announced {
            self.announced = announced;
            self.limit = usable(announced);
        }
    }

    /// Decides on an arrival. The events concern calls queued before it.
    pub fn offer(&mut self, now_us: u64, applicant: Applicant) -> (Decision, Vec<Event>) {
        let mut events = self.expire(now_us);
        let service_us = self.expected_service_us(applicant.kind);
        if applicant.standing.is_begun() {
            self.begun_demand.record(now_us, service_us);
        }
        self.grant(now_us, &mut events);
        if self.has_slot(now_us, applicant.standing) && self.is_next(applicant.standing) {
            self.start(applicant.standing);
            return (Decision::Admit, events);
        }
        let place = Place { order: applicant.order, ticket: applicant.ticket };
        let wait_us = self.expected_wait_us(now_us, applicant.standing, place);
        let waiting = Waiting {
            kind: applicant.kind,
            queued_us: now_us,
            deadline_us: applicant.deadline_us,
            max_wait_us: applicant.max_wait_us,
        };
        if self.latest_start_us(&waiting) < now_us + wait_us {
            return (Decision::Refuse { wait_us }, events);
        }
        if self.queued() >= self.limit_now(now_us) as usize * QUEUE_PER_LIMIT {
            match self.evict_behind(applicant.standing, place) {
                Some(ticket) => events.push(Event::Refuse { ticket, wait_us }),
                None => return (Decision::Refuse { wait_us }, events),
            }
        }
        let queue = self.queues.entry(applicant.standing).or_default();
        queue.insert(place, waiting);
        (Decision::Queue, events)
    }

    /// Ends a running call.
    pub fn complete(&mut self, now_us: u64, call: Running, end: CallEnd) -> Vec<Event> {
        let running = self.running_mut(call.standing);
        *running = running.saturating_sub(1);
        match end {
            CallEnd::Answered { service_us } => self.learn(call.kind, service_us),
            CallEnd::Full => self.decrease(now_us),
            CallEnd::Other => {}
        }
        self.poll(now_us)
    }

    /// Removes a waiting call whose caller went away. Returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queues.values_mut().any(|queue| {
            let place = queue.keys().find(|place| place.ticket == ticket).copied();
            place.is_some_and(|place| queue.remove(&place).is_some())
        })
    }

    /// Refuses calls that can no longer start in time and grants free slots.
    pub fn poll(&mut self, now_us: u64) -> Vec<Event> {
        let mut events = self.expire(now_us);
        self.grant(now_us, &mut events);
        events
    }

    /// Refuses every waiting call, as when the upstream leaves.
    pub fn refuse_all(&mut self) -> Vec<Event> {
        let queues = std::mem::take(&mut self.queues);
        let tickets = queues.into_values().flat_map(BTreeMap::into_keys);
        tickets.map(|place| Event::Refuse { ticket: place.ticket, wait_us: 0 }).collect()
    }

    /// Returns when the next waiting call can no longer start in time, in microseconds.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let waiting = self.queues.values().flat_map(BTreeMap::values);
        waiting.map(|waiting| self.latest_start_us(waiting)).min()
    }

    /// Returns the present counts.
    pub fn load(&self, now_us: u64) -> SlotLoad {
        SlotLoad {
            in_flight: self.running(),
            queued: self.queued() as u32,
            limit: self.limit_now(now_us),
        }
    }

    fn running(&self) -> u32 {
        self.running_begun + self.running_entry
    }

    fn running_mut(&mut self, standing: Standing) -> &mut u32 {
        match standing {
            Standing::Begun(_) => &mut self.running_begun,
            Standing::Entry(_) => &mut self.running_entry,
        }
    }

    fn start(&mut self, standing: Standing) {
        *self.running_mut(standing) += 1;
    }

    fn queued(&self) -> usize {
        self.queues.values().map(BTreeMap::len).sum()
    }

    fn limit_now(&self, now_us: u64) -> u32 {
        let full = usable(self.announced);
        let elapsed_us = now_us.saturating_sub(self.limit_updated_us) as f64;
        let regained = full * elapsed_us / REGAIN_US as f64;
        (self.limit + regained).min(full).max(1.0) as u32
    }

    fn decrease(&mut self, now_us: u64) {
        if now_us.saturating_sub(self.decreased_us) < MIN_DECREASE_INTERVAL_US {
            return;
        }
        let in_use = f64::from(self.limit_now(now_us).min(self.running() + 1));
        self.limit = (in_use * DECREASE_FACTOR).max(1.0);
        self.limit_updated_us = now_us;
        self.decreased_us = now_us;
    }

    fn learn(&mut self, kind: KindKey, service_us: u64) {
        if self.service_us.len() >= MAX_KINDS && !self.service_us.contains_key(&kind) {
            self.service_us.shift_remove_index(0);
        }
        let mean = self.service_us.entry(kind).or_insert(service_us as f64);
        *mean += SMOOTHING * (service_us as f64 - *mean);
    }

    fn expected_service_us(&self, kind: KindKey) -> f64 {
        self.service_us.get(&kind).copied().unwrap_or(DEFAULT_SERVICE_US)
    }

    /// Returns the slots that new requests may hold.
    fn entry_limit(&self, now_us: u64) -> u32 {
        let limit = f64::from(self.limit_now(now_us));
        let left = limit - self.begun_demand.slots(now_us);
        left.max(limit * ENTRY_FLOOR_SHARE).max(1.0) as u32
    }

    fn has_slot(&self, now_us: u64, standing: Standing) -> bool {
        let is_free = self.running() < self.limit_now(now_us);
        match standing {
            Standing::Begun(_) => is_free,
            Standing::Entry(_) => is_free && self.running_entry < self.entry_limit(now_us),
        }
    }

    /// Returns whether nothing that goes first is waiting.
    fn is_next(&self, standing: Standing) -> bool {
        self.queues.range(..=standing).all(|(_, queue)| queue.is_empty())
    }

    /// Returns when a waiting call must have started, in microseconds.
    fn latest_start_us(&self, waiting: &Waiting) -> u64 {
        let service_us = (self.expected_service_us(waiting.kind) * SERVICE_MARGIN) as u64;
        let by_deadline = waiting.deadline_us.saturating_sub(service_us);
        by_deadline.min(waiting.queued_us + waiting.max_wait_us)
    }

    /// Estimates the wait behind the calls that go first.
    fn expected_wait_us(&self, now_us: u64, standing: Standing, place: Place) -> u64 {
        let before = self.queues.range(..standing).flat_map(|(_, queue)| queue.values());
        let own = self.queues.get(&standing);
        let beside = own.into_iter().flat_map(|queue| queue.range(..place));
        let ahead = before.chain(beside.map(|(_, waiting)| waiting));
        let work_us: f64 = ahead.map(|waiting| self.expected_service_us(waiting.kind)).sum();
        let slots = match standing {
            Standing::Begun(_) => self.limit_now(now_us),
            Standing::Entry(_) => self.entry_limit(now_us),
        };
        (work_us / f64::from(slots.max(1))) as u64
    }

    fn expire(&mut self, now_us: u64) -> Vec<Event> {
        let mut expired = Vec::new();
        for (standing, queue) in &self.queues {
            for (place, waiting) in queue {
                if self.latest_start_us(waiting) < now_us {
                    expired.push((*standing, *place));
                }
            }
        }
        let refuse = |(standing, place): (Standing, Place)| {
            self.queues.get_mut(&standing).map(|queue| queue.remove(&place));
            let wait_us = self.expected_wait_us(now_us, standing, place);
            Event::Refuse { ticket: place.ticket, wait_us }
        };
        expired.into_iter().map(refuse).collect()
    }

    /// Takes the last waiting call out, if it goes behind a new one.
    fn evict_behind(&mut self, standing: Standing, place: Place) -> Option<Ticket> {
        let mut queues = self.queues.iter_mut().rev();
        let (last_standing, queue) = queues.find(|(_, queue)| !queue.is_empty())?;
        let (last_place, _) = queue.last_key_value()?;
        if (*last_standing, *last_place) < (standing, place) {
            return None;
        }
        queue.pop_last().map(|(place, _)| place.ticket)
    }

    fn grant(&mut self, now_us: u64, events: &mut Vec<Event>) {
        while let Some(standing) = self.next_standing(now_us) {
            let Some((place, _)) = self.queues.get_mut(&standing).and_then(BTreeMap::pop_first)
            else {
                return;
            };
            self.start(standing);
            events.push(Event::Admit(place.ticket));
        }
    }

    /// Returns the standing whose first waiting call takes the next free slot.
    fn next_standing(&self, now_us: u64) -> Option<Standing> {
        let floor = f64::from(self.limit_now(now_us)) * ENTRY_FLOOR_SHARE;
        let waiting =
            |standing: &Standing| self.queues.get(standing).is_some_and(|queue| !queue.is_empty());
        let entry = self.queues.keys().find(|s| !s.is_begun() && waiting(s)).copied();
        let is_entry_due = f64::from(self.running_entry) + 1.0 <= floor;
        let begun = self.queues.keys().find(|s| s.is_begun() && waiting(s)).copied();
        let next = match (begun, entry) {
            (Some(_), Some(entry)) if is_entry_due => Some(entry),
            (Some(begun), _) => Some(begun),
            (None, entry) => entry,
        };
        next.filter(|standing| self.has_slot(now_us, *standing))
    }
}

fn usable(announced: u32) -> f64 {
    (f64::from(announced) * USABLE_SHARE).floor().max(1.0)
}
