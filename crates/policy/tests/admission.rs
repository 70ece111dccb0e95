//! Tests of admission by class, queue and limit.

use model::{Class, Reason};
use policy::admission::{Admission, AdmissionConfig, Arrival, Decision, Event, RunningCall};
use policy::limit::{CallSample, LimitConfig};
use proptest::prelude::*;

const MS: u64 = 1_000;
const SHEDDABLE_PLUS: Class = Class::SheddablePlus;
const CRITICAL_PLUS: Class = Class::CriticalPlus;

struct Upstream {
    admission: Admission,
    running: Vec<RunningCall>,
    next_ticket: u64,
}

impl Upstream {
    fn new(slots: u32) -> Self {
        let limit = LimitConfig { slots, min_limit: 1, cold_ramp_us: 0 };
        let config = AdmissionConfig { limit, max_queue_delay_us: 100 * MS, floor_percent: 5 };
        Self { admission: Admission::new(config, 0), running: Vec::new(), next_ticket: 0 }
    }

    fn offer(
        &mut self,
        now_us: u64,
        class: Class,
        admission_time_us: u64,
    ) -> (u64, Decision, Vec<Event>) {
        self.offer_until(now_us, class, admission_time_us, now_us + 2_000 * MS)
    }

    fn offer_until(
        &mut self,
        now_us: u64,
        class: Class,
        admission_time_us: u64,
        deadline_us: u64,
    ) -> (u64, Decision, Vec<Event>) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let arrival = Arrival { ticket, class, admitted_unix_us: admission_time_us, deadline_us };
        let (decision, events) = self.admission.offer(now_us, arrival);
        if decision == Decision::Admit {
            self.running.push(RunningCall { class, started_us: now_us });
        }
        (ticket, decision, events)
    }

    fn finish_one(&mut self, now_us: u64, service_us: u64) -> Vec<Event> {
        let call = self.running.remove(0);
        self.admission.complete(now_us, call, CallSample::Success { service_us })
    }
}

/// Queues calls with these classes and admission times at a full upstream and checks the order in
/// which they are granted a slot. `expected` holds indices into `arrivals`.
fn check_order(arrivals: &[(Class, u64)], expected: &[u64]) {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, SHEDDABLE_PLUS, 0);
    let tickets: Vec<u64> = arrivals
        .iter()
        .map(|(class, admission_time_us)| upstream.offer(1, *class, *admission_time_us).0)
        .collect();
    let mut granted = Vec::new();
    for _ in arrivals {
        let events = upstream.finish_one(2, 1);
        for event in events {
            if let Event::Admit(ticket) = event {
                let position = tickets.iter().position(|t| *t == ticket).expect("known");
                granted.push(position as u64);
                let class = arrivals[position].0;
                upstream.running.push(RunningCall { class, started_us: 2 });
            }
        }
    }
    assert_eq!(granted, expected);
}

macro_rules! order_cases {
    ($($name:ident: $arrivals:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            check_order(&$arrivals, &$expected);
        })*
    };
}

order_cases! {
    higher_class_is_granted_first:
        [(SHEDDABLE_PLUS, 1), (CRITICAL_PLUS, 2), (SHEDDABLE_PLUS, 3)] => [1, 0, 2];
    earlier_admission_time_is_granted_first:
        [(SHEDDABLE_PLUS, 9), (SHEDDABLE_PLUS, 3), (SHEDDABLE_PLUS, 5)] => [1, 2, 0];
    class_takes_precedence_over_admission_time:
        [(Class::Critical, 1), (CRITICAL_PLUS, 9)] => [1, 0];
}

#[test]
fn higher_class_preempts_lower_class_in_full_queue() {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, SHEDDABLE_PLUS, 0);
    let mut queued = 0;
    while upstream.offer(1, SHEDDABLE_PLUS, queued).1 == Decision::Queue {
        queued += 1;
    }
    let (_, decision, events) = upstream.offer(1, CRITICAL_PLUS, 99);
    assert_eq!(decision, Decision::Queue);
    assert!(matches!(events[..], [Event::Refuse(_, Reason::Preempted)]), "{events:?}");
}

#[test]
fn lower_class_is_refused_after_max_queue_delay() {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, CRITICAL_PLUS, 0);
    let (sheddable, ..) = upstream.offer(0, SHEDDABLE_PLUS, 0);
    let (critical, ..) = upstream.offer(0, CRITICAL_PLUS, 0);
    let events = upstream.admission.poll(150 * MS);
    assert_eq!(events, vec![Event::Refuse(sheddable, Reason::Overloaded)]);
    let events = upstream.finish_one(200 * MS, 200 * MS);
    assert_eq!(events, vec![Event::Admit(critical)]);
}

#[test]
fn call_that_would_miss_its_deadline_is_refused_on_arrival() {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, CRITICAL_PLUS, 0);
    upstream.finish_one(500 * MS, 500 * MS);
    upstream.offer(500 * MS, CRITICAL_PLUS, 0);
    let (_, decision, _) = upstream.offer_until(500 * MS, CRITICAL_PLUS, 0, 900 * MS);
    assert_eq!(decision, Decision::Refuse(Reason::Overloaded));
}

