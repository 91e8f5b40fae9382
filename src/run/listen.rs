//! Listening sockets: how they are made or taken over, and how many connections the kernel may hold for them.

use super::error::{io, StartError};
use socket2::SockRef;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the kernel may hold until they are accepted: as many as the system allows, which cuts this down to
/// `net.core.somaxconn`. Where this queue is full the kernel drops handshakes, and clients wait a second for the next try.
const ACCEPT_QUEUE: i32 = i32::MAX;
/// How long an address that another process holds is waited for: longer than one may take to end.
const ADDRESS_TAKEN: Duration = Duration::from_secs(4);
/// How often it is asked for.
const ADDRESS_AGAIN: Duration = Duration::from_millis(20);

/// Listens on an address.
pub fn listen(address: &str) -> Result<TcpListener, StartError> {
    let bind = || -> std::io::Result<TcpListener> {
        let address: std::net::SocketAddr = address.parse().map_err(std::io::Error::other)?;
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_QUEUE.unsigned_abs())
    };
    bind().map_err(io(format!("listening on {address}")))
}

/// The same where the process before this one may still be about to end and to let go of the address.
pub async fn listen_soon(address: &str) -> Result<TcpListener, StartError> {
    let until = Instant::now() + ADDRESS_TAKEN;
    loop {
        match listen(address) {
            Err(StartError::Io { what, error })
                if error.kind() == ErrorKind::AddrInUse && Instant::now() < until =>
            {
                tracing::warn!(what, %error, "tried again");
                tokio::time::sleep(ADDRESS_AGAIN).await;
            }
            listener => return listener,
        }
    }
}

/// Takes over a listening socket that somebody else has made. Its accept queue is as long as that one chose, or there is none
/// yet, so it is told to listen again.
pub fn adopt(passed: std::net::TcpListener) -> Result<TcpListener, StartError> {
    if let Err(error) = SockRef::from(&passed).listen(ACCEPT_QUEUE) {
        tracing::warn!(%error, "the accept queue of the inherited socket stays as it is");
    }
    TcpListener::from_std(passed).map_err(io("the inherited socket"))
}
