//! Compression of the configuration, which is compressed once and sent to many nodes.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use quick_error::quick_error;

use crate::PackedConfiguration;

/// Maximum size of an uncompressed configuration text, in bytes: twice the size that operators may
/// send.
pub const MAX_CONFIGURATION_TEXT_BYTES: u64 = 16 * 1024 * 1024;

quick_error! {
    /// Failure to decompress a configuration text.
    #[derive(Debug)]
    pub enum UnpackError {
        /// The bytes are not a valid zlib stream.
        Malformed(source: io::Error) {
            display("the configuration text cannot be decompressed: {}", source)
            from()
        }
        /// The uncompressed text is larger than [`MAX_CONFIGURATION_TEXT_BYTES`].
        TooLarge {
            display(
                "the uncompressed configuration text is larger than {} bytes",
                MAX_CONFIGURATION_TEXT_BYTES
            )
        }
    }
}

impl PackedConfiguration {
    /// Compresses a configuration text. Routes repeat the same keys, so they compress well.
    ///
    /// # Errors
    ///
    /// Returns an error if the compression fails.
    pub fn pack(version: u64, text: &[u8]) -> io::Result<Self> {
        // The fast level keeps the operator's request short and compresses nearly as well.
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text)?;
        Ok(Self { version, packed_text: Bytes::from(encoder.finish()?) })
    }

    /// Decompresses the configuration text.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid zlib stream or the text is too large.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let mut text = Vec::new();
        let decoder = ZlibDecoder::new(&*self.packed_text);
        decoder.take(MAX_CONFIGURATION_TEXT_BYTES + 1).read_to_end(&mut text)?;
        if text.len() as u64 > MAX_CONFIGURATION_TEXT_BYTES {
            return Err(UnpackError::TooLarge);
        }
        Ok(text)
    }
}
