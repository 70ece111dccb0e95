//! Recovery of the files of a replica after torn writes, crashes and damage.

use std::fs;
use std::path::Path;

use assert_matches::assert_matches;
use consensus::{Entry, HardState, Payload, PersistentState, ReplicaId, Snapshot};
use proptest::prelude::*;
use storage::{ReplicaFiles, StorageError};
use tempfile::TempDir;

fn entry(term: u64, index: u64) -> Entry {
    Entry { term, index, payload: Payload::Command(vec![index as u8; 20]) }
}

/// Opens a new folder and appends entries 1 to `entries`, each in a record of its own.
fn write_log(folder: &Path, entries: u64) {
    let (mut files, _) = ReplicaFiles::open(folder).expect("a new folder opens");
    for index in 1..=entries {
        let hard_state = Some(HardState { term: index, voted_for: Some(ReplicaId(1)) });
        files.append(hard_state, vec![entry(index, index)]).expect("the entry is appended");
    }
}

/// Writes five entries, modifies the log file and checks the number of recovered entries, or that
/// the damage is reported and the file is left as it is.
fn check_recovery(modify: impl Fn(&mut Vec<u8>), expected: Result<usize, ()>) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write_log(folder.path(), 5);
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("the log can be read");
    modify(&mut bytes);
    fs::write(&path, &bytes).expect("the log can be written");
    let result = ReplicaFiles::open(folder.path());
    match (result, expected) {
        (Ok((_, recovered)), Ok(entries)) => {
            assert_eq!(recovered.persistent_state.entries.len(), entries)
        }
        (Err(error), Err(())) => {
            assert_matches!(error, StorageError::Damaged(at, _) if at == path);
            assert_eq!(
                fs::read(&path).expect("the log can be read"),
                bytes,
                "the damaged log was changed"
            );
        }
        (result, expected) => panic!("{result:?} instead of {expected:?}"),
    }
}

macro_rules! recovery_cases {
    ($($name:ident: $modify:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            check_recovery($modify, $expected);
        })*
    };
}

recovery_cases! {
    undamaged_log_is_recovered: |_| {} => Ok(5);
    torn_payload_is_truncated: |bytes| bytes.truncate(bytes.len() - 3) => Ok(4);
    torn_header_is_truncated: |bytes| { let at = bytes.len() - 30; bytes.truncate(at) } => Ok(4);
    zeros_after_the_last_record_are_truncated: |bytes| bytes.extend([0; 64]) => Ok(5);
    flipped_payload_bit_is_an_error: |bytes| bytes[20] ^= 1 => Err(());
    flipped_length_bit_is_an_error: |bytes| bytes[0] ^= 1 => Err(());
    flipped_bit_in_the_last_record_is_an_error: |bytes| {
        let last = bytes.len() - 2;
        bytes[last] ^= 1;
    } => Err(());
    missing_record_is_an_error: |bytes| {
        let record = bytes.len() / 5;
        bytes.drain(record..2 * record);
    } => Err(());
}

#[test]
fn truncated_record_is_replaced_by_the_next_append() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write_log(folder.path(), 3);
    let path = folder.path().join("log");
    let bytes = fs::read(&path).expect("the log can be read");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("the log can be written");
    {
        let (mut files, recovered) =
            ReplicaFiles::open(folder.path()).expect("a torn record is truncated");
        assert!(recovered.truncated_bytes > 0);
        files.append(None, vec![entry(9, 3)]).expect("the entry is appended");
    }
    let (_, recovered) = ReplicaFiles::open(folder.path()).expect("the log opens");
    assert_eq!(recovered.persistent_state.entries.last(), Some(&entry(9, 3)));
    assert_eq!(recovered.truncated_bytes, 0);
}

