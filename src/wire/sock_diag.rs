//! Encodes queries to a `NETLINK_SOCK_DIAG` socket and decodes the kernel's replies, which tell how long ago data was last
//! received on a TCP connection. Source of the formats: the system headers `linux/netlink.h`, `linux/inet_diag.h` and
//! `linux/tcp.h`. Numbers are in native byte order, except for ports, which are in network byte order.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Netlink protocol number of socket diagnostics.
pub const NETLINK_SOCK_DIAG: i32 = 4;
/// Longest reply to one query, in bytes.
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
/// Size of `struct nlmsghdr` in bytes.
const HEAD: usize = 16;
/// Size of `struct inet_diag_msg` in bytes.
const MESSAGE: usize = 72;
/// Size of `struct rtattr` in bytes. Attributes are aligned to multiples of it.
const ATTRIBUTE: usize = 4;
/// Offset in bytes of `tcpi_last_data_recv` in `struct tcp_info`. The field holds milliseconds.
const LAST_DATA_RECEIVED: usize = 52;

/// Encodes the query for one connection, identified by its `local` and `remote` addresses.
pub fn encode(sequence: u32, local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let mut body = vec![FAMILIES[usize::from(local.is_ipv6())], TCP, 1 << (INFO - 1), 0];
    body.extend(u32::MAX.to_ne_bytes()); // Matches any state of the connection.
    body.extend(local.port().to_be_bytes());
    body.extend(remote.port().to_be_bytes());
    body.extend(octets(local.ip()));
    body.extend(octets(remote.ip()));
    body.extend([0; 4]); // Matches any interface.
    body.extend([u8::MAX; 8]); // `INET_DIAG_NOCOOKIE`: matches any socket cookie.
    let length = (HEAD + body.len()) as u32;
    let mut bytes = length.to_ne_bytes().to_vec();
    bytes.extend(BY_FAMILY.to_ne_bytes());
    bytes.extend(REQUEST.to_ne_bytes());
    bytes.extend(sequence.to_ne_bytes());
    bytes.extend([0; 4]); // Sender port id 0: unspecified.
    bytes.extend(body);
    bytes
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

/// Decodes the reply to the query numbered `sequence`: how long ago data was last received. Returns `None` for any other
/// or malformed reply.
pub fn decode(sequence: u32, bytes: &[u8]) -> Option<Duration> {
    let length = u32_at(bytes, 0)? as usize;
    let kind = u16_at(bytes, 4)?;
    if kind != BY_FAMILY || u32_at(bytes, 8)? != sequence {
        return None;
    }
    let mut rest = bytes.get(HEAD + MESSAGE..length)?;
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

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    bytes.get(at..at + 2).and_then(|field| field.try_into().ok()).map(u16::from_ne_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4).and_then(|field| field.try_into().ok()).map(u32::from_ne_bytes)
}

#[cfg(test)]
mod tests;
