//! Adopts the clients' listening socket if the platform holds it open and passes it to every process.

use super::config::ConfigError;
use super::error::{io, StartError};
use listenfd::ListenFd;
use std::net::TcpListener;

/// Environment variable with the number of the passed descriptor.
const PASSED: &str = "RELAY_PASSED_SOCKET";

/// Returns the passed listening socket, if there is one. Sets environment variables of this process, so it must be called
/// before any thread is started.
pub fn take(var: impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, StartError> {
    let Some(text) = var(PASSED).filter(|text| !text.trim().is_empty()) else { return Ok(None) };
    let number: Option<i32> = text.trim().parse().ok().filter(|number| *number > 2);
    let number = number.ok_or(ConfigError::Number(PASSED, text))?;
    // Sets the variables that systemd would set for one socket with this descriptor number.
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
