//! Waits for a slot of the upstream and holds it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use policy::slots::{Applicant, CallEnd, Decision, Event, Running, SlotLoad, Slots, Ticket};
use tokio::sync::{Notify, oneshot};

/// Longest pause between two looks at the queue: bounds how late a waiting call is refused.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// A slot that was granted, or the expected wait of a refusal.
type Verdict = Result<Running, Duration>;

struct Waiter {
    running: Running,
    sender: oneshot::Sender<Verdict>,
}

struct State {
    slots: Slots,
    waiters: HashMap<Ticket, Waiter>,
    next_ticket: Ticket,
}

impl State {
    /// Tells waiters their verdicts. A slot granted to a waiter that is gone goes to the next one.
    fn deliver(&mut self, now_us: u64, mut events: Vec<Event>) {
        while let Some(event) = events.pop() {
            match event {
                Event::Admit(ticket) => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    if waiter.sender.send(Ok(waiter.running)).is_err() {
                        let more = self.slots.complete(now_us, waiter.running, CallEnd::Other);
                        events.extend(more);
                    }
                }
                Event::Refuse { ticket, wait_us } => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    // A waiter that is gone needs no verdict.
                    let _ = waiter.sender.send(Err(Duration::from_micros(wait_us)));
                }
            }
        }
    }
}

/// Admission of calls to the upstream beside the node.
#[derive(Clone)]
pub(crate) struct Gate {
    clock: Clock,
    state: Arc<Mutex<State>>,
    queued: Arc<Notify>,
}

impl Gate {
    pub(crate) fn new(clock: Clock) -> Self {
        let slots = Slots::new(0, clock.now_us());
        let state = State { slots, waiters: HashMap::new(), next_ticket: 0 };
        Self { clock, state: Arc::new(Mutex::new(state)), queued: Arc::default() }
    }

    /// Takes the slots that the upstream announces.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.lock().slots.set_announced(slots);
    }

    pub(crate) fn load(&self) -> SlotLoad {
        let now_us = self.clock.now_us();
        self.lock().slots.load(now_us)
    }

    /// Refuses every waiting call.
    pub(crate) fn refuse_all(&self) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.slots.refuse_all();
        state.deliver(now_us, events);
    }

    /// Waits for a slot. `applicant.ticket` is assigned here.
    ///
    /// # Errors
    ///
    /// Returns the expected wait if the call is refused.
    pub(crate) async fn admit(&self, applicant: Applicant) -> Result<Permit, Duration> {
        let now_us = self.clock.now_us();
        let running = Running { standing: applicant.standing, kind: applicant.kind };
        let (ticket, verdict) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            let (decision, events) = state.slots.offer(now_us, Applicant { ticket, ..applicant });
            state.deliver(now_us, events);
            match decision {
                Decision::Admit => return Ok(self.permit(running)),
                Decision::Refuse { wait_us } => return Err(Duration::from_micros(wait_us)),
                Decision::Queue => {
                    let (sender, verdict) = oneshot::channel();
                    state.waiters.insert(ticket, Waiter { running, sender });
                    (ticket, verdict)
                }
            }
        };
        self.queued.notify_one();
        let mut waiting = Waiting { gate: self.clone(), ticket, verdict, is_done: false };
        let verdict = (&mut waiting.verdict).await;
        waiting.is_done = true;
        verdict.unwrap_or(Err(Duration::ZERO)).map(|running| self.permit(running))
    }

    /// Refuses waiting calls in time. Never returns.
    pub(crate) async fn keep_time(&self) {
        loop {
            let now_us = self.clock.now_us();
            let next_us = {
                let mut state = self.lock();
                let events = state.slots.poll(now_us);
                state.deliver(now_us, events);
                state.slots.next_expiry_us()
            };
            match next_us {
                None => self.queued.notified().await,
                Some(at_us) => {
                    let pause = Duration::from_micros(at_us.saturating_sub(now_us) + 1);
                    tokio::time::sleep(pause.min(MAX_PAUSE)).await;
                }
            }
        }
    }

    fn permit(&self, running: Running) -> Permit {
        let started_us = self.clock.now_us();
        Permit { gate: self.clone(), running, started_us, is_settled: false }
    }

    fn complete(&self, running: Running, end: CallEnd) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.slots.complete(now_us, running, end);
        state.deliver(now_us, events);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued call. Dropping it leaves the queue.
struct Waiting {
    gate: Gate,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    is_done: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now_us = self.gate.clock.now_us();
        let mut state = self.gate.lock();
        state.waiters.remove(&self.ticket);
        if state.slots.cancel(self.ticket) {
            return;
        }
        if let Ok(Ok(running)) = self.verdict.try_recv() {
            let events = state.slots.complete(now_us, running, CallEnd::Other);
            state.deliver(now_us, events);
        }
    }
}

/// Slot of an admitted call. Dropping it frees the slot.
pub(crate) struct Permit {
    gate: Gate,
    running: Running,
    started_us: u64,
    is_settled: bool,
}

impl Permit {
    /// Frees the slot after an answer.
    pub(crate) fn finish(mut self) {
        let service_us = self.gate.clock.now_us().saturating_sub(self.started_us);
        self.settle(CallEnd::Answered { service_us });
    }

    /// Frees the slot after the upstream refused the call for want of room.
    pub(crate) fn finish_full(mut self) {
        self.settle(CallEnd::Full);
    }

    fn settle(&mut self, end: CallEnd) {
        self.is_settled = true;
        self.gate.complete(self.running, end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_settled {
            self.settle(CallEnd::Other);
        }
    }
}
