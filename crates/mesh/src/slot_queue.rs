//! Queue of calls that wait for a concurrency slot of the local upstream.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daemon::Clock;
use policy::reported_load::ReportedLoad;
use policy::slots::{
    CallEnd, Decision, Event, RefusalCause, RunningCall, SlotAdmission, SlotLoad, SlotRequest,
    Ticket,
};
use policy::vm_rates::{RateMeter, VmRates};
use tokio::sync::{Notify, oneshot};

/// Maximum interval between two checks for expired calls; bounds how late a queued call is refused.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Refusal of a call that could not start in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// Expected wait until the call could have started.
    pub(crate) wait: Duration,
    pub(crate) cause: RefusalCause,
}

impl Refusal {
    fn new(wait_us: u64, cause: RefusalCause) -> Self {
        Self { wait: Duration::from_micros(wait_us), cause }
    }
}

/// The admitted call, or its refusal.
type AdmissionResult = Result<RunningCall, Refusal>;

/// A queued call and the channel that receives its admission result.
struct Waiter {
    call: RunningCall,
    sender: oneshot::Sender<AdmissionResult>,
}

/// Admission controller for the upstream's slots, and the calls that wait for a slot.
struct State {
    slot_admission: SlotAdmission,
    /// `None` if no node uses the rates.
    rate_meter: Option<RateMeter>,
    waiters: HashMap<Ticket, Waiter>,
    next_ticket: Ticket,
}

impl State {
    /// Releases the slot of a call and returns the results for queued calls.
    fn complete(&mut self, now_us: u64, call: RunningCall, end: CallEnd) -> Vec<Event> {
        self.record_end(now_us);
        self.slot_admission.complete(now_us, call, end)
    }

    fn record_end(&mut self, now_us: u64) {
        if let Some(rate_meter) = &mut self.rate_meter {
            rate_meter.record_end(now_us);
        }
    }

    /// Sends admission results to queued calls. A slot granted to a cancelled call is passed on to
    /// the next one.
    fn notify_waiters(&mut self, now_us: u64, mut events: Vec<Event>) {
        while let Some(event) = events.pop() {
            match event {
                Event::Admit(ticket) => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    if waiter.sender.send(Ok(waiter.call)).is_err() {
                        let further_events = self.complete(now_us, waiter.call, CallEnd::Other);
                        events.extend(further_events);
                    }
                }
                Event::Refuse { ticket, wait_us, cause } => {
                    let Some(waiter) = self.waiters.remove(&ticket) else { continue };
                    self.record_end(now_us);
                    // Sending fails if the call was cancelled, which needs no result.
                    let _ = waiter.sender.send(Err(Refusal::new(wait_us, cause)));
                }
            }
        }
    }
}

/// Admission control of calls to the local upstream.
#[derive(Clone)]
pub(crate) struct SlotQueue {
    clock: Clock,
    state: Arc<Mutex<State>>,
    call_queued: Arc<Notify>,
}

impl SlotQueue {
    pub(crate) fn new(clock: Clock) -> Self {
        let now_us = clock.now_us();
        let state = State {
            slot_admission: SlotAdmission::new(0, now_us),
            rate_meter: None,
            waiters: HashMap::new(),
            next_ticket: 0,
        };
        Self { clock, state: Arc::new(Mutex::new(state)), call_queued: Arc::default() }
    }

    /// Makes the queue measure the rates of the upstream, which nodes use that balance by an estimate
    /// of the load.
    pub(crate) fn with_rates(self) -> Self {
        self.lock().rate_meter = Some(RateMeter::new(self.clock.now_us()));
        self
    }

