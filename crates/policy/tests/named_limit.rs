//! An upstream that names a limit of calls per second gets no more than it allows, urgent calls
//! first, whatever the load and however the limit changes.

use policy::slots::{
    CallEnd, CallPriority, Decision, Event, RefusalCause, RunningCall, SlotAdmission, SlotRequest,
    Ticket,
};

const MS: u64 = policy::US_PER_MS;
const S: u64 = policy::US_PER_S;
/// Length of the window in which calls are counted, in microseconds.
const WINDOW_US: u64 = 4 * S;
/// Service time of the calls, in microseconds.
const SERVICE_US: u64 = 90 * MS;
const URGENT: CallPriority = CallPriority::NewRequest(0);
const USUAL: CallPriority = CallPriority::NewRequest(2);
const IN_PROGRESS: CallPriority = CallPriority::InProgress(1);

/// An upstream with many slots under a load of calls that are spread evenly over each second.
struct Load {
    slot_admission: SlotAdmission,
    now_us: u64,
    next_ticket: Ticket,
    /// Calls that were sent: time and priority.
    sent: Vec<(u64, CallPriority)>,
    /// Calls that were refused: time, wait and cause.
    refused: Vec<(u64, u64, RefusalCause)>,
    priorities: Vec<CallPriority>,
    running: Vec<(u64, CallPriority)>,
}

impl Load {
    fn new() -> Self {
        Self {
            slot_admission: SlotAdmission::new(80, 0),
            now_us: 0,
            next_ticket: 0,
            sent: Vec::new(),
            refused: Vec::new(),
            priorities: Vec::new(),
            running: Vec::new(),
        }
    }

    fn set_limit(&mut self, limit_per_s: Option<f64>) {
        let events = self.slot_admission.set_named_limit(self.now_us, limit_per_s);
        self.record(events);
    }

    fn record(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Admit(ticket) => self.start(self.priorities[ticket as usize]),
                Event::Refuse { wait_us, cause, .. } => {
                    self.refused.push((self.now_us, wait_us, cause));
                }
            }
        }
    }

    fn start(&mut self, priority: CallPriority) {
        self.sent.push((self.now_us, priority));
        self.running.push((self.now_us + SERVICE_US, priority));
    }

    fn offer(&mut self, priority: CallPriority) {
        let request = SlotRequest {
            ticket: self.next_ticket,
            priority,
            sequence: self.next_ticket as u32,
            kind: 1,
            deadline_us: self.now_us + 5 * S,
            max_wait_us: 187 * MS,
        };
        self.next_ticket += 1;
        self.priorities.push(priority);
        let (decision, events) = self.slot_admission.offer(self.now_us, request);
        self.record(events);
        match decision {
            Decision::Admit => self.start(priority),
            Decision::Refuse { wait_us, cause } => self.refused.push((self.now_us, wait_us, cause)),
            Decision::Queue => {}
        }
    }

    /// Ends the calls that are done, then polls the queue.
    fn advance(&mut self) {
        let ended: Vec<_> =
            self.running.extract_if(.., |(end_us, _)| *end_us <= self.now_us).collect();
        for (_, priority) in ended {
            let call = RunningCall { priority, kind: 1 };
            let end = CallEnd::Answered { service_us: SERVICE_US };
            let events = self.slot_admission.complete(self.now_us, call, end);
            self.record(events);
        }
        let events = self.slot_admission.poll(self.now_us);
        self.record(events);
    }

    /// Runs for some time with these rates of arrivals in calls per second.
    fn run(&mut self, duration_us: u64, rates: &[(CallPriority, u64)]) {
        let end_us = self.now_us + duration_us;
        let mut due = vec![0.0; rates.len()];
        while self.now_us < end_us {
            self.now_us += MS;
            self.advance();
            for (due, (priority, per_s)) in due.iter_mut().zip(rates) {
                *due += *per_s as f64 / 1_000.0;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.offer(*priority);
                }
            }
        }
    }

    fn sent_between(&self, from_us: u64, to_us: u64) -> usize {
        self.sent.iter().filter(|(at_us, _)| (from_us..to_us).contains(at_us)).count()
    }

    fn sent_of(&self, priority: CallPriority, from_us: u64) -> usize {
        self.sent.iter().filter(|(at_us, sent)| *at_us >= from_us && *sent == priority).count()
    }

    /// Returns the highest number of calls in a window that starts at `from_us` or later.
    fn max_in_window(&self, from_us: u64) -> usize {
        let starts = self.sent.iter().map(|(at_us, _)| *at_us).filter(|at_us| *at_us >= from_us);
        starts.map(|start_us| self.sent_between(start_us, start_us + WINDOW_US)).max().unwrap_or(0)
    }
}

