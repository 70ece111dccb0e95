//! Errors of the storage.

use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

quick_error! {
    /// Error of a storage operation.
    #[derive(Debug)]
    pub enum StorageError {
        /// A file or folder operation failed in the operating system.
        Io(path: PathBuf, source: io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
            context(path: &'a Path, source: io::Error) -> (path.to_path_buf(), source)
        }
        /// The content of a file is not valid from an offset on: a checksum, the encoding or the
        /// order of entries is wrong.
        Damaged(path: PathBuf, offset_bytes: u64) {
            display("{} is damaged at byte {}", path.display(), offset_bytes)
        }
        /// A record exceeds [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES).
        TooLarge(length_bytes: usize) {
            display("a record of {} bytes exceeds the maximum size", length_bytes)
        }
        /// A value could not be serialised.
        Encode(source: postcard::Error) {
            display("cannot serialise a value: {}", source)
            from()
        }
    }
}
