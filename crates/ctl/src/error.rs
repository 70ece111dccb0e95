//! Failures of operator commands and their exit statuses.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::profile_dir::ProfileFileFault;

const EXIT_BAD_INPUT: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_PENDING: u8 = 4;
const EXIT_UNREACHABLE: u8 = 5;

quick_error! {
    /// Failure of an operator command.
    #[derive(Debug)]
    pub enum CtlError {
        /// A file cannot be read.
        File(path: PathBuf, source: io::Error) {
            display("{}: {}", path.display(), source)
        }
        /// Profile files have faults.
        Profiles(faults: Vec<ProfileFileFault>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// Control refused the input.
        Refused(detail: String) {
            display("refused: {}", detail)
        }
        /// The profile has another version than the change is based on.
        Conflict(name: String, version: u64, winner_change_id: String) {
            display("{}: conflict with version {} of change {}", name, version, winner_change_id)
        }
        /// The change is committed and not yet in force everywhere.
        Pending(name: String, version: u64, data_centres: Vec<String>) {
            display("{}: version {} is pending in {}", name, version, data_centres.join(", "))
        }
        /// No replica answered.
        Unreachable(detail: String) {
            display("no control replica answered: {}", detail)
        }
        /// The runtime cannot be started.
        Runtime(source: io::Error) {
            display("{}", source)
            from()
        }
    }
}

impl CtlError {
    /// Returns the exit status of the program.
    pub fn exit_status(&self) -> u8 {
        match self {
            CtlError::File(..) | CtlError::Profiles(_) | CtlError::Refused(_) => EXIT_BAD_INPUT,
            CtlError::Conflict(..) => EXIT_CONFLICT,
            CtlError::Pending(..) => EXIT_PENDING,
            CtlError::Unreachable(_) | CtlError::Runtime(_) => EXIT_UNREACHABLE,
        }
    }
}
