//! The admin listener of a program.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use quick_error::quick_error;
use tiny_http::{Header, Method, Request, Response, Server};

const MAX_BODY_BYTES: u64 = 64 * 1024;

quick_error! {
    /// Failure to open the admin listener.
    #[derive(Debug)]
    pub enum AdminError {
        /// The address cannot be used.
        Listen(address: SocketAddr, reason: String) {
            display("cannot listen on {}: {}", address, reason)
        }
        /// The thread cannot be started.
        Thread(source: io::Error) {
            display("cannot start the admin thread: {}", source)
            from()
        }
    }
}

/// Answer to an admin request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminReply {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

impl AdminReply {
    /// Makes a JSON reply.
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self { status, content_type: "application/json", body: body.into() }
    }

    /// Makes the reply to an unknown path.
    pub fn not_found() -> Self {
        Self::json(404, "{\"code\":\"not-found\"}")
    }
}

/// Admin listener on a thread of its own.
pub struct AdminServer {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
    address: SocketAddr,
}

impl AdminServer {
    /// Listens and answers with a handler of method, path and body.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be used or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&str, &str, &str) -> AdminReply + Send + 'static,
    ) -> Result<Self, AdminError> {
        let listen_error = |reason: String| AdminError::Listen(address, reason);
        let server = Server::http(address).map_err(|error| listen_error(error.to_string()))?;
        let own = server.server_addr().to_ip();
        let own = own.ok_or_else(|| listen_error("not an IP listener".to_owned()))?;
        let server = Arc::new(server);
        let shared = Arc::clone(&server);
        let thread = thread::Builder::new().name("admin".to_owned()).spawn(move || {
            for request in shared.incoming_requests() {
                answer(request, &handler);
            }
        })?;
        Ok(Self { server, thread: Some(thread), address: own })
    }

    /// Returns the address that the listener got.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn answer(mut request: Request, handler: &impl Fn(&str, &str, &str) -> AdminReply) {
    let method = match request.method() {
        Method::Get => "GET",
        Method::Post => "POST",
        _ => "OTHER",
    };
    let path = request.url().to_owned();
    let mut body = String::new();
    let is_read = request.as_reader().take(MAX_BODY_BYTES).read_to_string(&mut body).is_ok();
    let reply = match is_read {
        true => handler(method, &path, &body),
        false => AdminReply::json(400, "{\"code\":\"bad-request\"}"),
    };
    let mut response = Response::from_string(reply.body).with_status_code(reply.status);
    if let Ok(header) = Header::from_bytes("Content-Type", reply.content_type) {
        response.add_header(header);
    }
    // The requester may be gone; its answer is of no further use then.
    let _ = request.respond(response);
}