#[test]
fn slowdown_is_detected_from_age_of_running_calls() {
    let mut upstream = Upstream::new(2);
    upstream.offer(0, SHEDDABLE_PLUS, 0);
    upstream.finish_one(MS, MS);
    upstream.offer(MS, SHEDDABLE_PLUS, 0);
    upstream.offer(MS, SHEDDABLE_PLUS, 0);
    let (_, decision, _) = upstream.offer_until(900 * MS, CRITICAL_PLUS, 0, 1_500 * MS);
    assert_eq!(decision, Decision::Refuse(Reason::Overloaded));
}

#[test]
fn free_slot_is_granted_regardless_of_estimated_service_time() {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, SHEDDABLE_PLUS, 0);
    upstream.finish_one(5_000 * MS, 5_000 * MS);
    let (_, decision, _) = upstream.offer(5_000 * MS, SHEDDABLE_PLUS, 0);
    assert_eq!(decision, Decision::Admit);
}

#[test]
fn slots_are_reserved_for_critical_calls() {
    let mut upstream = Upstream::new(40);
    let mut now_us = 0;
    // Twenty critical calls per second of 500 ms each need ten slots.
    for _ in 0..200 {
        now_us += 50 * MS;
        if upstream.offer(now_us, CRITICAL_PLUS, now_us).1 == Decision::Admit
            && upstream.running.len() > 10
        {
            upstream.finish_one(now_us, 500 * MS);
        }
    }
    let mut lower = 0;
    while upstream.offer(now_us, SHEDDABLE_PLUS, now_us).1 == Decision::Admit {
        lower += 1;
    }
    assert!((25..=35).contains(&lower), "{lower} lower-class calls admitted beside critical ones");
    let (_, decision, _) = upstream.offer(now_us, CRITICAL_PLUS, now_us);
    assert_ne!(decision, Decision::Refuse(Reason::Overloaded));
}

#[test]
fn floor_grants_lower_class_under_critical_load() {
    let mut upstream = Upstream::new(1);
    upstream.offer(0, CRITICAL_PLUS, 0);
    let mut granted_sheddable_calls = 0;
    for round in 1..=100u64 {
        let now_us = round * MS;
        let (sheddable, ..) = upstream.offer(now_us, SHEDDABLE_PLUS, round);
        let (critical, ..) = upstream.offer(now_us, CRITICAL_PLUS, round);
        for event in upstream.finish_one(now_us, MS) {
            match event {
                Event::Admit(ticket) if ticket == critical => {}
                Event::Admit(_) => granted_sheddable_calls += 1,
                Event::Refuse(..) => {}
            }
            let class =
                if event == Event::Admit(sheddable) { SHEDDABLE_PLUS } else { CRITICAL_PLUS };
            if matches!(event, Event::Admit(_)) {
                upstream.running.push(RunningCall { class, started_us: now_us });
            }
        }
        if upstream.running.is_empty() {
            break;
        }
    }
    assert!(granted_sheddable_calls > 0, "no sheddable call was granted a slot");
}

#[test]
fn limit_falls_on_refusals_and_recovers_on_successes() {
    let mut upstream = Upstream::new(40);
    for round in 1..=10u64 {
        let now_us = round * 100 * MS;
        upstream.offer(now_us, SHEDDABLE_PLUS, 0);
        let call = upstream.running.remove(0);
        upstream.admission.complete(now_us, call, CallSample::Shed);
    }
    let reduced_limit = upstream.admission.load(1_000 * MS).limit;
    assert!(reduced_limit <= 10, "{reduced_limit}");
    for round in 0..400u64 {
        let now_us = 1_000 * MS + round * MS;
        upstream.offer(now_us, SHEDDABLE_PLUS, 0);
        upstream.finish_one(now_us, MS);
    }
    assert_eq!(upstream.admission.load(2_000 * MS).limit, 40);
}

proptest! {
    /// For any sequence of arrivals and completions, the number of running calls stays within the
    /// limit, and each queued call is counted as queued until it gets its only result.
    #[test]
    fn running_calls_stay_within_limit(
        steps in prop::collection::vec((0u8..4, 0usize..4, 0u64..50), 1..300),
        slots in 1u32..10,
    ) {
        let mut upstream = Upstream::new(slots);
        let mut queued_classes = std::collections::HashMap::new();
        let mut now_us = 0;
        for (action, class, pause_ms) in steps {
            now_us += pause_ms * MS;
            let events = match action {
                0 if !upstream.running.is_empty() => upstream.finish_one(now_us, 20 * MS),
                1 => upstream.admission.poll(now_us),
                _ => {
                    let class = Class::ALL[class];
                    let (ticket, decision, events) = upstream.offer(now_us, class, now_us);
                    if decision == Decision::Queue {
                        queued_classes.insert(ticket, class);
                    }
                    events
                }
            };
            for event in events {
                let ticket = match event {
                    Event::Admit(ticket) | Event::Refuse(ticket, _) => ticket,
                };
                let class = queued_classes.remove(&ticket);
                prop_assert!(class.is_some(), "second result for call {}", ticket);
                if let (Event::Admit(_), Some(class)) = (event, class) {
                    upstream.running.push(RunningCall { class, started_us: now_us });
                }
            }
            let load = upstream.admission.load(now_us);
            prop_assert_eq!(load.in_flight as usize, upstream.running.len());
            prop_assert!(load.in_flight <= slots);
            prop_assert_eq!(load.queued as usize, queued_classes.len());
        }
    }
}
