//! Encoding of byte strings as a whole.
//!
//! The derived code handles a list of bytes element by element, which takes the thread that does it
//! longer than an election timeout for a document of a megabyte in a debug build. The encoded form is
//! the same in formats that write lists and byte strings alike, as the one of replicas does.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Encodes a byte string.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<T, S>(bytes: &T, serializer: S) -> Result<S::Ok, S::Error>
where
    T: AsRef<[u8]>,
    S: Serializer,
{
    serializer.serialize_bytes(bytes.as_ref())
}

/// Decodes a byte string.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: for<'a> From<&'a [u8]>,
    D: Deserializer<'de>,
{
    struct BytesVisitor<T>(PhantomData<T>);

    impl<T: for<'a> From<&'a [u8]>> Visitor<'_> for BytesVisitor<T> {
        type Value = T;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<T, E> {
            Ok(T::from(bytes))
        }
    }

    deserializer.deserialize_bytes(BytesVisitor(PhantomData))
}
