//! Listening sockets: creating or adopting them, and the length of their accept queues.

use super::error::{io, StartError};
use socket2::SockRef;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Requested length of the accept queue: the maximum, which the kernel limits to `net.core.somaxconn`. When the queue is full,
/// the kernel drops handshakes, and clients wait one second before they try again.
const ACCEPT_QUEUE: i32 = i32::MAX;
/// How long binding is retried while another process holds the address; longer than a process may take to end.
const BIND_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of these retries.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// Opens a listening socket on an address.
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

/// Opens a listening socket like [`listen`], but retries while the previous process may still hold the address.
pub async fn listen_soon(address: &str) -> Result<TcpListener, StartError> {
    let until = Instant::now() + BIND_TIMEOUT;
    listen_while(address, || Instant::now() < until).await
}

/// Opens a listening socket like [`listen`]; while another process holds the address, retries for as long as `waits` says.
pub async fn listen_while(address: &str, waits: impl Fn() -> bool) -> Result<TcpListener, StartError> {
    let mut logged = false;
    loop {
        match listen(address) {
            Err(StartError::Io { what, error }) if error.kind() == ErrorKind::AddrInUse && waits() => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::warn!(what, %error, "tried again until it is free");
                }
                tokio::time::sleep(BIND_RETRY).await;
            }
            listener => return listener,
        }
    }
}

/// Adopts a listening socket that another program created. Calls `listen` again, because the socket may have a shorter accept
/// queue or may not listen yet.
pub fn adopt(passed: std::net::TcpListener) -> Result<TcpListener, StartError> {
    if let Err(error) = SockRef::from(&passed).listen(ACCEPT_QUEUE) {
        tracing::warn!(%error, "cannot change the accept queue of the inherited socket");
    }
    TcpListener::from_std(passed).map_err(io("the inherited socket"))
}
