//! Asks the kernel through netlink `sock_diag` how long the data on a connection has waited. This is used only for connections
//! that were made while no process accepted, whose arrival this process could not observe.

use crate::wire::sock_diag::{decode, encode, MAX_REPLY_BYTES, NETLINK_SOCK_DIAG};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{Error, Read, Result, Write};
use std::time::Duration;
use tokio::net::TcpStream;

/// Attempts for a query that fails with a transient error.
const TRIES: usize = 3;

/// Queries the age of received data; the netlink socket is opened with the first query.
#[derive(Debug, Default)]
pub struct SocketAges {
    socket: Option<Socket>,
    sequence: u32,
    /// Whether this system does not support the query.
    unavailable: bool,
}

impl SocketAges {
    /// Returns how long ago the last data arrived on a connection, or `None` if the system does not report it.
    pub fn since_data(&mut self, stream: &TcpStream) -> Option<Duration> {
        for _ in 0..TRIES {
            if self.unavailable {
                return None;
            }
            match self.query(stream) {
                Ok(age) => return age,
                Err(error) if is_unsupported(&error) => {
                    tracing::info!(%error, "the kernel does not report how long requests have waited");
                    self.unavailable = true;
                }
                Err(error) => {
                    tracing::debug!(%error, "query for the waiting time of a request failed; retrying")
                }
            }
        }
        None
    }

    fn query(&mut self, stream: &TcpStream) -> Result<Option<Duration>> {
        // A connection that was reset meanwhile has no peer address.
        let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else { return Ok(None) };
        let mut socket = match self.socket.take() {
            Some(socket) => socket,
            None => open()?,
        };
        self.sequence = self.sequence.wrapping_add(1);
        socket.write_all(&encode(self.sequence, local, remote))?;
        // The kernel answers synchronously: the reply is available once the query is written.
        let mut text = [0; MAX_REPLY_BYTES];
        let length = socket.read(&mut text)?;
        self.socket = Some(socket);
        Ok(decode(self.sequence, &text[..length]))
    }
}

/// Whether an error shows that this system does not support the query, as opposed to a transient failure.
fn is_unsupported(error: &Error) -> bool {
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
