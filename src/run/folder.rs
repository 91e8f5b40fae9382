//! Reads and writes the files in the folder that the processes of one broker share. These operations block if the file system
//! is slow, so once the broker serves they run on separate threads, see [`run_blocking`].
//!
//! The hand-over file is written under a temporary name and renamed into place, so a reader finds a complete file or none.

use crate::interface::Time;
use crate::state::handover::{Handover, Process, MAX_BYTES};
use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::{Error, ErrorKind, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval of the attempts to take a lock that another process holds.
const LOCK_RETRY: Duration = Duration::from_millis(10);
/// Largest number of attempts to take the lock before writing is postponed.
const MAX_LOCK_ATTEMPTS: usize = 30;

/// Runs blocking work on a separate thread. Returns `None` if the work panics or the runtime ends.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    tokio::task::spawn_blocking(work).await.ok()
}

/// Identifies a version of a file: its inode number and its modification time in seconds and nanoseconds.
pub type FileVersion = (u64, i64, i64);

/// Returns the version of the file at a path, if it exists.
pub fn file_version(path: &Path) -> Option<FileVersion> {
    std::fs::metadata(path).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
}

/// The result of checking the hand-over file.
#[derive(Debug, Default)]
pub struct FileState {
    /// The version of the file, if it exists.
    pub version: Option<FileVersion>,
    /// Its content, if it was read. After an error the content is unknown: the file may list other processes.
    pub content: Option<Result<Handover, Error>>,
    /// The processes listed in the file that are alive, without the calling one.
    pub living: BTreeSet<u64>,
}

impl FileState {
    /// Returns the content of the file, or an empty one if the file was not read or reading failed.
    pub fn handover(&self) -> Handover {
        match &self.content {
            Some(Ok(handover)) => handover.clone(),
            Some(Err(_)) | None => Handover::default(),
        }
    }
}

/// Reads the file for the process `own` that starts. Returns its content, and whether another process listed in it is alive. A
/// process that was killed is still listed, but it is not waited for.
pub fn inherit(path: &Path, own: u64) -> (Option<Handover>, bool) {
    let left = read(path);
    let lives = |p: &Process| p.id != own && (!p.locks || is_alive(path, p.id));
    let beside = left.as_ref().is_some_and(|left| left.processes.iter().any(lives));
    (left, beside)
}

/// Reads the file. If it cannot be read, this is logged and the broker starts without it.
pub fn read(path: &Path) -> Option<Handover> {
    read_file(path).unwrap_or_else(|error| {
        tracing::warn!(path = %path.display(), %error, "hand-over not read");
        None
    })
}

/// Reads the file. Returns `None` if it does not exist or is invalid. After an error its content is unknown: it may list other
/// processes.
fn read_file(path: &Path) -> std::io::Result<Option<Handover>> {
    let mut text = Vec::new();
    match File::open(path) {
        Ok(file) => file.take(MAX_BYTES as u64 + 1).read_to_end(&mut text)?,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let read = Handover::decode(&text);
    if let Err(reason) = &read {
        tracing::warn!(path = %path.display(), %reason, "hand-over not usable");
    }
    Ok(read.ok())
}

/// Checks the file for the process `own`. Reads it if its version differs from `before`, or if `always` is set.
pub fn check(path: &Path, own: u64, before: Option<FileVersion>, always: bool) -> FileState {
    let version = file_version(path);
    match version != before || always {
        true => FileState { version, ..read_state(path, own) },
        false => FileState { version, ..FileState::default() },
    }
}

/// Reads the file and determines which of its processes are alive. Leaves `version` empty.
fn read_state(path: &Path, own: u64) -> FileState {
    let content = read_file(path).map(Option::unwrap_or_default);
    let mut living = BTreeSet::new();
    if let Ok(handover) = &content {
        let others = handover.processes.iter().filter(|p| p.locks && p.id != own);
        living.extend(others.map(|p| p.id).filter(|id| is_alive(path, *id)));
    }
    FileState { version: None, content: Some(content), living }
}

/// Whether a process that was started after `own` is alive. It may already serve without having recorded this in the file.
pub fn is_followed(path: &Path, own: u64) -> bool {
    let state = read_state(path, own);
    state.handover().is_followed(own, |other| state.living.contains(&other))
}

/// The processes of this broker that were started before this one.
#[derive(Debug, Clone)]
pub struct Predecessors {
    /// The hand-over file.
    pub path: PathBuf,
    /// The id of this process.
    pub own: u64,
    /// When this process was started.
    pub started: Time,
}

impl Predecessors {
    /// Whether one of them may still be running. If the file cannot be read, that is so.
    pub fn may_run(&self, now: Time) -> bool {
        let lives = |id| is_alive(&self.path, id);
        match read_file(&self.path) {
            Ok(left) => left.unwrap_or_default().is_preceded((self.started, self.own), now, lives),
            Err(_) => true,
        }
    }
}

/// The lock for writing the file, with the file's content when the lock was taken.
#[derive(Debug)]
pub struct LockedFile {
    /// The lock; dropping it releases it.
    pub lock: File,
    /// The content of the file.
    pub state: FileState,
    /// Number of descriptors that this process has open, if the system reports it.
    pub held: Option<usize>,
}

/// The reason why the file cannot be locked.
#[derive(Debug)]
pub enum LockError {
    /// Another process held the lock during all attempts.
    Held,
    /// The folder cannot be written.
    Failed {
        /// The error of the system call.
        error: Error,
        /// Whether the file does not exist.
        no_file: bool,
    },
}

/// Locks the file for the process `own`, and reads it.
pub fn lock_and_read(path: &Path, own: u64) -> Result<LockedFile, LockError> {
    let lock = take_lock(&path.with_extension("lock"), MAX_LOCK_ATTEMPTS).map_err(|error| match error {
        TryLockError::WouldBlock => LockError::Held,
        TryLockError::Error(error) => LockError::Failed { error, no_file: file_version(path).is_none() },
    })?;
    let held = std::fs::read_dir("/proc/self/fd").ok().map(Iterator::count);
    Ok(LockedFile { lock, state: read_state(path, own), held })
}

/// Takes a lock, with the given number of attempts.
fn take_lock(path: &Path, tries: usize) -> Result<File, TryLockError> {
    for _ in 1..tries {
        match lock(path) {
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_RETRY),
            result => return result,
        }
    }
    lock(path)
}

