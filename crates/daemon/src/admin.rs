//! HTTP admin listener of a program.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use quick_error::quick_error;
use tiny_http::{Header, Method, Request, Response, Server};

const MAX_BODY_BYTES: u64 = 64 * 1024;

quick_error! {
    /// Failure to start the admin listener.
    #[derive(Debug)]
    pub enum AdminError {
        /// The server cannot listen on the address.
        Listen(address: SocketAddr, reason: String) {
            display("cannot listen on {}: {}", address, reason)
        }
        /// The listener thread cannot be started.
        Thread(source: io::Error) {
            display("cannot start the admin thread: {}", source)
            from()
        }
    }
}

/// Reply to an admin request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdminReply {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Reply body.
    pub body: String,
}

impl AdminReply {
    /// Creates a reply with a JSON body.
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        Self { status, content_type: "application/json", body: body.into() }
    }

    /// Creates the 404 reply to a request with an unknown path.
    pub fn not_found() -> Self {
        Self::json(404, "{\"code\":\"not-found\"}")
    }
}

/// Admin listener with a thread of its own. Dropping it stops and joins the thread.
pub struct AdminServer {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
    address: SocketAddr,
}

impl AdminServer {
    /// Starts to listen on an address and answers each request by calling `handler` with its
    /// method, path and body. Methods other than `GET` and `POST` are passed as `OTHER`; a body is
    /// cut off at 64 KiB.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&str, &str, &str) -> AdminReply + Send + 'static,
    ) -> Result<Self, AdminError> {
        let listen_error = |reason: String| AdminError::Listen(address, reason);
        let server = Server::http(address).map_err(|error| listen_error(error.to_string()))?;
        let bound_address = server.server_addr().to_ip();
        let bound_address =
            bound_address.ok_or_else(|| listen_error("not an IP listener".to_owned()))?;
        let server = Arc::new(server);
        let thread_server = Arc::clone(&server);
        let thread = thread::Builder::new().name("admin".to_owned()).spawn(move || {
            for request in thread_server.incoming_requests() {
                handle_request(request, &handler);
            }
        })?;
        Ok(Self { server, thread: Some(thread), address: bound_address })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
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

fn handle_request(mut request: Request, handler: &impl Fn(&str, &str, &str) -> AdminReply) {
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
    // Sending fails if the client has closed the connection; the reply is then not needed.
    let _ = request.respond(response);
}
