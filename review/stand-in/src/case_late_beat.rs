//! An instance leaves right after its node and the core were killed, and an earlier heartbeat arrives
//! late.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::case_leave::Traffic;
use crate::deployment::{self, Deployment, SIGKILL};
use crate::instance::Instance;
use crate::record::Record;

const SERVICES: [&str; 10] =
    ["viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "viewer", "desk", "desk", "desk"];
/// Machine whose node is killed and whose instance leaves.
const LEAVER: usize = 0;
const REPLICAS: usize = 3;
const DRAIN: Duration = Duration::from_millis(2_000);
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the instance goes on serving after the acknowledgement of its leave.
const LINGER: Duration = Duration::from_secs(10);
/// Time from the kill to the start of the processes.
const DOWN: Duration = Duration::from_millis(500);
/// Delay of the heartbeat that was sent before the leave.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(1_500);
/// Delay between two attempts of the instance to say that it leaves.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which an instance without an acknowledgement exits.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(5);

pub fn run(
    root: &Path,
    folder: &Path,
    record: &Record,
    has_trouble: bool,
) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(root, folder, REPLICAS as u8, &SERVICES)?;
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

    let leaver = Arc::clone(&instances[LEAVER]);
    leaver.stop_reporting();
    if has_trouble {
        deployment.signal_node(LEAVER, SIGKILL);
        (0..REPLICAS).for_each(|index| deployment.signal_control(index, SIGKILL));
        record.line(&format!(
            "SIGKILL to the node of {} and to all replicas",
            deployment.machines[LEAVER].name
        ));
        deployment.kill_node(LEAVER);
        (0..REPLICAS).for_each(|index| deployment.kill_control(index));
        thread::sleep(DOWN);
        for index in 0..REPLICAS {
            deployment.start_control(index, false)?;
        }
        deployment.start_node(LEAVER)?;
        record.line("all are started again");
    }
    let started = Instant::now();
    let delayed = thread::spawn({
        let leaver = Arc::clone(&leaver);
        // The number is that of a heartbeat before the leave.
        let number = leaver.next_sequence();
        move || {
            thread::sleep(HEARTBEAT_DELAY);
            (leaver.send_heartbeat_numbered("ready", number), Instant::now())
        }
    });
    let mut attempts = 0;
    let acknowledged = loop {
        attempts += 1;
        if leaver.send_leave() == Ok(200) {
            break Instant::now();
        }
        if started.elapsed() > MAX_LEAVE_TIME {
            return Err("the leave was never acknowledged".to_owned());
        }
        thread::sleep(RETRY_DELAY);
    };
    record.line_at(acknowledged, &format!("leave answered 200 at attempt {attempts}"));
    let (answer, at) = delayed.join().map_err(|_| "the delayed heartbeat panicked")?;
    record.line_at(at, &format!("heartbeat of before the leave arrives late: {answer:?}"));
    thread::sleep((acknowledged + LINGER).saturating_duration_since(Instant::now()));
    let checked_until = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let (sent, answered) = traffic.stop();

    let calm_from = (acknowledged + DRAIN).max(started + STABILITY_WINDOW);
    let arrivals = leaver.arrivals();
    let counted: Vec<_> =
        arrivals.iter().filter(|at| at.at > calm_from && at.at <= checked_until).collect();
    for arrival in &counted {
        let text = format!("{} ran {} of {}", leaver.id, arrival.request_id, arrival.caller);
        record.line_at(arrival.at, &text);
    }
    record.line(&format!(
        "requests sent: {sent}, answered 200: {answered}; at the instance later than drain_ms after \
         its acknowledgement, with all machines in touch: {}",
        counted.len()
    ));
    Ok(if counted.is_empty() { Outcome::Held } else { Outcome::Broken })
}
