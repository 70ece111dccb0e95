//! Failures of the files.

use std::io;
use std::path::{Path, PathBuf};

use quick_error::quick_error;

quick_error! {
    /// Failure of a file operation.
    #[derive(Debug)]
    pub enum StorageError {
        /// The operating system refused an operation.
        Io(path: PathBuf, source: io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
            context(path: &'a Path, source: io::Error) -> (path.to_path_buf(), source)
        }
        /// The file does not hold what was written.
        Damaged(path: PathBuf, offset_bytes: u64) {
            display("{} is damaged at byte {}", path.display(), offset_bytes)
        }
        /// A record is larger than the format allows.
        TooLarge(length_bytes: usize) {
            display("a record of {} bytes is too large", length_bytes)
        }
        /// A value could not be encoded.
        Encode(source: postcard::Error) {
            display("encoding failed: {}", source)
            from()
        }
    }
}
