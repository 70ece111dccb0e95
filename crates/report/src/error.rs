//! Failures of the report.

use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// A report that cannot be made.
    #[derive(Debug)]
    pub enum ReportError {
        /// A node did not answer.
        Unreachable(address: SocketAddr, reason: String) {
            display("node {}: {}", address, reason)
        }
        /// A node's answer cannot be read.
        Malformed(source: serde_json::Error) {
            display("malformed answer: {}", source)
            from()
        }
        /// No node answered at all.
        Nothing(count: usize) {
            display("none of {} nodes answered", count)
        }
        /// The plot cannot be drawn.
        Plot(reason: String) {
            display("plot: {}", reason)
        }
        /// The file cannot be written.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
        }
    }
}
