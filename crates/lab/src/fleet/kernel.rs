//! What the kernel tells of TCP. Its counters tell a request that waited in a broker from one whose handshake was dropped; they
//! are of the whole network namespace, so brokers that run beside one another share them. The state of one connection is asked for
//! by its two ends, which costs the same however many others there are.

use claywinch::wire::sock_diag::{encode, MAX_REPLY_BYTES, NETLINK_SOCK_DIAG};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{Error, Read, Result, Write};
use std::net::SocketAddr;

/// `SOCK_DIAG_BY_FAMILY`, the kind of an answer that tells of a connection.
const BY_FAMILY: u16 = 20;
/// `NLMSG_ERROR`, the kind of an answer that tells why there is none.
const ERROR: u16 = 2;
/// Where the error number, the connection's state and its remote port stand in an answer.
const ERROR_AT: usize = 16;
/// See `ERROR_AT`.
const STATE_AT: usize = 17;
/// See `ERROR_AT`.
const REMOTE_PORT_AT: usize = 22;

/// The state of a connection that a process of this machine holds, as the kernel numbers states: `TCP_ESTABLISHED` is 1. Nothing if
/// there is no such connection. `local` is the end that is asked for.
pub fn state_of(local: SocketAddr, remote: SocketAddr) -> Result<Option<u8>> {
    let protocol = Protocol::from(NETLINK_SOCK_DIAG);
    let domain = Domain::from(libc::AF_NETLINK);
    let mut socket = Socket::new(domain, Type::from(libc::SOCK_RAW), Some(protocol))?;
    socket.write_all(&encode(0, local, remote))?;
    let mut text = [0; MAX_REPLY_BYTES];
    let length = socket.read(&mut text)?;
    decode_state(&text[..length], remote.port())
}

/// Takes an answer apart. Where the connection is gone the kernel may tell of the listening socket in its place.
fn decode_state(text: &[u8], remote_port: u16) -> Result<Option<u8>> {
    let short = || Error::other("an answer that is cut off");
    let two = |at: usize| text.get(at..at + 2).and_then(|bytes| bytes.try_into().ok()).ok_or_else(short);
    match u16::from_ne_bytes(two(4)?) {
        BY_FAMILY if u16::from_be_bytes(two(REMOTE_PORT_AT)?) == remote_port => {
            text.get(STATE_AT).copied().map(Some).ok_or_else(short)
        }
        BY_FAMILY => Ok(None),
        ERROR => {
            let number = text.get(ERROR_AT..ERROR_AT + 4).and_then(|bytes| bytes.try_into().ok());
            match -i32::from_ne_bytes(number.ok_or_else(short)?) {
                libc::ENOENT => Ok(None),
                code => Err(Error::from_raw_os_error(code)),
            }
        }
        kind => Err(Error::other(format!("an answer of kind {kind}"))),
    }
}

/// Where Linux keeps its extended TCP counters.
const NETSTAT: &str = "/proc/net/netstat";

/// Handshakes and segments that were lost or sent again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TcpCounters {
    /// Handshakes that were dropped since a listening socket's accept queue was full.
    pub listen_overflows: u64,
    /// First segments of handshakes that were sent again.
    pub syn_retransmits: u64,
    /// Retransmission timers that ran out, on connections of any state.
    pub timeouts: u64,
}

impl TcpCounters {
    /// The counters now; zeros where the system has none.
    pub fn now() -> Self {
        Self::parse(&std::fs::read_to_string(NETSTAT).unwrap_or_default())
    }

    /// Takes the system's text apart: lines in pairs, the names above the numbers.
    fn parse(text: &str) -> Self {
        let lines: Vec<&str> = text.lines().collect();
        let pairs = lines.chunks_exact(2).filter(|pair| pair[0].starts_with("TcpExt:"));
        let values: BTreeMap<&str, u64> = pairs
            .flat_map(|pair| pair[0].split_whitespace().zip(pair[1].split_whitespace()))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        let value = |name: &str| values.get(name).copied().unwrap_or(0);
        TcpCounters {
            listen_overflows: value("ListenOverflows"),
            syn_retransmits: value("TCPSynRetrans"),
            timeouts: value("TCPTimeouts"),
        }
    }

    /// What was added since an earlier moment.
    pub fn since(&self, earlier: &Self) -> Self {
        TcpCounters {
            listen_overflows: self.listen_overflows - earlier.listen_overflows,
            syn_retransmits: self.syn_retransmits - earlier.syn_retransmits,
            timeouts: self.timeouts - earlier.timeouts,
        }
    }
}

impl fmt::Display for TcpCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TcpCounters { listen_overflows, syn_retransmits, timeouts } = self;
        write!(
            f,
            "{listen_overflows} listen overflows, {syn_retransmits} SYN retransmits, {timeouts} TCP timeouts"
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counters_are_found_by_name() {
        let text = "TcpExt: SyncookiesSent ListenOverflows TCPTimeouts TCPSynRetrans\nTcpExt: 9 3 7 5\nIpExt: InNoRoutes\nIpExt: 1\n";
        let counters = TcpCounters::parse(text);
        assert_eq!(counters, TcpCounters { listen_overflows: 3, syn_retransmits: 5, timeouts: 7 });
        let later = TcpCounters { listen_overflows: 4, ..counters };
        assert_eq!(later.since(&counters), TcpCounters { listen_overflows: 1, ..TcpCounters::default() });
        assert_eq!(TcpCounters::parse(""), TcpCounters::default());
    }
}
