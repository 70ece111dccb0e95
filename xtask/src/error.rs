//! Failures of chores.

use std::path::PathBuf;

use quick_error::quick_error;
use testbed::caller::CallerError;
use testbed::cluster::ClusterError;
use testbed::process::ProcessError;
use testbed::soak::SoakError;
use testbed::upstream_client::UpstreamClientError;

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
        /// A committed file is not what its generator makes.
        Stale(path: PathBuf) {
            display("{} is not current, run `cargo xtask codegen`", path.display())
        }
        /// The deployment failed.
        Cluster(source: ClusterError) {
            display("{}", source)
            from()
        }
        /// A process failed.
        Process(source: ProcessError) {
            display("{}", source)
            from()
        }
        /// A fake upstream did not answer.
        Upstream(source: UpstreamClientError) {
            display("{}", source)
            from()
        }
        /// A request failed.
        Caller(source: CallerError) {
            display("{}", source)
            from()
        }
        /// The runtime cannot be started.
        Runtime(source: std::io::Error) {
            display("{}", source)
            from()
        }
        /// A soak could not be run.
        Soak(source: SoakError) {
            display("{}", source)
            from()
        }
        /// Something did not hold.
        Check(what: String) {
            display("check failed: {}", what)
        }
    }
}
