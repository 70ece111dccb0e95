//! Waits for admission and holds the slot of an admitted call.

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

const POLL_SLACK: Duration = Duration::from_millis(1);

/// The admitted call, or why it is refused.
type Verdict = Result<RunningCall, Reason>;

struct Waiter {
    class: Class,
    sender: oneshot::Sender<Verdict>,
}

struct Gate {
    admission: Admission,
    waiters: HashMap<Ticket, Waiter>,
    next_ticket: Ticket,
}

impl Gate {
    /// Tells waiters their verdicts. A slot granted to a waiter that is gone goes to the next one.
    fn deliver(&mut self, now_us: u64, events: Vec<Event>) {
        let mut events = events;
        while let Some(event) = events.pop() {
            match event {
                Event::Admit(ticket) => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    let call = RunningCall { class: waiter.class, admitted_us: now_us };
                    if waiter.sender.send(Ok(call)).is_err() {
                        events.extend(self.admission.complete(now_us, call, CallSample::Ignored));
                    }
                }
                Event::Refuse(ticket, reason) => {
                    let waiter = self.waiters.remove(&ticket);
                    // A waiter that is gone needs no verdict.
                    let _ = waiter.map(|waiter| waiter.sender.send(Err(reason)));
                }
            }
        }
    }
}

/// Admission of calls to the upstream beside the node.
#[derive(Clone)]
pub(crate) struct AdmissionGate {
    clock: Clock,
    gate: Arc<Mutex<Gate>>,
}

impl AdmissionGate {
    pub(crate) fn new(clock: Clock, config: AdmissionConfig) -> Self {
        let admission = Admission::new(config, clock.now_us());
        let gate = Gate { admission, waiters: HashMap::new(), next_ticket: 0 };
        Self { clock, gate: Arc::new(Mutex::new(gate)) }
    }

    pub(crate) fn set_config(&self, config: AdmissionConfig) {
        self.lock().admission.set_config(config);
    }

    /// Starts the ramp of a new upstream process.
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
        let mut gate = self.lock();
        let events = gate.admission.refuse_all(reason);
        gate.deliver(now_us, events);
    }

    /// Waits for a slot. `arrival.ticket` is assigned here.
    pub(crate) async fn admit(&self, arrival: Arrival) -> Result<Permit, Reason> {
        let now_us = self.clock.now_us();
        let (ticket, verdict) = {
            let mut gate = self.lock();
            gate.next_ticket += 1;
            let ticket = gate.next_ticket;
            let (sender, verdict) = oneshot::channel();
            gate.waiters.insert(ticket, Waiter { class: arrival.class, sender });
            let (decision, events) = gate.admission.offer(now_us, Arrival { ticket, ..arrival });
            if decision != Decision::Queue {
                gate.waiters.remove(&ticket);
            }
            gate.deliver(now_us, events);
            match decision {
                Decision::Admit => {
                    let call = RunningCall { class: arrival.class, admitted_us: now_us };
                    return Ok(self.permit(call));
                }
                Decision::Refuse(reason) => return Err(reason),
                Decision::Queue => (ticket, verdict),
            }
        };
        let mut waiting = Waiting { gate: self.clone(), ticket, verdict, is_done: false };
        let verdict = waiting.verdict(arrival.deadline_us).await;
        waiting.is_done = true;
        verdict.map(|call| self.permit(call))
    }

    fn permit(&self, call: RunningCall) -> Permit {
        Permit { gate: self.clone(), call, started_us: call.admitted_us, is_settled: false }
    }

    fn poll(&self) {
        let now_us = self.clock.now_us();
        let mut gate = self.lock();
        let events = gate.admission.poll(now_us);
        gate.deliver(now_us, events);
    }

    fn complete(&self, call: RunningCall, sample: CallSample) {
        let now_us = self.clock.now_us();
        let mut gate = self.lock();
        let events = gate.admission.complete(now_us, call, sample);
        gate.deliver(now_us, events);
    }

    fn lock(&self) -> MutexGuard<'_, Gate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A queued call. Dropping it leaves the queue.
struct Waiting {
    gate: AdmissionGate,
    ticket: Ticket,
    verdict: oneshot::Receiver<Verdict>,
    is_done: bool,
}

impl Waiting {
    async fn verdict(&mut self, deadline_us: u64) -> Verdict {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        loop {
            let left_us = deadline_us.saturating_sub(self.gate.clock.now_us());
            let pause = POLL_INTERVAL.min(Duration::from_micros(left_us) + POLL_SLACK);
            tokio::select! {
                verdict = &mut self.verdict => return verdict.unwrap_or(Err(Reason::Overloaded)),
                () = tokio::time::sleep(pause) => self.gate.poll(),
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now_us = self.gate.clock.now_us();
        let mut gate = self.gate.lock();
        gate.waiters.remove(&self.ticket);
        let is_queued = gate.admission.cancel(self.ticket);
        if is_queued {
            return;
        }
        if let Ok(Ok(call)) = self.verdict.try_recv() {
            let events = gate.admission.complete(now_us, call, CallSample::Ignored);
            gate.deliver(now_us, events);
        }
    }
}

/// Slot of an admitted call. Dropping it frees the slot.
pub(crate) struct Permit {
    gate: AdmissionGate,
    call: RunningCall,
    started_us: u64,
    is_settled: bool,
}

impl Permit {
    /// Starts the measurement of the upstream's time.
    pub(crate) fn start(&mut self) {
        self.started_us = self.gate.clock.now_us();
    }

    /// Frees the slot after an answer.
    pub(crate) fn finish(mut self) {
        let service_us = self.gate.clock.now_us().saturating_sub(self.started_us);
        self.settle(CallSample::Success { service_us });
    }

    /// Frees the slot after the upstream refused the call.
    pub(crate) fn finish_shed(mut self) {
        self.settle(CallSample::Shed);
    }

    fn settle(&mut self, sample: CallSample) {
        self.is_settled = true;
        self.gate.complete(self.call, sample);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_settled {
            self.settle(CallSample::Ignored);
        }
    }
}
