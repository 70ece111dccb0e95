//! Errors of the subcommands and their exit statuses.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

use crate::profile_dir::ProfileFileError;

const EXIT_BAD_INPUT: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_PENDING: u8 = 4;
const EXIT_UNREACHABLE: u8 = 5;

quick_error! {
    /// Error of a subcommand.
    #[derive(Debug)]
    pub enum CtlError {
        /// A file cannot be read.
        File(path: PathBuf, source: io::Error) {
            display("{}: {}", path.display(), source)
        }
        /// One or more profile files are invalid.
        InvalidProfiles(errors: Vec<ProfileFileError>) {
            display("{}", errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        /// A control replica rejected the change, or the requested profile does not exist.
        Refused(detail: String) {
            display("refused: {}", detail)
        }
        /// The current version of the profile differs from the base version of the change.
        Conflict(name: String, version: u64, winner_change_id: String) {
            display("{}: conflict with version {} (change {})", name, version, winner_change_id)
        }
        /// The change is committed, but not yet in force in these data centres.
        Pending(name: String, version: u64, data_centres: Vec<String>) {
            display("{}: version {} is pending in {}", name, version, data_centres.join(", "))
        }
        /// No control replica answered, or none had a quorum.
        Unreachable(detail: String) {
            display("no control replica answered: {}", detail)
        }
        /// The async runtime cannot be started.
        Runtime(source: io::Error) {
            display("{}", source)
            from()
        }
    }
}

impl CtlError {
    /// Returns the exit status of the program for this error.
    pub fn exit_status(&self) -> u8 {
        match self {
            CtlError::File(..) | CtlError::InvalidProfiles(_) | CtlError::Refused(_) => {
                EXIT_BAD_INPUT
            }
            CtlError::Conflict(..) => EXIT_CONFLICT,
            CtlError::Pending(..) => EXIT_PENDING,
            CtlError::Unreachable(_) | CtlError::Runtime(_) => EXIT_UNREACHABLE,
        }
    }
}
