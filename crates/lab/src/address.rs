//! Addresses on loopback, each given out once: also among test programs that run beside one another, whose brokers let go of
//! their addresses while they restart.

use socket2::{Domain, Socket, Type};
use std::io::{Error, ErrorKind, Result};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr, UnixListener};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::Mutex;

/// The first port: all lie below those that the system gives to connections, or one of them could take an address before it is
/// listened on.
const FIRST_PORT: u32 = 10_000;
/// How many ports there are.
const PORTS: u32 = 22_000;
/// How far apart the programs begin to look that the system numbers one after another.
const STRIDE: u32 = 97;

/// What this program has claimed: a name that no other one can have until this one ends.
static CLAIMS: Mutex<Vec<UnixListener>> = Mutex::new(Vec::new());

/// An address that nothing listens on and that no other program of these tests is given as long as this one runs.
pub fn free_address() -> Result<String> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number = std::process::id().wrapping_mul(STRIDE).wrapping_add(NEXT.fetch_add(1, Relaxed));
        let port = FIRST_PORT + number % PORTS;
        let Some(claim) = claim(port)? else { continue };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port as u16));
        if is_free(address)? {
            CLAIMS.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(claim);
            return Ok(address.to_string());
        }
    }
    Err(Error::new(ErrorKind::AddrInUse, "all addresses of the tests are taken"))
}

/// Whether nobody listens on an address. The look itself must not listen: a process that is being started meanwhile holds a copy
/// of the socket for a moment, which would take connections and reset them.
fn is_free(address: std::net::SocketAddr) -> Result<bool> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    match socket.bind(&address.into()) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == ErrorKind::AddrInUse => Ok(false),
        Err(error) => Err(error),
    }
}

/// Claims a port; nothing if another program has it.
fn claim(port: u32) -> Result<Option<UnixListener>> {
    let name = SocketAddr::from_abstract_name(format!("claywinch-test-port-{port}"))?;
    match UnixListener::bind_addr(&name) {
        Ok(claim) => Ok(Some(claim)),
        Err(error) if error.kind() == ErrorKind::AddrInUse => Ok(None),
        Err(error) => Err(error),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpListener, TcpStream};
    use std::process::Command;
    use std::sync::atomic::AtomicBool;

    /// Guards against connections that come up at an address on which nobody listens, and are reset: the copy of a socket that a
    /// process has which is being started.
    #[test]
    fn nobody_is_connected_at_an_address_that_was_just_given_out() {
        const LOOKS: usize = 300;
        static OVER: AtomicBool = AtomicBool::new(false);
        let starts = || {
            while !OVER.load(Relaxed) {
                let _ = Command::new("true").status();
            }
        };
        let starting: Vec<_> = (0..4).map(|_| std::thread::spawn(starts)).collect();
        let connects = |_: &usize| TcpStream::connect(free_address().expect("an address")).is_ok();
        let up = (0..LOOKS).filter(connects).count();
        OVER.store(true, Relaxed);
        starting.into_iter().for_each(|thread| thread.join().expect("a thread"));
        assert_eq!(up, 0);
    }

    /// Guards against an address that two programs are given, one of them while the other's broker restarts.
    #[test]
    fn an_address_that_is_claimed_is_not_given_out_though_nobody_listens() {
        let address = free_address().expect("an address");
        let port: u32 = address.rsplit(':').next().and_then(|port| port.parse().ok()).expect("a port");
        assert!(TcpListener::bind(&address).is_ok(), "nobody listens");
        assert!(claim(port).expect("a look").is_none(), "and nobody else may have it");
        assert_ne!(free_address().expect("an address"), address);
    }
}