/// Returns the number of calls that a limit allows in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * 4.0 + 5.0) as usize
}

macro_rules! limits_under_load {
    ($($name:ident: $limit_per_s:expr, $per_s:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut load = Load::new();
                load.run(2 * S, &[(USUAL, $per_s)]);
                load.set_limit(Some($limit_per_s));
                let named_us = load.now_us;
                load.run(20 * S, &[(USUAL, $per_s)]);
                let most = load.max_in_window(named_us);
                assert!(most <= allowed($limit_per_s), "{most} of {}", allowed($limit_per_s));
                let sent = load.sent_between(named_us, load.now_us) as f64;
                let expected = f64::min($limit_per_s, $per_s as f64) * 20.0;
                assert!(sent >= 0.9 * expected - 1.0, "only {sent} of {expected} were used");
            }
        )*
    };
}

limits_under_load! {
    limit_of_the_incident: 9.6, 39;
    limit_just_below_the_load: 30.0, 39;
    limit_above_the_load: 100.0, 39;
    limit_of_one_per_second: 1.0, 39;
    limit_of_a_fraction_per_second: 0.4, 39;
    limit_in_a_surge: 9.6, 400;
    huge_limit: 1e300, 39;
}

/// Only an answer can end a limit, so some calls must still be sent.
#[test]
fn limit_of_zero_lets_a_call_through_now_and_then() {
    let mut load = Load::new();
    load.set_limit(Some(0.0));
    load.run(20 * S, &[(USUAL, 39)]);
    assert!(load.max_in_window(0) <= allowed(0.0));
    assert!(load.sent_between(8 * S, 20 * S) >= 2, "{:?}", load.sent);
}

#[test]
fn tokens_do_not_accumulate_over_an_idle_time() {
    let mut load = Load::new();
    load.set_limit(Some(10.0));
    load.run(60 * S, &[]);
    load.run(8 * S, &[(USUAL, 200)]);
    assert!(load.max_in_window(0) <= allowed(10.0));
}

#[test]
fn limit_that_comes_and_goes_is_kept_by_its_highest_value() {
    let mut load = Load::new();
    for index in 0..200 {
        load.set_limit((index % 2 == 0).then_some(10.0));
        load.set_limit(Some(if index % 3 == 0 { 6.0 } else { 10.0 }));
        load.run(50 * MS, &[(USUAL, 100)]);
    }
    let most = load.max_in_window(0);
    assert!(most <= allowed(10.0), "{most}");
}

#[test]
fn limit_that_falls_and_rises_is_followed_within_a_window() {
    let mut load = Load::new();
    for limit_per_s in [40.0, 10.0, 2.0, 20.0] {
        load.set_limit(Some(limit_per_s));
        let changed_us = load.now_us;
        load.run(8 * S, &[(USUAL, 60)]);
        let sent = load.sent_between(changed_us + WINDOW_US, changed_us + 2 * WINDOW_US);
        assert!(sent <= allowed(limit_per_s), "{sent} at {limit_per_s}");
        assert!(sent as f64 >= 0.9 * 4.0 * limit_per_s, "{sent} at {limit_per_s}");
    }
}