/// Creates a lock file and locks it.
fn lock(path: &Path) -> Result<File, TryLockError> {
    let file = File::create(path).map_err(TryLockError::Error)?;
    file.try_lock().map(|()| file)
}

/// Takes the lock that shows that a process is alive. The kernel releases it when the process ends for any reason.
pub fn lock_as_alive(path: &Path, id: u64) -> Option<File> {
    lock(&alive_lock_path(path, id)).ok()
}

/// Returns the path of the lock file that shows that a process is alive.
fn alive_lock_path(path: &Path, id: u64) -> PathBuf {
    path.with_extension(format!("{id:x}.lives"))
}

/// Whether a process that took such a lock is alive.
fn is_alive(path: &Path, id: u64) -> bool {
    let file = match File::open(alive_lock_path(path, id)) {
        Ok(file) => file,
        // If the file cannot be opened, for instance for lack of descriptors, the process counts as alive: only a missing file
        // shows that it is not.
        Err(error) => return error.kind() != ErrorKind::NotFound,
    };
    if file.try_lock_shared().is_err() {
        return true;
    }
    // A process that was killed could not remove its lock file.
    let _ = std::fs::remove_file(alive_lock_path(path, id));
    false
}

/// Removes a process that ends from the file, so that no process waits for it. If the file cannot be locked, other processes
/// see from the released process lock that it has ended.
pub fn remove_process(path: &Path, id: u64) {
    let locked = take_lock(&path.with_extension("lock"), MAX_LOCK_ATTEMPTS).ok();
    if let Some(mut handover) = read(path).filter(|_| locked.is_some()) {
        handover.remove(id);
        write_file(path, id, &handover);
    }
    let _ = std::fs::remove_file(alive_lock_path(path, id));
}

/// Writes the file, then releases the lock. Returns whether writing succeeded, and whether no file exists afterwards.
pub async fn write_and_unlock(path: PathBuf, id: u64, handover: Handover, lock: File) -> (bool, bool) {
    let work = move || {
        let written = write_file(&path, id, &handover);
        drop(lock);
        (written, file_version(&path).is_none())
    };
    run_blocking(work).await.unwrap_or((false, false))
}

/// Writes the file under a temporary name and renames it into place. Returns whether that succeeded.
fn write_file(path: &Path, id: u64, handover: &Handover) -> bool {
    let temporary = path.with_extension(format!("{id:x}"));
    let replace =
        || std::fs::write(&temporary, handover.encode()).and_then(|()| std::fs::rename(&temporary, path));
    let written = replace();
    if let Err(error) = &written {
        tracing::warn!(path = %path.display(), %error, "hand-over not written");
        // A partial file would use disk space, which may be the reason for the failure.
        let _ = std::fs::remove_file(&temporary);
    }
    written.is_ok()
}

#[cfg(test)]
mod tests;
