//! The clients' listening socket where the platform holds it and every process inherits it.

use super::config::ConfigError;
use super::error::{io, StartError};
use listenfd::ListenFd;
use std::net::TcpListener;

/// Names the descriptor.
const PASSED: &str = "RELAY_PASSED_SOCKET";

/// Takes the listening socket over, if there is one. Sets variables of this process, so it must be called before
/// any thread runs.
pub fn take(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, StartError> {
    let Some(text) = var(PASSED).filter(|text| !text.trim().is_empty()) else { return Ok(None) };
    let number: Option<i32> = text.trim().parse().ok().filter(|number| *number > 2);
    let number = number.ok_or(ConfigError::Number(PASSED, text))?;
    // What systemd would say of one socket at this number.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let taken = taken.and_then(|listener| match listener {
        Some(listener) => listener.set_nonblocking(true).map(|()| Some(listener)),
        None => Ok(None),
    });
    taken.map_err(io(format!("{PASSED} {number}")))
}
