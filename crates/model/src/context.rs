//! Call context, which links the calls that an upstream makes to the request that it is serving.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;

const CONTEXT_VERSION: &str = "1";
const REQUEST_ID_HEX_DIGITS: usize = 32;
const CALL_ID_HEX_DIGITS: usize = 16;

quick_error! {
    /// Failure to parse a call context or a request id.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ContextError {
        /// The text does not have the form `1-REQUEST-CALL` with ids in lower-case hex digits.
        Malformed {
            display("a context has the form 1-REQUEST-CALL in lower-case hex digits")
        }
        /// The context has an unsupported format version.
        Version(version: String) {
            display("context version {:?} is not supported", version)
        }
    }
}

/// Random id of a caller's request, shared by all calls of its call chain.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an id from 128 random bits.
    pub fn new(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the 128 bits of the id.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for RequestId {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Self, ContextError> {
        parse_hex(text, REQUEST_ID_HEX_DIGITS).map(Self)
    }
}

/// Identifies one call that an upstream is serving.
///
/// The call id is random, so that a caller cannot forge the context of another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallContext {
    /// Id of the request that the call belongs to.
    pub request_id: RequestId,
    /// Random id that the node of the upstream assigns to the call.
    pub call_id: u64,
}

impl CallContext {
    /// Creates the context of a call.
    pub fn new(request_id: RequestId, call_id: u64) -> Self {
        Self { request_id, call_id }
    }
}

impl fmt::Display for CallContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{CONTEXT_VERSION}-{}-{:016x}", self.request_id, self.call_id)
    }
}

impl FromStr for CallContext {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Self, ContextError> {
        let mut parts = text.splitn(3, '-');
        let version = parts.next().ok_or(ContextError::Malformed)?;
        if version != CONTEXT_VERSION {
            return Err(ContextError::Version(version.chars().take(8).collect()));
        }
        let request_id = parts.next().ok_or(ContextError::Malformed)?.parse()?;
        let call_id = parse_hex(parts.next().ok_or(ContextError::Malformed)?, CALL_ID_HEX_DIGITS)?;
        let call_id = u64::try_from(call_id).map_err(|_| ContextError::Malformed)?;
        Ok(Self { request_id, call_id })
    }
}

fn parse_hex(text: &str, digits: usize) -> Result<u128, ContextError> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if text.len() != digits || !text.bytes().all(is_hex) {
        return Err(ContextError::Malformed);
    }
    u128::from_str_radix(text, 16).map_err(|_| ContextError::Malformed)
}
