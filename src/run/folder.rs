//! The files in the folder that processes of one broker share. All of it may block for as long as the folder does, so it
//! runs on threads of its own once the broker serves: [`run_blocking`].
//!
//! The hand-over file is written aside and renamed into place, so a reader finds a whole one or none.

use crate::state::handover::{Handover, Process, MAX_BYTES};
use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::{Error, ErrorKind, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a lock is asked for that another process holds.
const LOCK_AGAIN: Duration = Duration::from_millis(10);
/// How often it is asked for at most before writing is put off.
const TRIES: usize = 30;

/// Runs what may block on a thread of its own. Nothing comes of it if it panics or the runtime ends.
pub async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    tokio::task::spawn_blocking(work).await.ok()
}

/// What tells one file from the next in its place: its number, and when it was last written.
pub type Place = (u64, i64, i64);

/// The file in its place, if there is one.
pub fn place(path: &Path) -> Option<Place> {
    std::fs::metadata(path).ok().map(|m| (m.ino(), m.mtime(), m.mtime_nsec()))
}

/// What a look at the file has shown.
#[derive(Debug, Default)]
pub struct Sight {
    /// The file that stands there.
    pub place: Option<Place>,
    /// What it holds, if it was read. An error says nothing of that: other processes may stand there.
    pub content: Option<Result<Handover, Error>>,
    /// Those of its processes that live, without the one that looks.
    pub living: BTreeSet<u64>,
}

impl Sight {
    /// What the file holds; nothing where it was not read or could not be.
    pub fn handover(&self) -> Handover {
        match &self.content {
            Some(Ok(handover)) => handover.clone(),
            Some(Err(_)) | None => Handover::default(),
        }
    }
}

/// What the file holds for a process `own` that starts, and whether another one that stands there lives. One that was killed
/// has left it, too, and is not waited for.
pub fn inherit(path: &Path, own: u64) -> (Option<Handover>, bool) {
    let left = read(path);
    let lives = |p: &Process| p.id != own && (!p.locks || lives(path, p.id));
    let beside = left.as_ref().is_some_and(|left| left.processes.iter().any(lives));
    (left, beside)
}

/// Reads the file. Whatever is wrong with it, the broker starts without it, and says so.
pub fn read(path: &Path) -> Option<Handover> {
    read_whole(path).unwrap_or_else(|error| {
        tracing::warn!(path = %path.display(), %error, "hand-over not read");
        None
    })
}

/// Reads the file, if there is one that is whole. An error says nothing of what it holds: other processes may stand there.
fn read_whole(path: &Path) -> std::io::Result<Option<Handover>> {
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

/// Looks at the file for the process `own`. It is read if another one stands in its place than `before`, or `always`.
pub fn look(path: &Path, own: u64, before: Option<Place>, always: bool) -> Sight {
    let place = place(path);
    match place != before || always {
        true => Sight { place, ..sight(path, own) },
        false => Sight { place, ..Sight::default() },
    }
}

fn sight(path: &Path, own: u64) -> Sight {
    let content = read_whole(path).map(Option::unwrap_or_default);
    let mut living = BTreeSet::new();
    if let Ok(handover) = &content {
        let others = handover.processes.iter().filter(|p| p.locks && p.id != own);
        living.extend(others.map(|p| p.id).filter(|id| lives(path, *id)));
    }
    Sight { place: None, content: Some(content), living }
}

/// Whether a process that came after `own` lives. It may serve already and not have said so in the file.
pub fn is_followed(path: &Path, own: u64) -> bool {
    let sight = sight(path, own);
    sight.handover().is_followed(own, |other| sight.living.contains(&other))
}

/// The lock under which the file is written, and what it held then.
#[derive(Debug)]
pub struct Taken {
    /// Let go of when it is dropped.
    pub lock: File,
    /// What the file holds.
    pub sight: Sight,
    /// Descriptors that this process holds, if the system tells.
    pub held: Option<usize>,
}

/// Why the file cannot be written now.
#[derive(Debug)]
pub enum NotTaken {
    /// Another process has held the lock all the time.
    Held,
    /// The folder does not work.
    Failed {
        /// What it said.
        error: Error,
        /// No file stands there.
        nothing_there: bool,
    },
}

/// Takes the lock on the file for the process `own`, and reads it.
pub fn take(path: &Path, own: u64) -> Result<Taken, NotTaken> {
    let lock = take_lock(&path.with_extension("lock"), TRIES).map_err(|error| match error {
        TryLockError::WouldBlock => NotTaken::Held,
        TryLockError::Error(error) => NotTaken::Failed { error, nothing_there: place(path).is_none() },
    })?;
    let held = std::fs::read_dir("/proc/self/fd").ok().map(Iterator::count);
    Ok(Taken { lock, sight: sight(path, own), held })
}

/// Asks for a lock so many times.
fn take_lock(path: &Path, tries: usize) -> Result<File, TryLockError> {
    for _ in 1..tries {
        match lock(path) {
            Err(TryLockError::WouldBlock) => std::thread::sleep(LOCK_AGAIN),
            taken => return taken,
        }
    }
    lock(path)
}

/// The lock on a file that is made for it.
fn lock(path: &Path) -> Result<File, TryLockError> {
    let file = File::create(path).map_err(TryLockError::Error)?;
    file.try_lock().map(|()| file)
}

/// Takes the lock that says that a process lives. It ends with the process, whatever ends that.
pub fn live(path: &Path, id: u64) -> Option<File> {
    lock(&living(path, id)).ok()
}

fn living(path: &Path, id: u64) -> PathBuf {
    path.with_extension(format!("{id:x}.lives"))
}

/// Whether a process that took such a lock lives.
fn lives(path: &Path, id: u64) -> bool {
    let file = match File::open(living(path, id)) {
        Ok(file) => file,
        // Without a descriptor left nothing is known, and who is not known to be dead lives.
        Err(error) => return error.kind() != ErrorKind::NotFound,
    };
    if file.try_lock_shared().is_err() {
        return true;
    }
    // Whoever died could not take it away.
    let _ = std::fs::remove_file(living(path, id));
    false
}

/// Takes a process that ends out of the file, so that nobody waits for it. If the lock is not to be had, the others see
/// by its own lock that it is gone.
pub fn leave(path: &Path, id: u64) {
    let locked = take_lock(&path.with_extension("lock"), TRIES).ok();
    if let Some(mut handover) = read(path).filter(|_| locked.is_some()) {
        handover.remove(id);
        put(path, id, &handover);
    }
    let _ = std::fs::remove_file(living(path, id));
}

/// Puts the file in its place, then lets go of the lock. Gives whether that worked, and whether no file stands there now.
pub async fn put_and_release(path: PathBuf, id: u64, handover: Handover, lock: File) -> (bool, bool) {
    let put = move || {
        let kept = put(&path, id, &handover);
        drop(lock);
        (kept, place(&path).is_none())
    };
    run_blocking(put).await.unwrap_or((false, false))
}

fn put(path: &Path, id: u64, handover: &Handover) -> bool {
    let aside = path.with_extension(format!("{id:x}"));
    let put = || std::fs::write(&aside, handover.encode()).and_then(|()| std::fs::rename(&aside, path));
    let kept = put();
    if let Err(error) = &kept {
        tracing::warn!(path = %path.display(), %error, "hand-over not written");
        // Half a file takes room that may be short.
        let _ = std::fs::remove_file(&aside);
    }
    kept.is_ok()
}

#[cfg(test)]
mod tests;
