//! The files of one replica and their recovery.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use consensus::{Entry, HardState, ReplicaId, Snapshot, Stored};
use quick_error::ResultExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::StorageError;
use crate::frame::{self, Frame};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
const TEMPORARY_SUFFIX: &str = "tmp";

/// One record of the log: everything of one sync.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LogRecord {
    hard_state: Option<HardState>,
    entries: Vec<Entry>,
}

/// What a folder holds.
#[derive(Debug)]
pub struct Recovered {
    /// State of the replica.
    pub stored: Stored,
    /// Bytes of a torn end that were cut.
    pub cut_bytes: u64,
}

/// Open files of one replica.
#[derive(Debug)]
pub struct ReplicaFiles {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
}

impl ReplicaFiles {
    /// Reads the identity that a folder belongs to, if it has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is damaged or cannot be read.
    pub fn read_identity(folder: &Path) -> Result<Option<ReplicaId>, StorageError> {
        read_single(&folder.join(IDENTITY_FILE))
    }

    /// Creates the folder where needed and gives it an identity.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be written.
    pub fn write_identity(folder: &Path, id: ReplicaId) -> Result<(), StorageError> {
        fs::create_dir_all(folder).context(folder)?;
        write_single(folder, IDENTITY_FILE, &id)
    }

    /// Opens the files, cutting a torn end of the log.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is damaged other than at a torn end, or cannot be read or written.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        fs::create_dir_all(folder).context(folder)?;
        let snapshot: Option<Snapshot> = read_single(&folder.join(SNAPSHOT_FILE))?;
        let path = folder.join(LOG_FILE);
        let bytes = read_optional(&path)?.unwrap_or_default();
        let mut stored = Stored { snapshot: snapshot.unwrap_or_default(), ..Stored::default() };
        let whole_bytes = replay(&path, &bytes, &mut stored)?;
        let mut log = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&path)
            .context(&*path)?;
        let cut_bytes = bytes.len() as u64 - whole_bytes;
        log.set_len(whole_bytes).context(&*path)?;
        log.seek(SeekFrom::End(0)).context(&*path)?;
        log.sync_all().context(&*path)?;
        sync_folder(folder)?;
        let files = Self { folder: folder.to_path_buf(), log, log_bytes: whole_bytes };
        Ok((files, Recovered { stored, cut_bytes }))
    }

    /// Appends and syncs election state and entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the write or the sync fails; the replica must not go on then.
    pub fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
    ) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(&LogRecord { hard_state, entries })?;
        if payload.len() > frame::MAX_FRAME_BYTES {
            return Err(StorageError::TooLarge(payload.len()));
        }
        let bytes = frame::encode(&payload);
        let path = self.folder.join(LOG_FILE);
        self.log.write_all(&bytes).context(&*path)?;
        self.log.sync_data().context(&*path)?;
        self.log_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the files by a snapshot and the log after it.
    ///
    /// # Errors
    ///
    /// Returns an error if a write or a sync fails; the replica must not go on then.
    pub fn replace(&mut self, stored: &Stored) -> Result<(), StorageError> {
        write_single(&self.folder, SNAPSHOT_FILE, &stored.snapshot)?;
        let record =
            LogRecord { hard_state: Some(stored.hard_state), entries: stored.entries.clone() };
        self.log_bytes = write_single_sized(&self.folder, LOG_FILE, &record)?;
        let path = self.folder.join(LOG_FILE);
        self.log = OpenOptions::new().append(true).open(&path).context(&*path)?;
        Ok(())
    }

    /// Returns the size of the log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }
}

fn replay(path: &Path, bytes: &[u8], stored: &mut Stored) -> Result<u64, StorageError> {
    let mut offset = 0;
    let mut base = BaseMatch::Unseen;
    while offset < bytes.len() {
        let damaged = || StorageError::Damaged(path.to_path_buf(), offset as u64);
        match frame::decode(bytes, offset) {
            Frame::Whole { payload, next_offset } => {
                let record: LogRecord = postcard::from_bytes(payload).map_err(|_| damaged())?;
                take_record(stored, record, &mut base).ok_or_else(damaged)?;
                offset = next_offset;
            }
            Frame::Torn => return Ok(offset as u64),
            Frame::Damaged => return Err(damaged()),
        }
    }
    Ok(offset as u64)
}

/// Whether the log agrees with the snapshot on the last entry that the snapshot covers.
///
/// A crash between the two renames of [`ReplicaFiles::replace`] leaves the new snapshot beside the
/// old log, whose later entries may belong to a history that the snapshot overruled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BaseMatch {
    Unseen,
    Agrees,
    Conflicts,
}

/// Applies a record. Returns nothing if its entries leave a gap.
fn take_record(stored: &mut Stored, record: LogRecord, base: &mut BaseMatch) -> Option<()> {
    if let Some(hard_state) = record.hard_state {
        stored.hard_state = hard_state;
    }
    let base_index = stored.snapshot.index;
    for entry in record.entries {
        if entry.index == base_index {
            let agrees = entry.term == stored.snapshot.term;
            *base = if agrees { BaseMatch::Agrees } else { BaseMatch::Conflicts };
            stored.entries.clear();
        }
        let Some(position) = entry.index.checked_sub(base_index + 1) else {
            continue;
        };
        if *base == BaseMatch::Conflicts {
            continue;
        }
        if position > stored.entries.len() as u64 {
            return None;
        }
        stored.entries.truncate(position as usize);
        stored.entries.push(entry);
    }
    Some(())
}

fn read_optional(path: &Path) -> Result<Option<Vec<u8>>, StorageError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(StorageError::Io(path.to_path_buf(), error)),
    }
}

/// Reads a file of one frame. Such a file is renamed into place, so it is never torn.
fn read_single<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let Some(bytes) = read_optional(path)? else {
        return Ok(None);
    };
    let damaged = |offset: usize| StorageError::Damaged(path.to_path_buf(), offset as u64);
    match frame::decode(&bytes, 0) {
        Frame::Whole { payload, next_offset } if next_offset == bytes.len() => {
            postcard::from_bytes(payload).map(Some).map_err(|_| damaged(0))
        }
        Frame::Whole { next_offset, .. } => Err(damaged(next_offset)),
        Frame::Torn | Frame::Damaged => Err(damaged(0)),
    }
}

fn write_single<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<(), StorageError> {
    write_single_sized(folder, name, value).map(drop)
}

/// Writes, syncs and renames a file of one frame. Returns its size in bytes.
fn write_single_sized<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<u64, StorageError> {
    let payload = postcard::to_stdvec(value)?;
    if payload.len() > frame::MAX_FRAME_BYTES {
        return Err(StorageError::TooLarge(payload.len()));
    }
    let bytes = frame::encode(&payload);
    let path = folder.join(name);
    let temporary = path.with_extension(TEMPORARY_SUFFIX);
    let mut file = File::create(&temporary).context(&*temporary)?;
    file.write_all(&bytes).context(&*temporary)?;
    file.sync_all().context(&*temporary)?;
    fs::rename(&temporary, &path).context(&*path)?;
    sync_folder(folder)?;
    Ok(bytes.len() as u64)
}

fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    let handle = File::open(folder).context(folder)?;
    handle.sync_all().context(folder)?;
    Ok(())
}
