//! Reads and validates profiles in TOML files.

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use model::{Profile, ProfileError, parse_profile};

use crate::error::CtlError;

/// Valid profile file.
#[derive(Debug, Clone)]
pub struct ProfileFile {
    /// Path of the file.
    pub path: PathBuf,
    /// Contents of the file, unchanged.
    pub text: String,
    /// Profile parsed from the text.
    pub profile: Profile,
}

/// Validation error in a profile file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileFileError {
    /// Path of the file.
    pub path: PathBuf,
    /// One-based line number; zero if the error concerns the whole file.
    pub line: usize,
    /// Description of the error, with the name of the field if it concerns one.
    pub message: String,
}

impl fmt::Display for ProfileFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.path.display(), self.message),
            line => write!(f, "{}:{line}: {}", self.path.display(), self.message),
        }
    }
}

/// Reads the `.toml` files of a folder in the order of their paths, or a single file.
///
/// # Errors
///
/// Returns an error if a file cannot be read; otherwise, if files are invalid, one error that holds
/// the validation errors of all files.
pub fn read_profile_dir(path: &Path) -> Result<Vec<ProfileFile>, CtlError> {
    let mut files = Vec::new();
    let mut errors = Vec::new();
    for path in profile_paths(path)? {
        let bytes = fs::read(&path).map_err(|error| CtlError::File(path.clone(), error))?;
        match parse_profile(&bytes) {
            Ok(profile) => {
                // The conversion is lossless: `parse_profile` accepts UTF-8 only.
                let text = String::from_utf8_lossy(&bytes).into_owned();
                files.push(ProfileFile { path, text, profile });
            }
            Err(error) => errors.extend(file_errors(&path, error)),
        }
    }
    errors.extend(duplicate_name_errors(&files));
    if errors.is_empty() { Ok(files) } else { Err(CtlError::InvalidProfiles(errors)) }
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

fn file_errors(path: &Path, error: ProfileError) -> Vec<ProfileFileError> {
    let whole_file_error =
        |message: String| ProfileFileError { path: path.to_path_buf(), line: 0, message };
    match error {
        ProfileError::Faults(faults) => {
            let errors = faults.into_iter().map(|fault| {
                let message = match fault.field.as_str() {
                    "" => fault.message,
                    field => format!("{field}: {}", fault.message),
                };
                ProfileFileError { path: path.to_path_buf(), line: fault.line, message }
            });
            errors.collect()
        }
        other => vec![whole_file_error(other.to_string())],
    }
}

/// Returns an error for each file whose profile name an earlier file already has.
fn duplicate_name_errors(files: &[ProfileFile]) -> Vec<ProfileFileError> {
    let mut errors = Vec::new();
    for (index, file) in files.iter().enumerate() {
        let earlier = files[..index].iter().find(|other| other.profile.name == file.profile.name);
        if let Some(earlier) = earlier {
            let message = format!("{} is also in {}", file.profile.name, earlier.path.display());
            errors.push(ProfileFileError { path: file.path.clone(), line: 0, message });
        }
    }
    errors
}
