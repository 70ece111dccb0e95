//! Operates a fake upstream over its admin listener.

use std::net::SocketAddr;

use quick_error::quick_error;

use crate::upstream::{Behaviour, UpstreamRecord};

quick_error! {
    /// A fake upstream that does not answer.
    #[derive(Debug)]
    pub enum UpstreamClientError {
        /// The request failed.
        Http(source: Box<ureq::Error>) {
            display("{}", source)
            from(error: ureq::Error) -> (Box::new(error))
        }
    }
}

/// Reads what an upstream saw.
///
/// # Errors
///
/// Returns an error if the upstream does not answer.
pub fn record(admin: SocketAddr) -> Result<UpstreamRecord, UpstreamClientError> {
    let mut response = ureq::get(format!("http://{admin}/record")).call()?;
    Ok(response.body_mut().read_json()?)
}

/// Reads the behaviour of an upstream.
///
/// # Errors
///
/// Returns an error if the upstream does not answer.
pub fn behaviour(admin: SocketAddr) -> Result<Behaviour, UpstreamClientError> {
    let mut response = ureq::get(format!("http://{admin}/behaviour")).call()?;
    Ok(response.body_mut().read_json()?)
}

/// Changes the behaviour of an upstream.
///
/// # Errors
///
/// Returns an error if the upstream does not answer.
pub fn change(
    admin: SocketAddr,
    change: impl FnOnce(&mut Behaviour),
) -> Result<(), UpstreamClientError> {
    let mut next = behaviour(admin)?;
    change(&mut next);
    ureq::post(format!("http://{admin}/behaviour")).send_json(&next)?;
    Ok(())
}
