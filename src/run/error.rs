//! Why a broker does not start, or does not go on.

use super::cluster::StoreError;
use super::config::ConfigError;
use crate::interface::SettingsError;
use crate::state::agreement::AgreementError;

/// Why a broker could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The scheduler's settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The agreement with peers.
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    /// What a voter of a cluster keeps.
    #[error("{path}: {error}")]
    Store {
        /// The file.
        path: String,
        /// What is wrong with it.
        error: StoreError,
    },
    /// A socket or a signal.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// What came of it.
        error: std::io::Error,
    },
}

pub(super) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> StartError {
    let what = what.into();
    move |error| StartError::Io { what, error }
}
