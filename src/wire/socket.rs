//! Queries the kernel for unread data on a socket, and classifies socket errors.
//!
//! The runtime's readiness state of a socket is only as recent as its last poll of all sockets. Code that closes a
//! connection on a timer, or sends a request on an idle connection, needs to know whether unread data is present now.

use std::io::{Error, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay before a retry after a transient error, which prevents a busy loop.
pub const RETRY_DELAY: Duration = Duration::from_millis(2);

/// Unread data on a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// No data is unread, and the connection is open.
    Nothing,
    /// At least one byte is unread.
    Bytes,
    /// The peer has closed the connection, or the socket has an error.
    End,
}

/// Checks for unread data on a socket without consuming any.
pub fn unread(stream: &TcpStream) -> Unread {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        return match socket2::SockRef::from(stream).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Ok(0) => Unread::End,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // The kernel lacks memory, so the state is unknown. `Bytes` makes the caller read, which tells.
            Err(error) if is_short_of_memory(&error) => Unread::Bytes,
            Err(error) if is_transient(&error) => Unread::Nothing,
            Err(_) => Unread::End,
        };
    }
}

/// Accepts a connection if one is waiting on the listening socket; otherwise returns `None` without waiting.
pub async fn try_accept(listener: &TcpListener) -> Option<std::io::Result<TcpStream>> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
        () = std::future::ready(()) => None,
    }
}

/// Whether a read or write error says nothing about the connection, so that the operation can be retried.
pub fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) || is_short_of_memory(error)
}

/// Whether the system is temporarily out of memory. An immediate retry would fail again.
pub fn is_short_of_memory(error: &Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Why a connection could not be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The peer refused or reset the connection, or no process listens.
    Refused,
    /// The attempt timed out, or the network has no route to that host.
    Unreachable,
    /// This machine could not try, for lack of a descriptor, port, memory or network. It says nothing about the peer.
    Local,
}

/// Classifies the error of a connect.
pub fn connect_failure(error: &Error) -> ConnectFailure {
    match error.raw_os_error() {
        Some(libc::ECONNREFUSED | libc::ECONNRESET) => ConnectFailure::Refused,
        Some(libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::EHOSTDOWN) => ConnectFailure::Unreachable,
        Some(_) => ConnectFailure::Local,
        // An error of name resolution: a list may contain a text that is not an address.
        None => ConnectFailure::Unreachable,
    }
}

#[cfg(test)]
mod tests;
