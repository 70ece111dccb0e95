//! Errors of the tasks.

use std::path::PathBuf;

use quick_error::quick_error;
use testbed::caller::CallerError;
use testbed::cluster::ClusterError;
use testbed::process::ProcessError;
use testbed::soak::SoakError;
use testbed::upstream_client::UpstreamClientError;

quick_error! {
    /// Error of a task.
    #[derive(Debug)]
    pub enum TaskError {
        /// A file cannot be read or written.
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
        /// A committed file differs from the output of its generator.
        Stale(path: PathBuf) {
            display("{} is out of date, run `cargo xtask codegen`", path.display())
        }
        /// A deployment of the testbed failed to start, stop or answer.
        Cluster(source: ClusterError) {
            display("{}", source)
            from()
        }
        /// A process of the deployment failed.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// The admin listener of a testbed upstream did not answer.
        Upstream(source: UpstreamClientError) {
            display("{}", source)
            from()
        }
        /// A request of the test caller failed.
        Caller(source: CallerError) {
            display("{}", source)
            from()
        }
        /// The async runtime or a child process cannot be started.
        Runtime(source: std::io::Error) {
            display("{}", source)
            from()
        }
        /// A soak test could not be run to its end.
        Soak(source: SoakError) {
            display("{}", source)
            from()
        }
        /// A check of the task failed, or its arguments are invalid.
        Check(message: String) {
            display("check failed: {}", message)
        }
    }
}
