//! Instances leave, and right after the acknowledgement their nodes and a replica are killed.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{self, Deployment, SIGKILL, SIGTERM};
use crate::http;
use crate::instance::{Arrival, Instance};
use crate::record::Record;

const SERVICES: [&str; 21] = [
    "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer",
    "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer",
    "desk", "desk", "desk",
];
/// Service whose instances leave; the clients call it.
const LEAVING_SERVICE: &str = "viewer";
const MAX_LEAVERS: usize = 2;
/// Times that instances leave and processes are killed, unless the rule is broken before.
const ROUNDS: u32 = 3;
const DRAIN: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which an instance goes on serving after the acknowledgement of its leave.
const LINGER: Duration = Duration::from_secs(10);
/// Times from the kill to the start of the nodes and of the replica.
const NODE_DOWN: Duration = Duration::from_millis(500);
const REPLICA_DOWN: Duration = Duration::from_millis(900);

pub fn run(
    root: &Path,
    folder: &Path,
    record: &Record,
    has_trouble: bool,
) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(root, folder, 3, &SERVICES)?;
    let mut instances = Vec::new();
    for (index, machine) in deployment.machines.iter().enumerate() {
        instances.push(Instance::start(
            &format!("i-{index:08x}"),
            machine.service,
            machine.zone,
            machine.instance(),
            machine.upstream_listener(),
            Duration::from_millis(90),
        )?);
    }
    deployment.put_configuration(0, &deployment::configuration(1, &["viewer", "desk"], 6_000))?;
    deployment.wait_until_ready()?;
    // Traffic starts 8 s after the machines.
    thread::sleep(Duration::from_secs(8));
    let traffic = Traffic::start(&deployment);
    thread::sleep(Duration::from_secs(5));

    let mut outcome = Outcome::Held;
    for round in 1..=ROUNDS {
        record.line(&format!("round {round}"));
        outcome = play_round(&mut deployment, &instances, record, has_trouble)?;
        if matches!(outcome, Outcome::Broken) {
            break;
        }
    }
    let (sent, answered) = traffic.stop();
    record.line(&format!("requests sent: {sent}, answered 200: {answered}"));
    Ok(outcome)
}

/// Lets two instances leave, kills their nodes and a replica, and checks what reaches them.
fn play_round(
    deployment: &mut Deployment,
    instances: &[Arc<Instance>],
    record: &Record,
    has_trouble: bool,
) -> Result<Outcome, String> {
    let (replica, leavers) = choose_leavers(deployment)?;
    for index in &leavers {
        deployment.machines[*index].has_left = true;
    }
    let leaves: Vec<_> = leavers
        .iter()
        .map(|index| {
            let instance = Arc::clone(&instances[*index]);
            instance.stop_reporting();
            thread::spawn(move || (instance.send_leave(), Instant::now()))
        })
        .collect();
    let mut acknowledged = Vec::new();
    for (leave, index) in leaves.into_iter().zip(&leavers) {
        let (answer, at) = leave.join().map_err(|_| "a leaving instance panicked")?;
        if answer != Ok(200) {
            return Err(format!("the leave was not acknowledged: {answer:?}"));
        }
        record.line_at(at, &format!("leave of {} answered 200", instances[*index].id));
        acknowledged.push(at);
    }
    let mut calm_from = acknowledged[0];
    if has_trouble {
        for index in &leavers {
            deployment.signal_node(*index, SIGKILL);
        }
        deployment.signal_control(replica, SIGKILL);
        let names: Vec<_> =
            leavers.iter().map(|index| deployment.machines[*index].name.clone()).collect();
        record.line(&format!("SIGKILL to the nodes of {} and to a replica", names.join(", ")));
        for index in &leavers {
            deployment.kill_node(*index);
        }
        deployment.kill_control(replica);
        thread::sleep(NODE_DOWN);
        for index in &leavers {
            deployment.start_node(*index)?;
        }
        record.line("the nodes are started again");
        thread::sleep(REPLICA_DOWN - NODE_DOWN);
        deployment.start_control(replica, false)?;
        calm_from = Instant::now() + STABILITY_WINDOW;
        record.line("the replica is started again");
    }
    thread::sleep(LINGER - REPLICA_DOWN);
    let checked_until = Instant::now();
    // Their machines are removed with the instances.
    for index in &leavers {
        deployment.signal_node(*index, SIGTERM);
    }
    thread::sleep(Duration::from_secs(1));

    let mut counted = 0;
    let mut uncounted = 0;
    for (index, acknowledged) in leavers.iter().zip(acknowledged) {
        let instance = &instances[*index];
        for arrival in instance.arrivals() {
            if arrival.at <= acknowledged + DRAIN || arrival.at > checked_until {
                continue;
            }
            match arrival.at > calm_from {
                true => counted += 1,
                false => uncounted += 1,
            }
            let Arrival { request_id, caller, .. } = &arrival;
            let text = format!("{} ran {request_id} of {caller}", instance.id);
            record.line_at(arrival.at, &text);
        }
    }
    record.line(&format!(
        "requests at an instance later than drain_ms after its acknowledgement: {counted} with all \
         machines in touch, {uncounted} before"
    ));
    Ok(if counted == 0 { Outcome::Held } else { Outcome::Broken })
}

