//! Recovery of a replica's files after damage.

use std::fs;
use std::path::Path;

use assert_matches::assert_matches;
use consensus::{Entry, HardState, Payload, ReplicaId, Snapshot, Stored};
use proptest::prelude::*;
use storage::{ReplicaFiles, StorageError};
use tempfile::TempDir;

fn entry(term: u64, index: u64) -> Entry {
    Entry { term, index, payload: Payload::Command(vec![index as u8; 20]) }
}

fn write_log(folder: &Path, entries: u64) {
    let (mut files, _) = ReplicaFiles::open(folder).expect("a new folder opens");
    for index in 1..=entries {
        let hard_state = Some(HardState { term: index, voted_for: Some(ReplicaId(1)) });
        files.append(hard_state, vec![entry(index, index)]).expect("the log takes an entry");
    }
}

/// Writes five entries, changes the log file and opens the folder again.
fn check(change: impl Fn(&mut Vec<u8>), expected: Result<usize, ()>) {
    let dir = TempDir::new().expect("a folder");
    write_log(dir.path(), 5);
    let path = dir.path().join("log");
    let mut bytes = fs::read(&path).expect("the log is there");
    change(&mut bytes);
    fs::write(&path, &bytes).expect("the log can be changed");
    let opened = ReplicaFiles::open(dir.path());
    match (opened, expected) {
        (Ok((_, recovered)), Ok(entries)) => assert_eq!(recovered.stored.entries.len(), entries),
        (Err(error), Err(())) => {
            assert_matches!(error, StorageError::Damaged(at, _) if at == path);
            assert_eq!(fs::read(&path).expect("the log is there"), bytes, "nothing was changed");
        }
        (opened, expected) => panic!("{opened:?} instead of {expected:?}"),
    }
}

macro_rules! recovery_cases {
    ($($name:ident: $change:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            check($change, $expected);
        })*
    };
}

recovery_cases! {
    whole_log_is_read: |_| {} => Ok(5);
    torn_payload_is_cut: |bytes| bytes.truncate(bytes.len() - 3) => Ok(4);
    torn_header_is_cut: |bytes| { let at = bytes.len() - 30; bytes.truncate(at) } => Ok(4);
    zeros_after_the_end_are_cut: |bytes| bytes.extend([0; 64]) => Ok(5);
    flipped_payload_byte_is_damage: |bytes| bytes[20] ^= 1 => Err(());
    flipped_length_byte_is_damage: |bytes| bytes[0] ^= 1 => Err(());
    flipped_byte_in_the_last_record_is_damage: |bytes| {
        let last = bytes.len() - 2;
        bytes[last] ^= 1;
    } => Err(());
    missing_record_is_damage: |bytes| {
        let record = bytes.len() / 5;
        bytes.drain(record..2 * record);
    } => Err(());
}

#[test]
fn cut_end_does_not_come_back() {
    let dir = TempDir::new().expect("a folder");
    write_log(dir.path(), 3);
    let path = dir.path().join("log");
    let bytes = fs::read(&path).expect("the log is there");
    fs::write(&path, &bytes[..bytes.len() - 1]).expect("the log can be cut");
    {
        let (mut files, recovered) = ReplicaFiles::open(dir.path()).expect("a torn end is cut");
        assert!(recovered.cut_bytes > 0);
        files.append(None, vec![entry(9, 3)]).expect("the log takes an entry");
    }
    let (_, recovered) = ReplicaFiles::open(dir.path()).expect("the log opens");
    assert_eq!(recovered.stored.entries.last(), Some(&entry(9, 3)));
    assert_eq!(recovered.cut_bytes, 0);
}

#[test]
fn snapshot_replaces_the_log() {
    let dir = TempDir::new().expect("a folder");
    write_log(dir.path(), 4);
    let stored = Stored {
        hard_state: HardState { term: 4, voted_for: None },
        snapshot: Snapshot { index: 3, term: 3, data: vec![7; 100], ..Snapshot::default() },
        entries: vec![entry(4, 4)],
    };
    let (mut files, _) = ReplicaFiles::open(dir.path()).expect("the log opens");
    files.replace(&stored).expect("the snapshot is written");
    files.append(None, vec![entry(4, 5)]).expect("the log takes an entry");
    let (_, recovered) = ReplicaFiles::open(dir.path()).expect("the files open");
    assert_eq!(recovered.stored.snapshot, stored.snapshot);
    assert_eq!(recovered.stored.entries, vec![entry(4, 4), entry(4, 5)]);
    assert_eq!(recovered.stored.hard_state, stored.hard_state);
}

/// A crash after the snapshot was renamed and before the log was leaves the old log.
#[test]
fn old_log_that_the_snapshot_overruled_is_dropped() {
    let dir = TempDir::new().expect("a folder");
    write_log(dir.path(), 4);
    let old_log = fs::read(dir.path().join("log")).expect("the log is there");
    let snapshot = Snapshot { index: 3, term: 9, ..Snapshot::default() };
    let (mut files, _) = ReplicaFiles::open(dir.path()).expect("the log opens");
    files.replace(&Stored { snapshot, ..Stored::default() }).expect("the snapshot is written");
    fs::write(dir.path().join("log"), old_log).expect("the old log comes back");
    let (_, recovered) = ReplicaFiles::open(dir.path()).expect("the files open");
    assert_eq!(recovered.stored.snapshot.index, 3);
    assert_eq!(recovered.stored.entries, Vec::new());
}

#[test]
fn damaged_snapshot_is_an_error() {
    let dir = TempDir::new().expect("a folder");
    let (mut files, _) = ReplicaFiles::open(dir.path()).expect("a new folder opens");
    let snapshot = Snapshot { index: 3, term: 3, data: vec![7; 100], ..Snapshot::default() };
    files.replace(&Stored { snapshot, ..Stored::default() }).expect("the snapshot is written");
    let path = dir.path().join("snapshot");
    let mut bytes = fs::read(&path).expect("the snapshot is there");
    bytes[40] ^= 1;
    fs::write(&path, bytes).expect("the snapshot can be changed");
    assert_matches!(
        ReplicaFiles::open(dir.path()),
        Err(StorageError::Damaged(at, 0)) if at == path
    );
}

#[test]
fn unusable_folder_is_an_error() {
    let dir = TempDir::new().expect("a folder");
    let file = dir.path().join("file");
    fs::write(&file, b"").expect("a file");
    assert_matches!(ReplicaFiles::open(&file), Err(StorageError::Io(at, _)) if at == file);
}

proptest! {
    /// Whatever stands in the log file, opening neither panics nor invents entries.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let dir = TempDir::new().expect("a folder");
        fs::write(dir.path().join("log"), &bytes).expect("the log can be written");
        if let Ok((_, recovered)) = ReplicaFiles::open(dir.path()) {
            prop_assert_eq!(recovered.stored.entries.len(), 0);
        }
    }

    /// A log cut anywhere gives a prefix of what was written.
    #[test]
    fn cut_log_gives_a_prefix(cut in 0usize..400) {
        let dir = TempDir::new().expect("a folder");
        write_log(dir.path(), 5);
        let path = dir.path().join("log");
        let bytes = fs::read(&path).expect("the log is there");
        fs::write(&path, &bytes[..cut.min(bytes.len())]).expect("the log can be cut");
        let (_, recovered) = ReplicaFiles::open(dir.path()).expect("a torn end is cut");
        let entries = recovered.stored.entries;
        let expected: Vec<Entry> = (1..=entries.len() as u64).map(|i| entry(i, i)).collect();
        prop_assert_eq!(entries, expected);
    }
}
