//! Clients send safe requests behind one whose answer an instance breaks off.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::deployment::{self, Deployment};
use crate::http;
use crate::instance::{BreakOff, Instance};
use crate::record::Record;

const SERVICES: [&str; 4] = ["viewer", "viewer", "store", "store"];
/// Service with large answers.
const STORE: &str = "store";
const ROUNDS: u32 = 150;
/// Safe requests that are sent behind the first one.
const FOLLOWERS: u32 = 3;
/// Cut connections that the rule allows.
const ALLOWED: usize = 3;

pub fn run(
    root: &Path,
    folder: &Path,
    record: &Record,
    has_trouble: bool,
) -> Result<Outcome, String> {
    let deployment = Deployment::start(root, folder, 3, &SERVICES)?;
    let mut instances = Vec::new();
    for (index, machine) in deployment.machines.iter().enumerate() {
        let is_broken = has_trouble && machine.service == STORE && index % 2 == 0;
        let instance = Instance::start(
            &format!("i-{index:08x}"),
            machine.service,
            machine.zone,
            machine.instance(),
            machine.upstream_listener(),
            Duration::from_millis(90),
        )?;
        if machine.service == STORE {
            instance.answer_large(if is_broken { BreakOff::OneIn(50) } else { BreakOff::Never });
        }
        instances.push(instance);
    }
    deployment.put_configuration(0, &deployment::configuration(1, &["viewer", STORE], 6_000))?;
    deployment.wait_until_ready()?;
    // Traffic starts 8 s after the machines.
    thread::sleep(Duration::from_secs(8));
    let clients = deployment.machines.iter().enumerate().flat_map(|(machine, at)| {
        let address = at.outbound();
        (0..2).map(move |client| thread::spawn(move || send_rounds(address, machine, client)))
    });
    let clients: Vec<_> = clients.collect();
    let mut unanswered = HashMap::new();
    let (mut sent, mut complete, mut run) = (0, 0, 0);
    for client in clients {
        let result = client.join().map_err(|_| "a client panicked")?;
        sent += result.0;
        complete += result.1;
        unanswered.extend(result.2);
    }
    thread::sleep(Duration::from_millis(500));
    let mut counted = 0;
    for instance in &instances {
        let arrivals = instance.arrivals();
        run += arrivals.len();
        for arrival in arrivals {
            let Some(closed) = unanswered.get(&arrival.request_id) else { continue };
            // Only instances that are sound all the while count.
            let is_sound = instance.service == "viewer";
            counted += usize::from(is_sound);
            let text = format!("{} ran {}, which got no answer", instance.id, arrival.request_id);
            record.line_at(arrival.at, &text);
            record.line_at(*closed, &format!("connection of {} closed", arrival.request_id));
        }
    }
    record.line(&format!(
        "requests sent: {sent}, answered in full: {complete}, run: {run}, without an answer on a closed connection: {}, of these passed on to a \
         sound instance: {counted}",
        unanswered.len()
    ));
    Ok(if counted <= ALLOWED { Outcome::Held } else { Outcome::Broken })
}

/// Sends rounds of requests on a connection that is kept until it is closed. Returns the number of
/// requests, and those that were sent behind another one and got no answer before the node closed the
/// connection, with the time of the close.
fn send_rounds(
    address: SocketAddr,
    machine: usize,
    client: u32,
) -> (u32, u32, Vec<(String, Instant)>) {
    let (mut sent, mut complete) = (0, 0);
    let mut unanswered = Vec::new();
    let mut kept = None;
    for round in 0..ROUNDS {
        let first = format!("{machine}a{client}a{round}a0");
        let followers =
            (1..=FOLLOWERS).map(|number| format!("{machine}a{client}a{round}a{number}"));
        let followers: Vec<_> = followers.collect();
        let mut requests = request(STORE, &first);
        followers.iter().for_each(|id| requests.push_str(&request("viewer", id)));
        let Some(mut reader) = kept.take().or_else(|| connect(address)) else { continue };
        sent += 1 + FOLLOWERS;
        let (answered, end) = exchange(&mut reader, &requests);
        complete += answered as u32;
        match end {
            End::Kept => kept = Some(reader),
            // The first answer may be the one that was broken off.
            End::Closed => {
                let lost = followers.into_iter().skip(answered.saturating_sub(1));
                unanswered.extend(lost.map(|id| (id, Instant::now())));
            }
            End::Other => {}
        }
        thread::sleep(Duration::from_millis(20));
    }
    (sent, complete, unanswered)
}

/// How the exchange of a round ends.
enum End {
    /// All requests were answered.
    Kept,
    /// The node has closed the connection.
    Closed,
    /// The requests could not be sent, or an answer did not come in time.
    Other,
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    Some(BufReader::new(stream))
}

fn request(service: &str, id: &str) -> String {
    format!(
        "GET /read/{id} HTTP/1.1\r\nHost: {service}.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 6000\r\n\r\n"
    )
}

/// Sends the requests. Returns the number of complete answers and how the exchange ends.
fn exchange(reader: &mut BufReader<TcpStream>, requests: &str) -> (usize, End) {
    if reader.get_mut().write_all(requests.as_bytes()).is_err() {
        return (0, End::Other);
    }
    for answered in 0..=FOLLOWERS as usize {
        let read = match http::read_head(reader) {
            Ok(Some(mut answer)) => http::read_body(reader, &mut answer),
            Ok(None) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) => Err(error),
        };
        match read {
            Ok(()) => {}
            Err(error) if is_close(error.kind()) => return (answered, End::Closed),
            Err(_) => return (answered, End::Other),
        }
    }
    (1 + FOLLOWERS as usize, End::Kept)
}

fn is_close(kind: io::ErrorKind) -> bool {
    matches!(kind, io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset)
}
