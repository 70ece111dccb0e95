//! Demonstrates limitations of `tiny_http` because of which it is not used on the request path; see
//! `docs/decisions/http-library.md`.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tiny_http::{Response, Server};

/// Exceeds the time that any answer on loopback takes.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

fn connect(server: &Server) -> TcpStream {
    let address = server.server_addr().to_ip().expect("an IP listener");
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket accepts the option");
    stream
}

/// Returns whether a read times out, with neither bytes nor the end of the connection received.
fn read_times_out(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 16];
    let result = stream.read(&mut buffer);
    result.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn connection_with_partial_request_head_is_not_closed() {
    let server = Server::http("127.0.0.1:0").expect("a port is free");
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\nhost:").expect("a partial head is sent");
    assert!(read_times_out(&mut stream));
}

#[test]
fn keep_alive_connection_stays_open_after_server_is_dropped() {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a port is free"));
    let mut stream = connect(&server);
    let thread_server = Arc::clone(&server);
    let thread = thread::spawn(move || {
        let request = thread_server.recv().expect("one request is received");
        request.respond(Response::from_string("first")).expect("the answer is sent");
    });
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    let mut answer = [0; 512];
    assert!(stream.read(&mut answer).expect("the first request is answered") > 0);
    thread.join().expect("the thread does not panic");
    drop(server);
    // Reads the rest of the first answer, which may not have arrived yet.
    while stream.read(&mut answer).is_ok_and(|count| count > 0) {}
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    assert!(read_times_out(&mut stream));
}