#[test]
fn ended_limit_lets_all_calls_through_again() {
    let mut load = Load::new();
    load.set_limit(Some(5.0));
    load.run(5 * S, &[(USUAL, 39)]);
    load.set_limit(None);
    load.run(S, &[(USUAL, 39)]);
    let ended_us = load.now_us;
    load.run(5 * S, &[(USUAL, 39)]);
    assert!(load.sent_between(ended_us, load.now_us) >= 190);
}

/// Urgent calls must not find the tokens taken by calls that came just before.
#[test]
fn urgent_calls_take_the_tokens_before_usual_ones() {
    let mut load = Load::new();
    load.set_limit(Some(10.0));
    load.run(20 * S, &[(USUAL, 60), (URGENT, 7)]);
    let urgent = load.sent_of(URGENT, 4 * S);
    let offered = 7 * 16;
    assert!(urgent * 10 >= offered * 9, "{urgent} of {offered}");
}

#[test]
fn usual_calls_keep_a_share_beside_many_urgent_ones() {
    let mut load = Load::new();
    load.set_limit(Some(20.0));
    load.run(20 * S, &[(URGENT, 60), (IN_PROGRESS, 30), (USUAL, 60)]);
    for priority in [IN_PROGRESS, URGENT, USUAL] {
        let sent = load.sent_of(priority, 4 * S);
        assert!(sent >= 16 * 20 / 10, "{priority:?}: {sent}");
    }
    assert!(load.sent_of(IN_PROGRESS, 4 * S) > load.sent_of(USUAL, 4 * S));
}

/// A caller that returns after the wait it was told must find a token.
#[test]
fn refused_call_is_told_when_there_is_a_token() {
    let mut load = Load::new();
    load.set_limit(Some(0.5));
    load.run(S, &[(USUAL, 20)]);
    let (refused_us, wait_us, cause) = *load.refused.last().expect("calls are refused");
    assert_eq!(cause, RefusalCause::NamedLimit);
    let sent = load.sent.len();
    load.run(refused_us + wait_us - load.now_us, &[]);
    load.offer(USUAL);
    assert_eq!(load.sent.len(), sent + 1, "refused for {wait_us} us at {refused_us} us");
}

/// Other nodes choose a VM by the load that it reports.
#[test]
fn reported_limit_is_what_may_be_sent_at_once() {
    let mut load = Load::new();
    let unlimited = load.slot_admission.load(load.now_us).limit;
    load.set_limit(Some(9.6));
    load.run(S, &[(USUAL, 39)]);
    let busy = load.slot_admission.load(load.now_us);
    assert!(busy.limit <= busy.in_flight + 1, "{busy:?}");
    load.run(2 * S, &[]);
    let idle = load.slot_admission.load(load.now_us);
    assert!((3..10).contains(&idle.limit), "{idle:?}");
    load.set_limit(None);
    load.run(S, &[]);
    assert_eq!(load.slot_admission.load(load.now_us).limit, unlimited);
}

/// Otherwise the queue is polled without a pause while all slots are taken.
#[test]
fn call_that_has_a_token_and_waits_for_a_slot_is_not_polled_for() {
    let mut slot_admission = SlotAdmission::new(1, 0);
    slot_admission.set_named_limit(0, Some(100.0));
    let request = |ticket| SlotRequest {
        ticket,
        priority: USUAL,
        sequence: ticket as u32,
        kind: 1,
        deadline_us: 5 * S,
        max_wait_us: 187 * MS,
    };
    assert_eq!(slot_admission.offer(0, request(1)).0, Decision::Admit);
    assert_eq!(slot_admission.offer(50 * MS, request(2)).0, Decision::Queue);
    let next_poll_us = slot_admission.next_poll_us(50 * MS);
    assert!(next_poll_us.is_some_and(|at_us| at_us > 51 * MS), "{next_poll_us:?}");
}
