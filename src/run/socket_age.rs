//! How long the data on a connection has waited, by the kernel's own count. It is asked only of connections that were made while
//! nobody accepted: no clock of this process saw them come.

use crate::wire::sock_diag::{decode, encode, MAX_REPLY_BYTES, NETLINK_SOCK_DIAG};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{Error, Read, Result, Write};
use std::time::Duration;
use tokio::net::TcpStream;

/// How many times a question is put that fails for a moment.
const TRIES: usize = 3;

/// A socket on which the kernel answers; opened with the first question.
#[derive(Debug, Default)]
pub struct SocketAges {
    socket: Option<Socket>,
    sequence: u32,
    /// This system does not answer.
    unavailable: bool,
}

impl SocketAges {
    /// How long ago the last data came in on a connection; nothing where the system does not tell.
    pub fn since_data(&mut self, stream: &TcpStream) -> Option<Duration> {
        for _ in 0..TRIES {
            if self.unavailable {
                return None;
            }
            match self.ask(stream) {
                Ok(age) => return age,
                Err(error) if is_refused(&error) => {
                    tracing::info!(%error, "the system does not tell how long requests have waited");
                    self.unavailable = true;
                }
                Err(error) => tracing::debug!(%error, "asked again how long a request has waited"),
            }
        }
        None
    }

    fn ask(&mut self, stream: &TcpStream) -> Result<Option<Duration>> {
        // One that was reset meanwhile has no other end.
        let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else { return Ok(None) };
        let mut socket = match self.socket.take() {
            Some(socket) => socket,
            None => open()?,
        };
        self.sequence = self.sequence.wrapping_add(1);
        socket.write_all(&encode(self.sequence, local, remote))?;
        // The kernel has answered when the question is written.
        let mut text = [0; MAX_REPLY_BYTES];
        let length = socket.read(&mut text)?;
        self.socket = Some(socket);
        Ok(decode(self.sequence, &text[..length]))
    }
}

/// Whether an error says that this system never answers, not just now.
fn is_refused(error: &Error) -> bool {
    let refusals = [
        libc::EAFNOSUPPORT,
        libc::EPROTONOSUPPORT,
        libc::ESOCKTNOSUPPORT,
        libc::EOPNOTSUPP,
        libc::EPERM,
        libc::EACCES,
        libc::ENOSYS,
        libc::EINVAL,
        libc::ENOENT,
    ];
    error.raw_os_error().is_some_and(|code| refusals.contains(&code))
}

fn open() -> Result<Socket> {
    let kind = Type::from(libc::SOCK_RAW);
    let protocol = Protocol::from(NETLINK_SOCK_DIAG);
    let socket = Socket::new(Domain::from(libc::AF_NETLINK), kind, Some(protocol))?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}
