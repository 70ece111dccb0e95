//! Reproduces why `tiny_http` does not serve the request path; see `docs/decisions/http-library.md`.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use tiny_http::{Response, Server};

/// Longer than any answer on loopback takes.
const PATIENCE: Duration = Duration::from_secs(1);

fn connect(server: &Server) -> TcpStream {
    let address = server.server_addr().to_ip().expect("an IP listener");
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("the option is taken");
    stream
}

/// Returns whether nothing comes, neither bytes nor the end of the connection.
fn is_held(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 16];
    let result = stream.read(&mut buffer);
    result.is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

#[test]
fn half_a_head_is_held() {
    let server = Server::http("127.0.0.1:0").expect("a port is free");
    let mut stream = connect(&server);
    stream.write_all(b"GET / HTTP/1.1\r\nhost:").expect("half a head is sent");
    assert!(is_held(&mut stream));
}

#[test]
fn kept_alive_connection_hangs_after_the_server_is_gone() {
    let server = Arc::new(Server::http("127.0.0.1:0").expect("a port is free"));
    let mut stream = connect(&server);
    let serving = Arc::clone(&server);
    let thread = thread::spawn(move || {
        let request = serving.recv().expect("one request comes");
        request.respond(Response::from_string("first")).expect("it is answered");
    });
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    let mut answer = [0; 512];
    assert!(stream.read(&mut answer).expect("the first request is answered") > 0);
    thread.join().expect("no panic");
    drop(server);
    // The rest of the first answer may still be on its way.
    while stream.read(&mut answer).is_ok_and(|count| count > 0) {}
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    assert!(is_held(&mut stream));
}
