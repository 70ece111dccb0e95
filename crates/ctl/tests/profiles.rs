//! Tests of reading profile folders, of change ids and of exit statuses.

use std::fs;

use assert_matches::assert_matches;
use ctl::{CtlError, change_id, read_profile_dir};
use tempfile::TempDir;

const ROUTE: &str = "[[route]]\nname = \"read\"\npath_prefix = \"/\"\nclass = \"sheddable\"\n\
                     idempotent = true\ndeadline_ms = 1000\n";

/// Reads a folder with these files and compares the validation errors, each as `FILE:LINE`.
fn assert_folder_errors(files: &[(&str, &str)], expected: &[&str]) {
    let dir = TempDir::new().expect("the temporary folder is created");
    for (name, head) in files {
        fs::write(dir.path().join(name), format!("{head}\n{ROUTE}")).expect("the file is written");
    }
    match read_profile_dir(dir.path()) {
        Ok(profiles) => {
            assert!(expected.is_empty());
            assert_eq!(profiles.len(), files.len());
        }
        Err(CtlError::InvalidProfiles(errors)) => {
            let location = |error: &ctl::ProfileFileError| {
                let name =
                    error.path.file_name().expect("a file name").to_string_lossy().into_owned();
                format!("{name}:{}", error.line)
            };
            assert_eq!(errors.iter().map(location).collect::<Vec<_>>(), expected);
        }
        Err(error) => panic!("{error}"),
    }
}

macro_rules! folder_cases {
    ($($name:ident: $files:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            assert_folder_errors(&$files, &$expected);
        })*
    };
}

folder_cases! {
    valid_files_are_accepted: [("a.toml", "name = \"a\""), ("b.toml", "name = \"b\"")] => [];
    errors_of_all_files_are_reported: [("a.toml", "name = \"A\""), ("b.toml", "nome = \"b\"")]
        => ["a.toml:1", "b.toml:1"];
    duplicate_name_is_reported_for_the_later_file:
        [("a.toml", "name = \"a\""), ("b.toml", "name = \"a\"")]
        => ["b.toml:0"];
}

#[test]
fn error_for_a_missing_folder_holds_its_path() {
    let dir = TempDir::new().expect("the temporary folder is created");
    let missing = dir.path().join("nowhere");
    assert_matches!(read_profile_dir(&missing), Err(CtlError::File(path, _)) if path == missing);
}

#[test]
fn equal_changes_have_equal_ids_and_different_changes_differ() {
    let id = change_id("a", 1, Some("text"));
    assert_eq!(id, change_id("a", 1, Some("text")));
    for other in [
        change_id("b", 1, Some("text")),
        change_id("a", 2, Some("text")),
        change_id("a", 1, Some("other")),
        change_id("a", 1, None),
    ] {
        assert_ne!(id, other);
    }
}

#[test]
fn errors_of_cluster_changes_have_distinct_exit_statuses() {
    let name = || "a".to_owned();
    let errors = [
        CtlError::Refused(name()),
        CtlError::Conflict(name(), 1, name()),
        CtlError::Pending(name(), 1, Vec::new()),
        CtlError::Unreachable(name()),
    ];
    assert_eq!(errors.map(|error| error.exit_status()), [2, 3, 4, 5]);
}
