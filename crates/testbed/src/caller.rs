//! A blocking HTTP client for tests and demonstrations.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use ureq::http::Request;
use ureq::{Agent, AsSendBody};

const TIMEOUT: Duration = Duration::from_secs(60);

quick_error! {
    /// Failure to get a complete response.
    #[derive(Debug)]
    pub enum CallerError {
        /// The request could not be sent or its response could not be read.
        Http(source: Box<ureq::Error>) {
            display("{}", source)
            from(error: ureq::Error) -> (Box::new(error))
        }
    }
}

/// Response to a request, as the caller sees it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the `heatherweir-outcome` header; empty if absent.
    pub outcome: String,
    /// Value of the `heatherweir-reason` header; empty if absent.
    pub reason: String,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// Body as text.
    pub text: String,
    /// Body as JSON; null if it is not valid JSON.
    pub body: serde_json::Value,
    /// Time until the complete response had arrived.
    pub elapsed: Duration,
}

/// Sends requests and reads complete responses of any status.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
}

impl Caller {
    /// Returns a caller with a connection pool of its own.
    pub fn new() -> Self {
        let config =
            Agent::config_builder().timeout_global(Some(TIMEOUT)).http_status_as_error(false);
        Self { agent: config.build().into() }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn get(&self, entry_address: SocketAddr, path: &str) -> Result<Reply, CallerError> {
        self.send(Request::get(format!("http://{entry_address}{path}")), ())
    }

    /// Sends a purchase. The key is its idempotency key and also the tag under which upstreams
    /// count it.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn purchase(
        &self,
        entry_address: SocketAddr,
        path: &str,
        key: &str,
    ) -> Result<Reply, CallerError> {
        let request = Request::post(format!("http://{entry_address}{path}"))
            .header("idempotency-key", key)
            .header("x-tag", key);
        self.send(request, "charge")
    }

    /// Sends a request with a body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn send(
        &self,
        request: ureq::http::request::Builder,
        body: impl AsSendBody,
    ) -> Result<Reply, CallerError> {
        let started = Instant::now();
        let request = request.body(body).map_err(ureq::Error::from)?;
        let mut response = self.agent.run(request)?;
        let text = response.body_mut().read_to_string()?;
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Ok(Reply {
            status: response.status().as_u16(),
            outcome: header("heatherweir-outcome"),
            reason: header("heatherweir-reason"),
            retry_after_s: header("retry-after").parse().ok(),
            body: serde_json::from_str(&text).unwrap_or_default(),
            text,
            elapsed: started.elapsed(),
        })
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}
