//! Client of the admin listener of a fake upstream.

use std::net::SocketAddr;

use quick_error::quick_error;

use crate::upstream::{Behaviour, UpstreamRecord};

quick_error! {
    /// Failure of a request to the admin listener.
    #[derive(Debug)]
    pub enum UpstreamClientError {
        /// The request failed, or its response is malformed.
        Http(source: Box<ureq::Error>) {
            display("{}", source)
            from(error: ureq::Error) -> (Box::new(error))
        }
    }
}

/// Returns the record of handled calls of an upstream.
///
/// # Errors
///
/// Returns an error if the upstream does not respond.
pub fn record(admin: SocketAddr) -> Result<UpstreamRecord, UpstreamClientError> {
    let mut response = ureq::get(format!("http://{admin}/record")).call()?;
    Ok(response.body_mut().read_json()?)
}

/// Returns the current behaviour of an upstream.
///
/// # Errors
///
/// Returns an error if the upstream does not respond.
pub fn behaviour(admin: SocketAddr) -> Result<Behaviour, UpstreamClientError> {
    let mut response = ureq::get(format!("http://{admin}/behaviour")).call()?;
    Ok(response.body_mut().read_json()?)
}

/// Reads the behaviour of an upstream, changes it and writes it back.
///
/// # Errors
///
/// Returns an error if the upstream does not respond.
pub fn change(
    admin: SocketAddr,
    change: impl FnOnce(&mut Behaviour),
) -> Result<(), UpstreamClientError> {
    let mut next = behaviour(admin)?;
    change(&mut next);
    ureq::post(format!("http://{admin}/behaviour")).send_json(&next)?;
    Ok(())
}
