//! HTTP client for the local upstream. Doesn't follow redirects and doesn't retry.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use model::{Outcome, headers};
use quick_error::quick_error;

use crate::body::UpstreamRequestBody;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Failure of a call to the upstream.
    #[derive(Debug)]
    pub enum SendError {
        /// No connection could be made, so the call did not run.
        NotSent {
            display("cannot connect to the upstream")
        }
        /// The connection broke after the call may have reached the upstream, or brought the answer
        /// to another call.
        Broken {
            display("the connection to the upstream broke before it answered")
        }
    }
}

/// Client with a pool of connections to the local upstream.
#[derive(Clone)]
pub(crate) struct UpstreamClient {
    client: Client<HttpConnector, UpstreamRequestBody>,
}

impl UpstreamClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Sends a request. Dropping the future closes the connection, which cancels the request.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<UpstreamRequestBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{address}{path}");
        *request.uri_mut() = uri.parse().map_err(|_| SendError::NotSent)?;
        if let Ok(host) = HeaderValue::try_from(address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let call_id = HeaderValue::from(rand::random::<u64>());
        request.headers_mut().insert(headers::CALL_ID, call_id.clone());
        let connection = capture_connection(&mut request);
        let response =
            self.client.request(request).await.map_err(|error| match error.is_connect() {
                true => SendError::NotSent,
                false => SendError::Broken,
            })?;
        // An upstream that does not copy the id cannot be checked.
        let copied_id = response.headers().get(headers::CALL_ID);
        let is_of_call = copied_id.is_none_or(|id| *id == call_id);
        // After an answer to another call, all further answers on this connection would be one behind.
        // A copy of a refusal that names no call would seem to answer the next call.
        let is_unnamed_refusal = copied_id.is_none() && is_refusal(&response);
        if (!is_of_call || is_unnamed_refusal)
            && let Some(connected) = connection.connection_metadata().as_ref()
        {
            connected.poison();
        }
        if is_of_call { Ok(response) } else { Err(SendError::Broken) }
    }
}

/// Returns whether an upstream says with a response that it did not run the call.
fn is_refusal(response: &Response<Incoming>) -> bool {
    let outcome = response.headers().get(headers::OUTCOME);
    outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}
