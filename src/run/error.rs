//! The errors with which a broker fails to start or to continue.

use super::cluster::StoreError;
use super::config::ConfigError;
use crate::interface::SettingsError;
use crate::state::agreement::AgreementError;

/// An error with which a broker fails to start or to continue.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The scheduler rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The agreement with the peers failed.
    #[error(transparent)]
    Agreement(#[from] AgreementError),
    /// The store of a cluster voter is not usable.
    #[error("{path}: {error}")]
    Store {
        /// Path of the store.
        path: String,
        /// The error of the store.
        error: StoreError,
    },
    /// A system call for a socket or a signal failed.
    #[error("{what}: {error}")]
    Io {
        /// The operation that failed.
        what: String,
        /// The error of the system call.
        error: std::io::Error,
    },
}

pub(super) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> StartError {
    let what = what.into();
    move |error| StartError::Io { what, error }
}
