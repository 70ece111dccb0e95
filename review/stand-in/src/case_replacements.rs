//! Machines of a core of four are replaced one after the other by empty ones at other addresses.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{self, Deployment};
use crate::http;
use crate::record::Record;

/// Time from the loss of a machine to the start of its successor: that of the pages' `replace_core`.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time between two replacements: more than twice `catchup_s` of the deployment with four replicas,
/// which is 6 s, after the start of a successor.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(15);
/// `catchup_s` and `stability_window_ms` after the last replacement.
const SETTLE_TIME: Duration = Duration::from_secs(9);
/// Time for which the operator reads the configuration at all replicas.
const READ_TIME: Duration = Duration::from_secs(20);
/// Replicas that are replaced. The pages let one be lost at a time.
const REPLACED: [usize; 3] = [0, 1, 2];

pub fn run(
    root: &Path,
    folder: &Path,
    record: &Record,
    has_trouble: bool,
) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(root, folder, 4, &[])?;
    let document = deployment::configuration(1, &["viewer", "desk"], 6_000);
    deployment.put_configuration(0, &document)?;
    record.line("version 00000001 sent; acknowledged with 200");
    thread::sleep(REPLACEMENT_INTERVAL);
    for (count, index) in REPLACED.into_iter().enumerate() {
        if has_trouble {
            let address = deployment.operator_address(index);
            record.line(&format!("replica {address} is lost for good (SIGKILL)"));
            let successor = deployment.replace_control(index, SUCCESSOR_DELAY)?;
            let address = deployment.operator_address(successor);
            record.line(&format!("an empty replica starts at {address}"));
        }
        if count + 1 < REPLACED.len() {
            thread::sleep(REPLACEMENT_INTERVAL);
            let is_read = read(&deployment, record, &document);
            record.line(&format!("read back after replacement {}: {is_read}", count + 1));
        }
    }
    thread::sleep(SETTLE_TIME);
    let deadline = Instant::now() + READ_TIME;
    let mut is_read = false;
    while !is_read && Instant::now() < deadline {
        is_read = read(&deployment, record, &document);
        thread::sleep(Duration::from_millis(500));
    }
    let seconds = READ_TIME.as_secs();
    record.line(&match is_read {
        true => "version 00000001 is read back".to_owned(),
        false => format!("version 00000001 is not read back at any replica in {seconds} s"),
    });
    Ok(if is_read { Outcome::Held } else { Outcome::Broken })
}

/// Asks all running replicas for the configuration. Returns whether one answers with `document`.
fn read(deployment: &Deployment, record: &Record, document: &str) -> bool {
    let request = b"GET /config/get HTTP/1.1\r\nHost: control\r\n\r\n";
    let mut is_read = false;
    for address in deployment.operator_addresses() {
        let answer = http::call(address, request, Duration::from_secs(2));
        match &answer {
            Ok(answer) => {
                record.line(&format!("read at {address}: status {}", answer.status));
                is_read |= answer.status == 200 && answer.body == document.as_bytes();
            }
            Err(error) => record.line(&format!("read at {address}: {error}")),
        }
    }
    is_read
}
