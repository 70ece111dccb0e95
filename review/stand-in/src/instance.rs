//! Stand-in of an instance: serves requests, sends heartbeats and leaves.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time within which an acknowledgement has to arrive.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that reached the instance.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub request_id: String,
    pub caller: String,
}

/// Which of its large answers an instance breaks off midway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakOff {
    Never,
    OneIn(u64),
}

/// Size of a large answer, in bytes.
const LARGE_ANSWER_BYTES: usize = 200_000;

pub struct Instance {
    pub id: String,
    pub service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    node: SocketAddr,
    work: Duration,
    sequence: AtomicU64,
    /// Whether heartbeats are sent.
    is_reporting: AtomicBool,
    /// `None` while the answers are small.
    large_answers: Mutex<Option<BreakOff>>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Instance {
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        address: SocketAddr,
        node: SocketAddr,
        work: Duration,
    ) -> Result<Arc<Self>, String> {
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            address,
            node,
            work,
            sequence: AtomicU64::new(0),
            is_reporting: AtomicBool::new(true),
            large_answers: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        let server = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        let reporter = Arc::clone(&instance);
        thread::spawn(move || {
            loop {
                if reporter.is_reporting.load(Ordering::SeqCst) {
                    // A failed heartbeat is followed by the next one.
                    let _ = reporter.send_heartbeat("ready");
                }
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(instance)
    }

    /// Sends one heartbeat. Returns the status of the answer.
    pub fn send_heartbeat(&self, state: &str) -> Result<u16, String> {
        self.send_heartbeat_numbered(state, self.next_sequence())
    }

    /// Returns the number of the next call.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat with this number. Returns the status of the answer.
    pub fn send_heartbeat_numbered(&self, state: &str, seq: u64) -> Result<u16, String> {
        let body = format!(
            "{{\"addr\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":87}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\"cold_left_ms\":0}}}}",
            self.address, self.service, self.zone
        );
        self.post("heartbeat", &body)
    }

    /// Says that the instance leaves. Returns the status of the answer.
    pub fn send_leave(&self) -> Result<u16, String> {
        self.post("leave", "{}")
    }

    fn post(&self, action: &str, body: &str) -> Result<u16, String> {
        let message = format!(
            "POST /instances/{}/{action} HTTP/1.1\r\nHost: control\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        http::call(self.node, message.as_bytes(), ACK_TIMEOUT).map(|answer| answer.status)
    }

    /// Ends the heartbeats, as an instance does that leaves.
    pub fn stop_reporting(&self) {
        self.is_reporting.store(false, Ordering::SeqCst);
    }

    /// Makes the answers large.
    pub fn answer_large(&self, break_off: BreakOff) {
        *self.large_answers.lock().expect("no thread panics with the lock") = Some(break_off);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no thread panics with the lock").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        // Delays are not what is tested, so a failure does not matter.
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let Ok(Some(mut request)) = http::read_head(&mut reader) else { return };
            if http::read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let answer = self.answer(&request);
            if writer.write_all(&answer).is_err() || answer.len() < self.complete_bytes(&answer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.path() == "/health" {
            let head =
                format!("HTTP/1.1 200 OK\r\nInstance: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return head.into_bytes();
        }
        if request.header("target-instance").is_some_and(|target| target != self.id) {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return head.into_bytes();
        }
        let number = {
            let mut arrivals = self.arrivals.lock().expect("no thread panics with the lock");
            arrivals.push(Arrival {
                at: Instant::now(),
                request_id: id.clone(),
                caller: request.header("caller").unwrap_or("").to_owned(),
            });
            arrivals.len() as u64
        };
        thread::sleep(self.work);
        let mut body = format!("served {id} at {}", self.id);
        let large_answers = *self.large_answers.lock().expect("no thread panics with the lock");
        if large_answers.is_some() {
            body.push_str(&".".repeat(LARGE_ANSWER_BYTES));
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        let mut answer = answer.into_bytes();
        if large_answers.is_some_and(
            |break_off| matches!(break_off, BreakOff::OneIn(count) if number % count == 0),
        ) {
            answer.truncate(answer.len() / 2);
        }
        answer
    }

    /// Returns the least size of an answer that is complete.
    fn complete_bytes(&self, answer: &[u8]) -> usize {
        let head = String::from_utf8_lossy(&answer[..answer.len().min(1_000)]).into_owned();
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}
