//! Queues calls until the admission controller grants them a slot, and frees the slot afterwards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use model::{Class, Reason};
use policy::admission::{
    Admission, AdmissionConfig, AdmissionLoad, Arrival, Decision, Event, RunningCall, Ticket,
};
use policy::limit::CallSample;
use tokio::sync::oneshot;

/// Added to the time until a deadline, so that the poll takes place after the deadline.
const DEADLINE_POLL_SLACK: Duration = Duration::from_millis(1);

/// The admitted call, or the reason for its refusal.
type AdmissionResult = Result<RunningCall, Reason>;

struct Waiter {
    class: Class,
    sender: oneshot::Sender<AdmissionResult>,
}

struct GateState {
    admission: Admission,
    waiters: HashMap<Ticket, Waiter>,
    next_ticket: Ticket,
}

impl GateState {
    /// Sends each waiter its result. A slot whose waiter no longer exists is granted to the next.
    fn handle_events(&mut self, now_us: u64, events: Vec<Event>) {
        let mut events = events;
        while let Some(event) = events.pop() {
            match event {
                Event::Admit(ticket) => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    let call = RunningCall { class: waiter.class, started_us: now_us };
                    if waiter.sender.send(Ok(call)).is_err() {
                        events.extend(self.admission.complete(now_us, call, CallSample::Ignored));
                    }
                }
                Event::Refuse(ticket, reason) => {
                    let waiter = self.waiters.remove(&ticket);
                    // The receiver may have been dropped.
                    let _ = waiter.map(|waiter| waiter.sender.send(Err(reason)));
                }
            }
        }
    }
}

/// Admission of calls to the local upstream.
#[derive(Clone)]
pub(crate) struct AdmissionGate {
    clock: Clock,
    state: Arc<Mutex<GateState>>,
}

impl AdmissionGate {
    pub(crate) fn new(clock: Clock, config: AdmissionConfig) -> Self {
        let admission = Admission::new(config, clock.now_us());
        let state = GateState { admission, waiters: HashMap::new(), next_ticket: 0 };
        Self { clock, state: Arc::new(Mutex::new(state)) }
    }

    pub(crate) fn set_config(&self, config: AdmissionConfig) {
        self.lock().admission.set_config(config);
    }

    /// Restarts the ramp of the limit, for a new upstream process.
    pub(crate) fn restart(&self) {
        let now_us = self.clock.now_us();
        self.lock().admission.restart(now_us);
    }

    pub(crate) fn load(&self) -> AdmissionLoad {
        let now_us = self.clock.now_us();
        self.lock().admission.load(now_us)
    }

    /// Refuses every waiting call.
    pub(crate) fn refuse_all(&self, reason: Reason) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.admission.refuse_all(reason);
        state.handle_events(now_us, events);
    }

    /// Waits for a slot. Overwrites `arrival.ticket` with a new ticket.
    pub(crate) async fn admit(&self, arrival: Arrival) -> Result<Permit, Reason> {
        let now_us = self.clock.now_us();
        let (ticket, receiver) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            let (sender, receiver) = oneshot::channel();
            state.waiters.insert(ticket, Waiter { class: arrival.class, sender });
            let (decision, events) = state.admission.offer(now_us, Arrival { ticket, ..arrival });
            if decision != Decision::Queue {
                state.waiters.remove(&ticket);
            }
            state.handle_events(now_us, events);
            match decision {
                Decision::Admit => {
                    let call = RunningCall { class: arrival.class, started_us: now_us };
                    return Ok(self.permit(call));
                }
                Decision::Refuse(reason) => return Err(reason),
                Decision::Queue => (ticket, receiver),
            }
        };
        let mut queued_call =
            QueuedCall { gate: self.clone(), ticket, receiver, is_resolved: false };
        let result = queued_call.wait(arrival.deadline_us).await;
        queued_call.is_resolved = true;
        result.map(|call| self.permit(call))
    }

    fn permit(&self, call: RunningCall) -> Permit {
        Permit { gate: self.clone(), call, started_us: call.started_us, is_completed: false }
    }

    fn poll(&self) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.admission.poll(now_us);
        state.handle_events(now_us, events);
    }

    fn complete(&self, call: RunningCall, sample: CallSample) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.admission.complete(now_us, call, sample);
        state.handle_events(now_us, events);
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued call. Dropping it removes the call from the queue.
struct QueuedCall {
    gate: AdmissionGate,
    ticket: Ticket,
    receiver: oneshot::Receiver<AdmissionResult>,
    is_resolved: bool,
}

impl QueuedCall {
    async fn wait(&mut self, deadline_us: u64) -> AdmissionResult {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        loop {
            let remaining_us = deadline_us.saturating_sub(self.gate.clock.now_us());
            let pause =
                POLL_INTERVAL.min(Duration::from_micros(remaining_us) + DEADLINE_POLL_SLACK);
            tokio::select! {
                result = &mut self.receiver => return result.unwrap_or(Err(Reason::Overloaded)),
                () = tokio::time::sleep(pause) => self.gate.poll(),
            }
        }
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let now_us = self.gate.clock.now_us();
        let mut state = self.gate.lock();
        state.waiters.remove(&self.ticket);
        let is_queued = state.admission.cancel(self.ticket);
        if is_queued {
            return;
        }
        if let Ok(Ok(call)) = self.receiver.try_recv() {
            let events = state.admission.complete(now_us, call, CallSample::Ignored);
            state.handle_events(now_us, events);
        }
    }
}

/// Slot of an admitted call. Dropping it frees the slot.
pub(crate) struct Permit {
    gate: AdmissionGate,
    call: RunningCall,
    started_us: u64,
    is_completed: bool,
}

impl Permit {
    /// Starts the measurement of the service time.
    pub(crate) fn start(&mut self) {
        self.started_us = self.gate.clock.now_us();
    }

    /// Frees the slot and records the service time of an answered call.
    pub(crate) fn finish(mut self) {
        let service_us = self.gate.clock.now_us().saturating_sub(self.started_us);
        self.complete(CallSample::Success { service_us });
    }

    /// Frees the slot and records that the upstream refused the call.
    pub(crate) fn finish_shed(mut self) {
        self.complete(CallSample::Shed);
    }

    fn complete(&mut self, sample: CallSample) {
        self.is_completed = true;
        self.gate.complete(self.call, sample);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_completed {
            self.complete(CallSample::Ignored);
        }
    }
}
