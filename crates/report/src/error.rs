//! Errors of the report.

use std::net::SocketAddr;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Error of the report or of the request to one node.
    #[derive(Debug)]
    pub enum ReportError {
        /// The request to a node failed or timed out.
        Unreachable(address: SocketAddr, reason: String) {
            display("node {}: {}", address, reason)
        }
        /// The response of a node is not valid JSON or lacks a field.
        Malformed(source: serde_json::Error) {
            display("malformed response: {}", source)
            from()
        }
        /// None of the nodes sent a valid response; holds the number of nodes.
        NoNodeAnswered(count: usize) {
            display("none of {} nodes answered", count)
        }
        /// A plot of the HTML page cannot be drawn.
        Plot(reason: String) {
            display("plot: {}", reason)
        }
        /// The HTML page cannot be written to its file.
        File(path: PathBuf, source: std::io::Error) {
            display("{}: {}", path.display(), source)
        }
    }
}
