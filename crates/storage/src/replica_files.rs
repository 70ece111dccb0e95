//! Reads, writes and recovers the files of one replica.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use consensus::{Entry, HardState, PersistentState, ReplicaId, Snapshot};
use quick_error::ResultExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::StorageError;
use crate::frame::{self, Frame};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
/// Extension of a file that is written and then renamed to its final name.
const TEMPORARY_EXTENSION: &str = "tmp";

/// Record of the log: hard state and entries that are written and synced together.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LogRecord {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
}

/// State that [`ReplicaFiles::open`] recovered from a folder.
#[derive(Debug)]
pub struct RecoveredState {
    /// Term, vote, snapshot and entries of the replica.
    pub persistent_state: PersistentState,
    /// Size of the incomplete record that was truncated at the end of the log, in bytes.
    pub truncated_bytes: u64,
}

/// Files of one replica, with the log open for appending.
#[derive(Debug)]
pub struct ReplicaFiles {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
}

impl ReplicaFiles {
    /// Reads the id of the replica that a folder belongs to. Returns `None` if none is stored.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is damaged or cannot be read.
    pub fn read_identity(folder: &Path) -> Result<Option<ReplicaId>, StorageError> {
        read_single_frame(&folder.join(IDENTITY_FILE))
    }

    /// Stores the id of the replica in a folder and creates the folder if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written.
    pub fn write_identity(folder: &Path, id: ReplicaId) -> Result<(), StorageError> {
        fs::create_dir_all(folder).context(folder)?;
        write_single_frame(folder, IDENTITY_FILE, &id)
    }

    /// Opens the files and truncates an incomplete record at the end of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is damaged in any other way, or cannot be read or written.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), StorageError> {
        fs::create_dir_all(folder).context(folder)?;
        let snapshot: Option<Snapshot> = read_single_frame(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let bytes = read_optional(&path)?.unwrap_or_default();
        let mut persistent_state = PersistentState {
            snapshot: snapshot.unwrap_or_default(),
            ..PersistentState::default()
        };
        let valid_bytes = replay(&path, &bytes, &mut persistent_state)?;
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .context(&*path)?;
        let truncated_bytes = bytes.len() as u64 - valid_bytes;
        log.set_len(valid_bytes).context(&*path)?;
        log.seek(SeekFrom::End(0)).context(&*path)?;
        log.sync_all().context(&*path)?;
        sync_folder(folder)?;
        let files = Self { folder: folder.to_path_buf(), log, log_bytes: valid_bytes };
        Ok((files, RecoveredState { persistent_state, truncated_bytes }))
    }

    /// Appends a record with the hard state and entries to the log and syncs it.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or the sync fails. The replica must stop then, because the
    /// content of the log on disk is unknown.
    pub fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
    ) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(&LogRecord { hard_state, entries })?;
        if payload.len() > frame::MAX_PAYLOAD_BYTES {
            return Err(StorageError::TooLarge(payload.len()));
        }
        let bytes = frame::encode(&payload);
        let path = self.folder.join(LOG_FILE);
        self.log.write_all(&bytes).context(&*path)?;
        self.log.sync_data().context(&*path)?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot, and the log by one that holds the hard state and the entries after
    /// the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or a sync fails. The replica must stop then, because the content
    /// of the files on disk is unknown.
    pub fn replace(&mut self, persistent_state: &PersistentState) -> Result<(), StorageError> {
        write_single_frame(&self.folder, SNAPSHOT_FILE, &persistent_state.snapshot)?;
        let record = LogRecord {
            hard_state: Some(persistent_state.hard_state),
            entries: persistent_state.entries.clone(),
        };
        self.log_bytes = write_single_frame_sized(&self.folder, LOG_FILE, &record)?;
        let path = self.folder.join(LOG_FILE);
        self.log = OpenOptions::new().append(true).open(&path).context(&*path)?;
        Ok(())
    }

    /// Returns the size of the log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
}

