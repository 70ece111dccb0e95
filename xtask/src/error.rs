//! Failures of chores.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Failure of a chore.
    #[derive(Debug)]
    pub enum ChoreError {
        /// A file could not be read or written.
        Io(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
            source(source)
            context(path: &'a std::path::Path, source: std::io::Error)
                -> (path.to_path_buf(), source)
        }
        /// The protocol definition does not compile.
        Protocol(source: protox::Error) {
            display("protocol definition: {}", source)
            from()
        }
    }
}
