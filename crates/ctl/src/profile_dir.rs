//! Profiles kept as TOML files in a folder.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use model::{Profile, ProfileError, parse_profile};

use crate::error::CtlError;

/// A profile file that was read and checked.
#[derive(Debug, Clone)]
pub struct ProfileFile {
    /// File.
    pub path: PathBuf,
    /// Text as it stands in the file.
    pub text: String,
    /// Checked profile.
    pub profile: Profile,
}

/// A fault in a profile file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileFileFault {
    /// File.
    pub path: PathBuf,
    /// Line, counted from one; zero when the whole file is at fault.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for ProfileFileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.path.display(), self.message),
            line => write!(f, "{}:{line}: {}", self.path.display(), self.message),
        }
    }
}

/// Reads every `.toml` file of a folder, or a single file.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or all faults of all files at once.
pub fn read_profile_dir(path: &Path) -> Result<Vec<ProfileFile>, CtlError> {
    let mut files = Vec::new();
    let mut faults = Vec::new();
    for path in profile_paths(path)? {
        let bytes = fs::read(&path).map_err(|error| CtlError::File(path.clone(), error))?;
        match parse_profile(&bytes) {
            Ok(profile) => {
                // Parsed text is UTF-8.
                let text = String::from_utf8_lossy(&bytes).into_owned();
                files.push(ProfileFile { path, text, profile });
            }
            Err(error) => faults.extend(file_faults(&path, error)),
        }
    }
    faults.extend(double_names(&files));
    if faults.is_empty() { Ok(files) } else { Err(CtlError::Profiles(faults)) }
}

fn profile_paths(path: &Path) -> Result<Vec<PathBuf>, CtlError> {
    let file_error = |error| CtlError::File(path.to_path_buf(), error);
    if fs::metadata(path).map_err(file_error)?.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut paths = Vec::new();
    for entry in fs::read_dir(path).map_err(file_error)? {
        let entry = entry.map_err(file_error)?.path();
        if entry.extension().is_some_and(|extension| extension == "toml") {
            paths.push(entry);
        }
    }
    paths.sort();
    Ok(paths)
}

fn file_faults(path: &Path, error: ProfileError) -> Vec<ProfileFileFault> {
    let whole = |message: String| ProfileFileFault { path: path.to_path_buf(), line: 0, message };
    match error {
        ProfileError::Faults(faults) => {
            let faults = faults.into_iter().map(|fault| {
                let message = match fault.field.as_str() {
                    "" => fault.message,
                    field => format!("{field}: {}", fault.message),
                };
                ProfileFileFault { path: path.to_path_buf(), line: fault.line, message }
            });
            faults.collect()
        }
        other => vec![whole(other.to_string())],
    }
}

fn double_names(files: &[ProfileFile]) -> Vec<ProfileFileFault> {
    let mut faults = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let earlier = files[..index].iter().find(|other| other.profile.name == file.profile.name);
        if let Some(earlier) = earlier {
            let message = format!("{} is also in {}", file.profile.name, earlier.path.display());
            faults.push(ProfileFileFault { path: file.path.clone(), line: 0, message });
        }
    }
    faults
}
