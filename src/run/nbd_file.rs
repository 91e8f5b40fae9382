//! Reads the NBD file anew on SIGHUP, and tells whether it has been written since it was last read.

use super::catalogue::{Deploy, Shared};
use super::config::ConfigError;
use super::folder::{file_version, run_blocking, FileVersion};
use std::path::Path;

/// The NBD file as it was last read.
pub struct NbdFile {
    path: String,
    version: Option<FileVersion>,
    shared: Shared,
}

/// What came of reading the file.
pub enum Reread {
    /// It has been written since, or its content is another.
    Written(Shared),
    /// It is as it was when it was last read.
    Untouched(Shared),
    /// There is no file any more.
    Missing,
    /// It cannot be taken.
    Invalid(ConfigError),
    /// The thread that reads it is gone.
    Unread,
}

impl NbdFile {
    /// The file at `path`, which was read as `shared` a moment ago.
    pub async fn new(path: String, shared: Shared) -> Self {
        let version = version_of(path.clone()).await;
        NbdFile { path, version, shared }
    }

    /// Path of the file.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Reads the file.
    pub async fn reread(&mut self) -> Reread {
        // The version comes first: what is written while the file is read is news to the next reading.
        let version = version_of(self.path.clone()).await;
        let path = self.path.clone();
        let shared = match run_blocking(move || Deploy::load(&path)).await {
            Some(Ok(Some(deploy))) => deploy.shared,
            Some(Ok(None)) => return Reread::Missing,
            Some(Err(error)) => return Reread::Invalid(error),
            None => return Reread::Unread,
        };
        if version.is_some() && version == self.version && shared == self.shared {
            return Reread::Untouched(shared);
        }
        (self.version, self.shared) = (version, shared.clone());
        Reread::Written(shared)
    }
}

async fn version_of(path: String) -> Option<FileVersion> {
    run_blocking(move || file_version(Path::new(&path))).await.flatten()
}
