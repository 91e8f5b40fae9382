//! The configuration of a broker: environment variables and the configuration file that they name.

use super::cluster;
use super::settings::{self, Start};
use crate::wire::discovery::Listing;
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;

/// Default path of the NBD front's configuration, relative to the root of the repository.
const NBD_FILE: &str = "deploy/nbd.toml";

/// The errors of an invalid configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{0} is not set")]
    Missing(&'static str),
    /// An environment variable does not name a descriptor.
    #[error("{0} is {1}, not the number of a descriptor")]
    Number(&'static str, String),
    /// The cluster's configuration file is invalid.
    #[error("{0}")]
    Cluster(String),
    /// A file could not be read.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: String,
        /// The error of reading it.
        error: std::io::Error,
    },
    /// A file has invalid content.
    #[error("{path}: {reason}")]
    Content {
        /// Path of the file.
        path: String,
        /// What is invalid, with the path of the key.
        reason: String,
    },
}

/// Resource limits of the deployment.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Memory of all processes of the broker, in MiB.
    pub memory_mb: usize,
    /// Descriptors of all processes of the broker.
    pub sockets: usize,
}

impl Default for Bounds {
    /// The smallest limits that the platform sets.
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

/// The complete configuration of a broker.
pub struct Config {
    /// Path of the configuration file.
    pub path: String,
    /// Name of the broker.
    pub name: String,
    /// Address on which the broker listens for clients.
    pub listen: String,
    /// Address of the discovery service.
    pub discovery: String,
    /// Address on which the broker listens for operators' calls, if configured.
    pub admin: Option<String>,
    /// Folder of the hand-over file, through which a process passes its state to its successor.
    pub folder: Option<PathBuf>,
    /// Seed of the random numbers; different at each start.
    pub seed: u64,
    /// Resource limits of the deployment.
    pub limits: Bounds,
    /// The last known list of nodes.
    pub known: Option<Listing>,
    /// The scheduler's settings, and the names used in them.
    pub start: Start,
    /// The settings as JSON, as in the file.
    pub text: Value,
    /// Path of the NBD front's configuration.
    pub nbd_file: String,
    /// The cluster that this broker belongs to, if any.
    pub cluster: Option<cluster::File>,
}

/// Reads a file as text.
pub fn read_file(path: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|error| ConfigError::File { path: path.to_string(), error })
}

impl File {
    /// Reads the file and parses the settings in it.
    fn read(path: &str) -> Result<(Self, Start), ConfigError> {
        let content = |reason: String| ConfigError::Content { path: path.to_string(), reason };
        let file: File = serde_json::from_str(&read_file(path)?).map_err(|e| content(e.to_string()))?;
        let start = settings::from_json(&file.settings).map_err(content)?;
        Ok((file, start))
    }
}

/// The part of the configuration that may change while the broker runs.
pub struct Reread {
    /// Address of the discovery service, if the file names one.
    pub discovery: Option<String>,
    /// The settings.
    pub start: Start,
    /// The settings as JSON, as in the file.
    pub text: Value,
}

/// Reads the file again; `before` are the settings in force. A file that lacks one of their keys is rejected as incomplete.
/// On a reload the file takes precedence over the environment, which cannot change while the process runs.
pub fn reread(path: &str, before: &Value) -> Result<Reread, ConfigError> {
    let (file, start) = File::read(path)?;
    if let Some(key) = settings::missing(before, &file.settings) {
        return Err(ConfigError::Content { path: path.to_string(), reason: format!("{key} is missing") });
    }
    Ok(Reread { discovery: file.discovery, start, text: file.settings })
}

impl Config {
    /// Reads the environment and the configuration file. Environment variables take precedence over the file.
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