/// Applies the records of a log to `persistent_state`. Returns the length of the log without a torn
/// record.
fn replay(
    path: &Path,
    bytes: &[u8],
    persistent_state: &mut PersistentState,
) -> Result<u64, StorageError> {
    let mut offset = 0;
    let mut snapshot_match = SnapshotMatch::Unknown;
    while offset < bytes.len() {
        let damaged = || StorageError::Damaged(path.to_path_buf(), offset as u64);
        match frame::decode(bytes, offset) {
            Frame::Complete { payload, next_offset } => {
                let record: LogRecord = postcard::from_bytes(payload).map_err(|_| damaged())?;
                apply_record(persistent_state, record, &mut snapshot_match).ok_or_else(damaged)?;
                offset = next_offset;
            }
            Frame::Torn => return Ok(offset as u64),
            Frame::Damaged => return Err(damaged()),
        }
    }
    Ok(offset as u64)
}

/// Whether the log has the last entry that the snapshot covers with the same term.
///
/// A crash between the two renames of [`ReplicaFiles::replace`] leaves the new snapshot with the
/// old log. The later entries of that log may conflict with the snapshot and must be dropped then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SnapshotMatch {
    /// No such entry has been read; the log may start after the snapshot.
    Unknown,
    /// The terms are equal.
    Matches,
    /// The terms differ.
    Conflicts,
}

/// Applies a record to `persistent_state`. Returns `None` if the indexes of its entries leave a
/// gap.
fn apply_record(
    persistent_state: &mut PersistentState,
    record: LogRecord,
    snapshot_match: &mut SnapshotMatch,
) -> Option<()> {
    if let Some(hard_state) = record.hard_state {
        persistent_state.hard_state = hard_state;
    }
    let snapshot_index = persistent_state.snapshot.index;
    for entry in record.entries {
        if entry.index == snapshot_index {
            let is_same_term = entry.term == persistent_state.snapshot.term;
            *snapshot_match =
                if is_same_term { SnapshotMatch::Matches } else { SnapshotMatch::Conflicts };
            persistent_state.entries.clear();
        }
        let Some(position) = entry.index.checked_sub(snapshot_index + 1) else {
            continue;
        };
        if *snapshot_match == SnapshotMatch::Conflicts {
            continue;
        }
        if position > persistent_state.entries.len() as u64 {
            return None;
        }
        persistent_state.entries.truncate(position as usize);
        persistent_state.entries.push(entry);
    }
    Some(())
}

/// Returns the content of a file, or `None` if the file does not exist.
fn read_optional(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(StorageError::Io(path.to_path_buf(), error)),
    }
}

/// Reads a file of one frame. Such a file is renamed to its final name after the sync, so a torn
/// frame is damage.
fn read_single_frame<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let Some(bytes) = read_optional(path)? else {
        return Ok(None);
    };
    let damaged = |offset: usize| StorageError::Damaged(path.to_path_buf(), offset as u64);
    match frame::decode(&bytes, 0) {
        Frame::Complete { payload, next_offset } if next_offset == bytes.len() => {
            postcard::from_bytes(payload).map(Some).map_err(|_| damaged(0))
        }
        Frame::Complete { next_offset, .. } => Err(damaged(next_offset)),
        Frame::Torn | Frame::Damaged => Err(damaged(0)),
    }
}

fn write_single_frame<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<(), StorageError> {
    write_single_frame_sized(folder, name, value).map(drop)
}

/// Atomically replaces a file of one frame: writes and syncs a temporary file and renames it.
/// Returns its size in bytes.
fn write_single_frame_sized<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<u64, StorageError> {
    let payload = postcard::to_stdvec(value)?;
    if payload.len() > frame::MAX_PAYLOAD_BYTES {
        return Err(StorageError::TooLarge(payload.len()));
    }
    let bytes = frame::encode(&payload);
    let path = folder.join(name);
    let temporary = path.with_extension(TEMPORARY_EXTENSION);
    let mut file = File::create(&temporary).context(&*temporary)?;
    file.write_all(&bytes).context(&*temporary)?;
    file.sync_all().context(&*temporary)?;
    fs::rename(&temporary, &path).context(&*path)?;
    sync_folder(folder)?;
    Ok(bytes.len() as u64)
}

/// Syncs a folder, so that renamed and created files in it survive a crash.
fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).context(folder)?;
    handle.sync_all().context(folder)?;
    Ok(())
}
