//! Profile folders and change ids.

use std::fs;

use assert_matches::assert_matches;
use ctl::{CtlError, change_id, read_profile_dir};
use tempfile::TempDir;

const ROUTE: &str = "[[route]]\nname = \"read\"\npath_prefix = \"/\"\nclass = \"sheddable\"\n\
                     idempotent = true\ndeadline_ms = 1000\n";

/// Reads a folder of these files and compares the faults, each as `FILE:LINE`.
fn check(files: &[(&str, &str)], expected: &[&str]) {
    let dir = TempDir::new().expect("a folder");
    for (name, head) in files {
        fs::write(dir.path().join(name), format!("{head}\n{ROUTE}")).expect("a file");
    }
    match read_profile_dir(dir.path()) {
        Ok(profiles) => {
            assert!(expected.is_empty());
            assert_eq!(profiles.len(), files.len());
        }
        Err(CtlError::Profiles(faults)) => {
            let place = |fault: &ctl::ProfileFileFault| {
                let name = fault.path.file_name().expect("a name").to_string_lossy().into_owned();
                format!("{name}:{}", fault.line)
            };
            assert_eq!(faults.iter().map(place).collect::<Vec<_>>(), expected);
        }
        Err(error) => panic!("{error}"),
    }
}

macro_rules! folder_cases {
    ($($name:ident: $files:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            check(&$files, &$expected);
        })*
    };
}

folder_cases! {
    valid_files: [("a.toml", "name = \"a\""), ("b.toml", "name = \"b\"")] => [];
    faults_of_all_files: [("a.toml", "name = \"A\""), ("b.toml", "nome = \"b\"")]
        => ["a.toml:1", "b.toml:1"];
    one_name_in_two_files: [("a.toml", "name = \"a\""), ("b.toml", "name = \"a\"")]
        => ["b.toml:0"];
}

#[test]
fn missing_folder_is_named() {
    let dir = TempDir::new().expect("a folder");
    let missing = dir.path().join("nowhere");
    assert_matches!(read_profile_dir(&missing), Err(CtlError::File(path, _)) if path == missing);
}

#[test]
fn same_change_has_the_same_id() {
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
fn exit_statuses_tell_failures_apart() {
    let name = || "a".to_owned();
    let errors = [
        CtlError::Refused(name()),
        CtlError::Conflict(name(), 1, name()),
        CtlError::Pending(name(), 1, Vec::new()),
        CtlError::Unreachable(name()),
    ];
    assert_eq!(errors.map(|error| error.exit_status()), [2, 3, 4, 5]);
}
