//! Documents that are sent to many nodes, compressed once.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;

use crate::PackedConfiguration;

/// Largest text that is unpacked, in bytes: twice what operators may send.
pub const MAX_TEXT_BYTES: u64 = 16 * 1024 * 1024;

quick_error! {
    /// A packed text that cannot be unpacked.
    #[derive(Debug)]
    pub enum UnpackError {
        /// The bytes are not a compressed text.
        Malformed(source: io::Error) {
            display("the text cannot be unpacked: {}", source)
            from()
        }
        /// The text is larger than allowed.
        TooLarge {
            display("the unpacked text is larger than {} bytes", MAX_TEXT_BYTES)
        }
    }
}

impl PackedConfiguration {
    /// Compresses a text. Routes repeat their words, so little is left of them.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn pack(version: u64, text: &[u8]) -> io::Result<Self> {
        // Operators wait for the change, and the fast level saves nearly as much.
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text)?;
        Ok(Self { version, packed_text: Bytes::from(encoder.finish()?) })
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or the text is too large.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let mut text = Vec::new();
        let decoder = ZlibDecoder::new(&*self.packed_text);
        decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut text)?;
        if text.len() as u64 > MAX_TEXT_BYTES {
            return Err(UnpackError::TooLarge);
        }
        Ok(text)
    }
}