/// Returns a replica and the machines of the leaving service whose nodes are attached to it.
fn choose_leavers(deployment: &Deployment) -> Result<(usize, Vec<usize>), String> {
    let attached = |replica| {
        let machines = deployment.machines.iter().enumerate();
        let leaving = machines.filter(|(_, machine)| machine.service == LEAVING_SERVICE);
        let indices = leaving.map(|(index, _)| index);
        let indices = indices.filter(|index| !deployment.machines[*index].has_left);
        let on_replica =
            indices.filter(|index| deployment.attached_replica(*index) == Some(replica));
        on_replica.take(MAX_LEAVERS).collect::<Vec<_>>()
    };
    let choices = (0..3).map(|replica| (replica, attached(replica)));
    let most = choices.max_by_key(|(_, leavers)| leavers.len());
    most.filter(|(_, leavers)| !leavers.is_empty()).ok_or("no node is attached".to_owned())
}

/// Clients of all machines, each of which sends one request after the other.
pub struct Traffic {
    is_stopping: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    answered: Arc<AtomicU64>,
    threads: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Traffic {
    pub fn start(deployment: &Deployment) -> Self {
        let traffic = Self {
            is_stopping: Arc::default(),
            sent: Arc::default(),
            answered: Arc::default(),
            threads: Mutex::default(),
        };
        let calling = deployment.machines.iter().filter(|at| at.service != LEAVING_SERVICE);
        for (machine, at) in calling.enumerate() {
            for client in 0..4 {
                let address = at.outbound();
                let (is_stopping, sent, answered) = (
                    Arc::clone(&traffic.is_stopping),
                    Arc::clone(&traffic.sent),
                    Arc::clone(&traffic.answered),
                );
                let thread = thread::spawn(move || {
                    let mut number = 0;
                    while !is_stopping.load(Ordering::SeqCst) {
                        number += 1;
                        sent.fetch_add(1, Ordering::SeqCst);
                        let request = format!(
                            "GET /read/{machine}-{client}-{number} HTTP/1.1\r\nHost: viewer.example\r\n\
                             Request-Id: {machine}a{client}a{number}\r\nDeadline-Ms: 6000\r\n\r\n"
                        );
                        let answer =
                            http::call(address, request.as_bytes(), Duration::from_secs(6));
                        if answer.is_ok_and(|answer| answer.status == 200) {
                            answered.fetch_add(1, Ordering::SeqCst);
                        }
                        thread::sleep(Duration::from_millis(50));
                    }
                });
                traffic.threads.lock().expect("not poisoned").push(thread);
            }
        }
        traffic
    }

    /// Ends the clients. Returns the numbers of requests sent and answered with 200.
    pub fn stop(&self) -> (u64, u64) {
        self.is_stopping.store(true, Ordering::SeqCst);
        for thread in self.threads.lock().expect("not poisoned").drain(..) {
            // A client that panicked has sent nothing more.
            let _ = thread.join();
        }
        (self.sent.load(Ordering::SeqCst), self.answered.load(Ordering::SeqCst))
    }
}
