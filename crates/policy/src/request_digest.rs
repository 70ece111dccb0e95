//! Digest that identifies copies of the same request.

use sha2::{Digest as _, Sha256};

/// SHA-256 digest of the parts of a request that its copies have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Creates the digest of the parts in this order. Only the last part may contain zero bytes,
    /// which separate the parts.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut digest = Sha256::new();
        for (index, part) in parts.into_iter().enumerate() {
            if index > 0 {
                digest.update([0]);
            }
            digest.update(part);
        }
        Self(digest.finalize().into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first 8 bytes as a number, a shorter key for tables.
    pub fn to_u64(self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}
