//! The files of a member: its votes and log, and the change that it has proposed. Each is written to a new file that then
//! replaces the previous one.

use super::change::Change;
use super::pending::Pending;
use super::AgreementError;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState};
use std::ffi::OsString;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Maximum bytes of a record in the log file; a larger length means that the file is not a log of this program.
const MAX_RECORD_BYTES: u32 = 1 << 20;
/// Bytes of the checksum at the end of the file of the pending change.
const CHECKSUM_BYTES: usize = 4;

/// The files of a member.
#[derive(Debug, Clone)]
pub struct Store {
    log: PathBuf,
    pending: PathBuf,
}

impl Store {
    /// The files of the member whose log is at `log`.
    pub fn new(log: PathBuf) -> Self {
        let mut pending = OsString::from(&log);
        pending.push(".pending");
        Store { log, pending: pending.into() }
    }

    /// Writes the state and the log.
    pub fn save_log(&self, state: &HardState, entries: &[Entry]) -> Result<(), AgreementError> {
        let mut bytes = Vec::new();
        let messages = std::iter::once(state.write_to_bytes())
            .chain(entries.iter().map(protobuf::Message::write_to_bytes));
        for message in messages {
            let message = message.map_err(|e| raft::Error::Store(raft::StorageError::Other(e.into())))?;
            bytes.extend((message.len() as u32).to_be_bytes());
            bytes.extend(message);
        }
        replace(&self.log, &bytes)
    }

    /// Reads the state and the log; `None` if there is no file.
    pub fn load_log(&self) -> Result<Option<(HardState, Vec<Entry>)>, AgreementError> {
        let Some(bytes) = read(&self.log)? else { return Ok(None) };
        let damaged = || AgreementError::Damaged(self.log.display().to_string());
        let (mut state, mut log, mut rest) = (None, Vec::new(), &bytes[..]);
        while let Some((head, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head);
            if length > MAX_RECORD_BYTES || tail.len() < length as usize {
                return Err(damaged());
            }
            let (message, tail) = tail.split_at(length as usize);
            match state {
                None => state = Some(HardState::parse_from_bytes(message).map_err(|_| damaged())?),
                Some(_) => log.push(Entry::parse_from_bytes(message).map_err(|_| damaged())?),
            }
            rest = tail;
        }
        state.filter(|_| rest.is_empty()).map(|state| Some((state, log))).ok_or_else(damaged)
    }

    /// Writes the pending change, or removes its file if there is none.
    pub fn save_pending(&self, pending: Option<&Pending>) -> Result<(), AgreementError> {
        let Some(pending) = pending else { return remove(&self.pending) };
        let record = (pending.change, &pending.value[..]);
        let mut bytes = postcard::to_stdvec(&record).map_err(|_| self.damaged_pending())?;
        bytes.extend(crc32c::crc32c(&bytes).to_be_bytes());
        replace(&self.pending, &bytes)
    }

    /// Reads the pending change; `None` if there is no file.
    pub fn load_pending(&self) -> Result<Option<Pending>, AgreementError> {
        let Some(bytes) = read(&self.pending)? else { return Ok(None) };
        let damaged = || self.damaged_pending();
        let (record, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or_else(damaged)?;
        if u32::from_be_bytes(*checksum) != crc32c::crc32c(record) {
            return Err(damaged());
        }
        let (change, value): (Change, Vec<u8>) = postcard::from_bytes(record).map_err(|_| damaged())?;
        Ok(Some(Pending { change, value: value.into() }))
    }

    fn damaged_pending(&self) -> AgreementError {
        AgreementError::Damaged(self.pending.display().to_string())
    }
}

fn failed(path: &Path) -> impl FnOnce(std::io::Error) -> AgreementError + '_ {
    move |error| AgreementError::Store { path: path.display().to_string(), error }
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, AgreementError> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(failed(path)(error)),
    }
}

fn remove(path: &Path) -> Result<(), AgreementError> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(failed(path)(error)),
        _ => Ok(()),
    }
}

/// Writes a new file, then renames it over the previous one.
fn replace(path: &Path, bytes: &[u8]) -> Result<(), AgreementError> {
    let mut new = OsString::from(path);
    new.push(".new");
    let write = || -> std::io::Result<()> {
        let mut file = std::fs::File::create(&new)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, path)
    };
    write().map_err(failed(path))
}
