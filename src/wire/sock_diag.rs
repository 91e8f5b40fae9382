//! What the kernel tells of a TCP connection on a `NETLINK_SOCK_DIAG` socket: how long ago data came in last. Source: the system's
//! headers `linux/netlink.h`, `linux/inet_diag.h` and `linux/tcp.h`. Numbers are in the machine's byte order but for ports.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// The protocol of such sockets.
pub const NETLINK_SOCK_DIAG: i32 = 4;
/// Longest answer to one question.
pub const MAX_REPLY_BYTES: usize = 4096;

/// `SOCK_DIAG_BY_FAMILY`.
const BY_FAMILY: u16 = 20;
/// `NLM_F_REQUEST`.
const REQUEST: u16 = 1;
/// `IPPROTO_TCP`.
const TCP: u8 = 6;
/// `AF_INET` and `AF_INET6`.
const FAMILIES: [u8; 2] = [2, 10];
/// `INET_DIAG_INFO`, the attribute that carries `struct tcp_info`.
const INFO: u16 = 2;
/// Bytes of `struct nlmsghdr`.
const HEAD: usize = 16;
/// Bytes of `struct inet_diag_msg`.
const MESSAGE: usize = 72;
/// Bytes of `struct rtattr`; attributes begin at multiples of this.
const ATTRIBUTE: usize = 4;
/// Where `tcpi_last_data_recv` stands in `struct tcp_info`, in milliseconds.
const LAST_DATA_RECEIVED: usize = 52;

/// Asks for one connection by its two ends, of which `local` is on this side.
pub fn encode(sequence: u32, local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let mut body = vec![FAMILIES[usize::from(local.is_ipv6())], TCP, 1 << (INFO - 1), 0];
    body.extend(u32::MAX.to_ne_bytes()); // In whatever state it is.
    body.extend(local.port().to_be_bytes());
    body.extend(remote.port().to_be_bytes());
    body.extend(octets(local.ip()));
    body.extend(octets(remote.ip()));
    body.extend([0; 4]); // On whatever interface.
    body.extend([u8::MAX; 8]); // No cookie.
    let length = (HEAD + body.len()) as u32;
    let mut text = length.to_ne_bytes().to_vec();
    text.extend(BY_FAMILY.to_ne_bytes());
    text.extend(REQUEST.to_ne_bytes());
    text.extend(sequence.to_ne_bytes());
    text.extend([0; 4]); // From whatever port.
    text.extend(body);
    text
}

fn octets(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V6(address) => address.octets(),
        IpAddr::V4(address) => {
            let mut octets = [0; 16];
            octets[..4].copy_from_slice(&address.octets());
            octets
        }
    }
}

/// How long ago data came in last, by the answer to the question with that number; nothing if it says something else.
pub fn decode(sequence: u32, text: &[u8]) -> Option<Duration> {
    let length = u32_at(text, 0)? as usize;
    let kind = u16_at(text, 4)?;
    if kind != BY_FAMILY || u32_at(text, 8)? != sequence {
        return None;
    }
    let mut rest = text.get(HEAD + MESSAGE..length)?;
    loop {
        let length = usize::from(u16_at(rest, 0)?);
        let kind = u16_at(rest, 2)?;
        let content = rest.get(ATTRIBUTE..length)?;
        if kind == INFO {
            return u32_at(content, LAST_DATA_RECEIVED).map(|ms| Duration::from_millis(ms.into()));
        }
        rest = rest.get(length.next_multiple_of(ATTRIBUTE)..)?;
    }
}

fn u16_at(text: &[u8], at: usize) -> Option<u16> {
    text.get(at..at + 2).and_then(|bytes| bytes.try_into().ok()).map(u16::from_ne_bytes)
}

fn u32_at(text: &[u8], at: usize) -> Option<u32> {
    text.get(at..at + 4).and_then(|bytes| bytes.try_into().ok()).map(u32::from_ne_bytes)
}

#[cfg(test)]
mod tests;
