//! Errors of a test cluster.

use ctl::CtlError;
use quick_error::quick_error;

use crate::process::ProcessError;

quick_error! {
    /// Failure to start or stop a cluster.
    #[derive(Debug)]
    pub enum ClusterError {
        /// A process could not be started, signalled or awaited.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// An operator command failed.
        Operator(source: CtlError) {
            display("{}", source)
            from()
        }
        /// A file could not be written, or a relay could not be started.
        Io(source: std::io::Error) {
            display("{}", source)
            from()
        }
        /// A process ended with an exit status other than success.
        Exit(name: String, status: std::process::ExitStatus) {
            display("{} ended with {}", name, status)
        }
    }
}