    /// Sets the number of slots that the upstream reports.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.lock().slot_admission.set_announced_slots(slots);
    }

    /// Sets the rate that the upstream names, in calls per second, `None` for no limit.
    pub(crate) fn set_named_limit(&self, limit_per_s: Option<f64>) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.slot_admission.set_named_limit(now_us, limit_per_s);
        state.notify_waiters(now_us, events);
    }

    /// Records the load that the upstream reports with an answer. Returns whether the limit was
    /// learned from refusals until then.
    pub(crate) fn record_reported_load(&self, load: ReportedLoad) -> bool {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if let (Some(factor), Some(rate_meter)) = (load.slowdown(), &mut state.rate_meter) {
            rate_meter.record_slowdown(now_us, factor);
        }
        let was_learned = !state.slot_admission.is_limit_reported(now_us);
        let events = state.slot_admission.record_reported_load(now_us, load);
        state.notify_waiters(now_us, events);
        was_learned
    }

    /// Removes what a process that has been replaced has said.
    pub(crate) fn forget_upstream(&self) {
        self.lock().slot_admission.forget_upstream();
    }

    pub(crate) fn load(&self) -> SlotLoad {
        let now_us = self.clock.now_us();
        self.lock().slot_admission.load(now_us)
    }

    /// Returns the load and, if they are measured, the rates of the upstream for other nodes.
    pub(crate) fn load_and_rates(&self) -> (SlotLoad, Option<VmRates>) {
        let now_us = self.clock.now_us();
        let state = self.lock();
        let rates = state.rate_meter.as_ref().map(|rate_meter| rate_meter.rates(now_us));
        (state.slot_admission.load(now_us), rates)
    }

    /// Refuses all queued calls.
    pub(crate) fn refuse_all(&self) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        let events = state.slot_admission.refuse_all();
        state.notify_waiters(now_us, events);
    }

    /// Waits for a slot. Assigns `request.ticket`, whose value on entry is ignored.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the call cannot start in time.
    pub(crate) async fn admit(&self, request: SlotRequest) -> Result<Permit, Refusal> {
        let now_us = self.clock.now_us();
        let call = RunningCall { priority: request.priority, kind: request.kind };
        let (ticket, result) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = state.next_ticket;
            let (decision, events) =
                state.slot_admission.offer(now_us, SlotRequest { ticket, ..request });
            state.notify_waiters(now_us, events);
            let is_refused = matches!(decision, Decision::Refuse { .. });
            if let Some(rate_meter) = state.rate_meter.as_mut().filter(|_| !is_refused) {
                rate_meter.record_arrival(now_us);
            }
            match decision {
                Decision::Admit => return Ok(self.permit(call)),
                Decision::Refuse { wait_us, cause } => {
                    return Err(Refusal::new(wait_us, cause));
                }
                Decision::Queue => {
                    let (sender, result) = oneshot::channel();
                    state.waiters.insert(ticket, Waiter { call, sender });
                    (ticket, result)
                }
            }
        };
        self.call_queued.notify_one();
        let mut queued_call =
            QueuedCall { slot_queue: self.clone(), ticket, result, is_done: false };
        let result = (&mut queued_call.result).await;
        queued_call.is_done = true;
        let result = result.unwrap_or(Err(Refusal::new(0, RefusalCause::Slots)));
        result.map(|call| self.permit(call))
    }

    /// Refuses queued calls as they expire and admits others if slots have become free. Never
    /// returns.
    pub(crate) async fn expire_queued_calls(&self) {
        loop {
            let now_us = self.clock.now_us();
            let next_poll_us = {
                let mut state = self.lock();
                let events = state.slot_admission.poll(now_us);
                state.notify_waiters(now_us, events);
                state.slot_admission.next_poll_us(now_us)
            };
            match next_poll_us {
                None => self.call_queued.notified().await,
                Some(poll_us) => {
                    let delay = Duration::from_micros(poll_us.saturating_sub(now_us) + 1);
                    tokio::time::sleep(delay.min(MAX_POLL_INTERVAL)).await;
                }
            }
        }
    }

    fn permit(&self, call: RunningCall) -> Permit {
        let started_us = self.clock.now_us();
        Permit { slot_queue: self.clone(), call, started_us, is_released: false }
    }

    /// Releases the slot of a call. `succeeded_us` is the service time of a call that succeeded.
    fn complete(&self, call: RunningCall, end: CallEnd, succeeded_us: Option<u64>) {
        let now_us = self.clock.now_us();
        let mut state = self.lock();
        if let (Some(service_us), Some(rate_meter)) = (succeeded_us, &mut state.rate_meter) {
            rate_meter.record_service_time(now_us, service_us);
        }
        let events = state.complete(now_us, call, end);
        state.notify_waiters(now_us, events);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call in the queue. Dropping it removes the call from the queue.
struct QueuedCall {
    slot_queue: SlotQueue,
    ticket: Ticket,
    result: oneshot::Receiver<AdmissionResult>,
    is_done: bool,
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now_us = self.slot_queue.clock.now_us();
        let mut state = self.slot_queue.lock();
        state.waiters.remove(&self.ticket);
        if state.slot_admission.cancel(self.ticket) {
            state.record_end(now_us);
            return;
        }
        if let Ok(Ok(call)) = self.result.try_recv() {
            let events = state.complete(now_us, call, CallEnd::Other);
            state.notify_waiters(now_us, events);
        }
    }
}

/// Slot held by an admitted call. Dropping it releases the slot.
pub(crate) struct Permit {
    slot_queue: SlotQueue,
    call: RunningCall,
    started_us: u64,
    is_released: bool,
}

impl Permit {
    /// Releases the slot after a response and records the service time.
    pub(crate) fn finish_answered(mut self) {
        let service_us = self.service_us();
        self.release(CallEnd::Answered { service_us }, Some(service_us));
    }

    /// Releases the slot after a response that reports an error. The rates that nodes balance by do
    /// not include its service time, since an upstream that fails at once is not a fast one.
    pub(crate) fn finish_failed(mut self) {
        let service_us = self.service_us();
        self.release(CallEnd::Answered { service_us }, None);
    }

    /// Releases the slot after the upstream refused the call because it was at capacity.
    pub(crate) fn finish_at_capacity(mut self) {
        self.release(CallEnd::AtCapacity, None);
    }

    fn service_us(&self) -> u64 {
        self.slot_queue.clock.now_us().saturating_sub(self.started_us)
    }

    fn release(&mut self, end: CallEnd, succeeded_us: Option<u64>) {
        self.is_released = true;
        self.slot_queue.complete(self.call, end, succeeded_us);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_released {
            self.release(CallEnd::Other, None);
        }
    }
}
