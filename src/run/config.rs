//! What a broker is told at its start: the environment and the file it names.

use super::cluster;
use super::settings::{self, Start};
use crate::wire::discovery::Listing;
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;

/// Where the NBD front's file is, from the root of the repository.
const NBD_FILE: &str = "deploy/nbd.toml";

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable is missing.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// A variable should be a number.
    #[error("{0} is {1}, not the number of a descriptor")]
    Number(&'static str, String),
    /// The cluster's file.
    #[error("{0}")]
    Cluster(String),
    /// A file could not be read.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What reading it said.
        error: std::io::Error,
    },
    /// A file holds something else than it should.
    #[error("{path}: {reason}")]
    Content {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
}

/// Limits of the deployment.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Memory of all processes.
    pub memory_mb: usize,
    /// Descriptors of all processes.
    pub sockets: usize,
}

impl Default for Bounds {
    /// The least that the platform gives.
    fn default() -> Self {
        Bounds { memory_mb: 192, sockets: 1024 }
    }
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Bounds,
    known: Option<Listing>,
    settings: Value,
}

/// All that a broker is told.
pub struct Config {
    /// The file that most of it was read from.
    pub path: String,
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery is.
    pub discovery: String,
    /// Where the operators' calls come, if anywhere.
    pub admin: Option<String>,
    /// Folder in which a process finds what the one before it left.
    pub folder: Option<PathBuf>,
    /// For random numbers; new at each start.
    pub seed: u64,
    /// Limits of the deployment.
    pub limits: Bounds,
    /// The list of nodes as it was last had.
    pub known: Option<Listing>,
    /// Settings of the scheduler and names.
    pub start: Start,
    /// The same as they stand in the file.
    pub text: Value,
    /// The file that says what the NBD front serves.
    pub nbd_file: String,
    /// The cluster that this broker belongs to, if any.
    pub cluster: Option<cluster::File>,
}

/// Reads a whole file as text.
pub fn read_file(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError::File { path: path.to_string(), error })
}

impl File {
    /// Reads the file, and the settings in it.
    fn read(path: &str) -> Result<(Self, Start), ConfigError> {
        let content = |reason: String| ConfigError::Content { path: path.to_string(), reason };
        let file: File = serde_json::from_str(&read_file(path)?).map_err(|e| content(e.to_string()))?;
        let start = settings::from_json(&file.settings).map_err(content)?;
        Ok((file, start))
    }
}

/// What may change while the broker runs.
pub struct Reread {
    /// Where discovery is, if the file says so.
    pub discovery: Option<String>,
    /// The settings.
    pub start: Start,
    /// The same as they stand in the file.
    pub text: Value,
}

/// Reads the file anew; `before` are the settings in force. The file must be whole: of half a file nothing is taken.
/// Here it comes before the environment, which cannot be changed from outside.
pub fn reread(path: &str, before: &Value) -> Result<Reread, ConfigError> {
    let (file, start) = File::read(path)?;
    if let Some(key) = settings::missing(before, &file.settings) {
        return Err(ConfigError::Content { path: path.to_string(), reason: format!("{key} is missing") });
    }
    Ok(Reread { discovery: file.discovery, start, text: file.settings })
}

impl Config {
    /// Reads the environment, whose variables come before what the file says.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let path = var("RELAY_CONFIG").ok_or(ConfigError::Missing("RELAY_CONFIG"))?;
        let (file, start) = File::read(&path)?;
        Ok(Config {
            path,
            name: var("RELAY_NAME").or(file.name).unwrap_or_default(),
            listen: var("RELAY_LISTEN").or(file.listen).ok_or(ConfigError::Missing("RELAY_LISTEN"))?,
            discovery: var("RELAY_DISCOVERY")
                .or(file.discovery)
                .ok_or(ConfigError::Missing("RELAY_DISCOVERY"))?,
            admin: var("RELAY_ADMIN").or(file.admin).filter(|address| !address.is_empty()),
            folder: var("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from),
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| u64::from(std::process::id())),
            limits: file.limits,
            known: file.known,
            start,
            text: file.settings,
            nbd_file: var("CLAYWINCH_NBD").unwrap_or_else(|| NBD_FILE.to_string()),
            cluster: match var("CLAYWINCH_CLUSTER").filter(|path| !path.is_empty()) {
                Some(path) => Some(cluster::File::read(&path).map_err(ConfigError::Cluster)?),
                None => None,
            },
        })
    }
}