#[test]
fn recovery_after_replace_returns_snapshot_and_later_entries() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write_log(folder.path(), 4);
    let persistent_state = PersistentState {
        hard_state: HardState { term: 4, voted_for: None },
        snapshot: Snapshot { index: 3, term: 3, data: vec![7; 100], ..Snapshot::default() },
        entries: vec![entry(4, 4)],
    };
    let (mut files, _) = ReplicaFiles::open(folder.path()).expect("the log opens");
    files.replace(&persistent_state).expect("the snapshot is written");
    files.append(None, vec![entry(4, 5)]).expect("the entry is appended");
    let (_, recovered) = ReplicaFiles::open(folder.path()).expect("the files open");
    assert_eq!(recovered.persistent_state.snapshot, persistent_state.snapshot);
    assert_eq!(recovered.persistent_state.entries, vec![entry(4, 4), entry(4, 5)]);
    assert_eq!(recovered.persistent_state.hard_state, persistent_state.hard_state);
}

/// A crash between the renames of the snapshot and the log leaves the new snapshot with the old
/// log. The entries of that log after the snapshot must not be recovered if the terms differ.
#[test]
fn log_that_conflicts_with_the_snapshot_is_dropped() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write_log(folder.path(), 4);
    let old_log = fs::read(folder.path().join("log")).expect("the log can be read");
    let snapshot = Snapshot { index: 3, term: 9, ..Snapshot::default() };
    let (mut files, _) = ReplicaFiles::open(folder.path()).expect("the log opens");
    files
        .replace(&PersistentState { snapshot, ..PersistentState::default() })
        .expect("the snapshot is written");
    fs::write(folder.path().join("log"), old_log).expect("the old log can be written");
    let (_, recovered) = ReplicaFiles::open(folder.path()).expect("the files open");
    assert_eq!(recovered.persistent_state.snapshot.index, 3);
    assert_eq!(recovered.persistent_state.entries, Vec::new());
}

#[test]
fn damaged_snapshot_is_an_error() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let (mut files, _) = ReplicaFiles::open(folder.path()).expect("a new folder opens");
    let snapshot = Snapshot { index: 3, term: 3, data: vec![7; 100], ..Snapshot::default() };
    files
        .replace(&PersistentState { snapshot, ..PersistentState::default() })
        .expect("the snapshot is written");
    let path = folder.path().join("snapshot");
    let mut bytes = fs::read(&path).expect("the snapshot can be read");
    bytes[40] ^= 1;
    fs::write(&path, bytes).expect("the snapshot can be written");
    assert_matches!(
        ReplicaFiles::open(folder.path()),
        Err(StorageError::Damaged(at, 0)) if at == path
    );
}

#[test]
fn folder_path_that_is_a_file_is_an_error() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let file = folder.path().join("file");
    fs::write(&file, b"").expect("the file can be written");
    assert_matches!(ReplicaFiles::open(&file), Err(StorageError::Io(at, _)) if at == file);
}

proptest! {
    /// Opening a log of random bytes neither panics nor returns entries.
    #[test]
    fn random_log_bytes_recover_no_entries(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = TempDir::new().expect("a temporary folder can be created");
        fs::write(folder.path().join("log"), &bytes).expect("the log can be written");
        if let Ok((_, recovered)) = ReplicaFiles::open(folder.path()) {
            prop_assert_eq!(recovered.persistent_state.entries.len(), 0);
        }
    }

    /// A log truncated at any byte recovers a prefix of the written entries.
    #[test]
    fn log_truncated_at_any_byte_recovers_a_prefix(kept_bytes in 0usize..400) {
        let folder = TempDir::new().expect("a temporary folder can be created");
        write_log(folder.path(), 5);
        let path = folder.path().join("log");
        let bytes = fs::read(&path).expect("the log can be read");
        fs::write(&path, &bytes[..kept_bytes.min(bytes.len())]).expect("the log can be written");
        let (_, recovered) = ReplicaFiles::open(folder.path()).expect("a torn record is truncated");
        let entries = recovered.persistent_state.entries;
        let expected: Vec<Entry> = (1..=entries.len() as u64).map(|i| entry(i, i)).collect();
        prop_assert_eq!(entries, expected);
    }
}
