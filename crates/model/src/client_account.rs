//! Client accounts: on whose behalf callers send requests, and how much each may send.

use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum length of an account's name, in bytes. It bounds the state and the headers per account.
pub const MAX_ACCOUNT_NAME_BYTES: usize = 256;

/// SHA-256 digest of a key. Nodes know keys by their digests only.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the digest of a key.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes no part of the digest, so that logs do not help to recognise a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Limit of the requests of a client account, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second; finite and above zero.
    pub rate_per_s: f64,
    /// Requests beyond the rate that may arrive at once; finite and at least one.
    pub burst: f64,
}

/// Client account of an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Name, unique in a configuration and suitable as the value of a header.
    pub name: Arc<str>,
    /// Digests of the keys that select the account.
    pub key_digests: Vec<KeyDigest>,
    /// Priority level that replaces that of the route; zero is the highest.
    pub priority: Option<u32>,
    /// Limit of the account's requests. `None` without a limit.
    pub quota: Option<Quota>,
}

impl ClientAccount {
    /// Returns whether a name arrives unchanged if it is sent as the value of a header.
    pub(crate) fn is_header_value(name: &str) -> bool {
        name.len() <= MAX_ACCOUNT_NAME_BYTES
            && name == name.trim()
            && !name.chars().any(char::is_control)
    }
}
