//! What a socket holds at this moment, asked of the system itself, and what its errors say.
//!
//! The runtime's own word on whether a socket can be read is as old as its last look at all sockets. Whoever closes a
//! connection by a clock, or begins something on one that rested, must know what lies there now.

use std::io::{Error, ErrorKind};
use std::mem::MaybeUninit;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long to rest after an error that is_transient, so that it is not met again and again at once.
pub const RETRY_DELAY: Duration = Duration::from_millis(2);

/// What lies unread on a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing, and more may come.
    Nothing,
    /// Some bytes.
    Bytes,
    /// The other side's end, or an error.
    End,
}

/// Looks at what lies unread on a socket, and takes nothing of it.
pub fn unread(stream: &TcpStream) -> Unread {
    let mut byte = [MaybeUninit::uninit()];
    loop {
        return match socket2::SockRef::from(stream).peek(&mut byte) {
            Ok(1..) => Unread::Bytes,
            Ok(0) => Unread::End,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // Not known: whoever reads finds out.
            Err(error) if is_short_of_memory(&error) => Unread::Bytes,
            Err(error) if is_transient(&error) => Unread::Nothing,
            Err(_) => Unread::End,
        };
    }
}

/// The next connection on a listening socket, if there is one by now.
pub async fn try_accept(listener: &TcpListener) -> Option<std::io::Result<TcpStream>> {
    tokio::select! {
        biased;
        accepted = listener.accept() => Some(accepted.map(|(stream, _)| stream)),
        () = std::future::ready(()) => None,
    }
}

/// Whether an error of a read or a write says nothing about the connection: it works when tried again.
pub fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) || is_short_of_memory(error)
}

/// Whether the system had no memory for a moment: trying again at once would meet the same.
pub fn is_short_of_memory(error: &Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// What a connection that did not come up says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The other side said no, or nobody listens.
    Refused,
    /// It was waited for in vain, or the network has no way to that host.
    Unreachable,
    /// This machine could not try: no descriptor, port, memory or network. It says nothing about the other side.
    Local,
}

/// What an error of a connect says.
pub fn connect_failure(error: &Error) -> ConnectFailure {
    match error.raw_os_error() {
        Some(libc::ECONNREFUSED | libc::ECONNRESET) => ConnectFailure::Refused,
        Some(libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::EHOSTDOWN) => ConnectFailure::Unreachable,
        Some(_) => ConnectFailure::Local,
        // A text that is no address, as a list may hold one.
        None => ConnectFailure::Unreachable,
    }
}

#[cfg(test)]
mod tests;
