//! Packets between brokers, each a datagram: a byte for the version, the packet as postcard, and a CRC-32C over both. One
//! that is too long goes in parts, each a datagram with a head of its own.

use crate::interface::Time;
use crate::state::membership::node::Packet;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The version that is spoken. A packet of another is dropped.
const VERSION: u8 = 3;
/// Most bytes of a datagram over IPv4, less the heads.
pub const MOST_DATAGRAM: usize = 65_507;
const SUM: usize = 4;
/// Stands in the place of the version in a part of a packet.
const PARTED: u8 = 2;
/// Before what a part holds: that byte, the packet's number, the part's, and how many there are.
const HEAD: usize = 11;
/// Most bytes of a packet that a part holds.
const PART: usize = 32 * 1024;
/// Most bytes of a packet: what a view of [`MOST_MEMBERS`] and as many drains with the longest names takes, and more.
///
/// [`MOST_MEMBERS`]: crate::state::membership::MOST_MEMBERS
pub const MOST_PACKET: usize = 4 << 20;
const MOST_PARTS: usize = MOST_PACKET / PART;
/// Most packets that may be coming in parts at once: snapshots of other voters, of which there are four, and long deltas.
const MOST_OPEN: usize = 8;
/// How long the parts of a packet are waited for; whoever sent it sends it again.
const HELD: Time = 2_000_000;

/// Why a datagram is no packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Garbage {
    /// It is too short, or too long.
    #[error("bad length")]
    Length,
    /// Another version.
    #[error("another version")]
    Version,
    /// The checksum does not fit.
    #[error("bad checksum")]
    Sum,
    /// It does not hold a packet.
    #[error("not a packet")]
    Content,
}

/// A packet as datagrams: one, or parts of a packet that is too long for one, under a number that the sender has not used
/// before. Nothing for one over [`MOST_PACKET`].
pub fn encode(packet: &Packet, number: u64) -> Vec<Vec<u8>> {
    let sealed = |mut bytes: Vec<u8>| {
        bytes.extend(crc32c::crc32c(&bytes).to_be_bytes());
        bytes
    };
    match postcard::to_extend(packet, vec![VERSION]) {
        Ok(bytes) if bytes.len() + SUM <= MOST_DATAGRAM => vec![sealed(bytes)],
        Ok(bytes) if bytes.len() <= MOST_PACKET => {
            let parts = bytes.chunks(PART);
            let count = parts.len() as u8;
            let part = |(index, part): (usize, &[u8])| {
                let head = [&[PARTED][..], &number.to_be_bytes(), &[index as u8, count]].concat();
                sealed([&head, part].concat())
            };
            parts.enumerate().map(part).collect()
        }
        _ => Vec::new(),
    }
}

/// Packets of which some parts have come.
#[derive(Debug, Default)]
pub struct Parts {
    /// By sender, since a sender has one at a time: a newer one ends an older.
    open: BTreeMap<SocketAddr, Open>,
}

/// A packet that is not whole.
#[derive(Debug)]
struct Open {
    number: u64,
    since: Time,
    missing: usize,
    parts: Vec<Vec<u8>>,
}

impl Parts {
    /// Takes a datagram; gives the packet that it is, or that it makes whole.
    pub fn take(&mut self, now: Time, from: SocketAddr, datagram: &[u8]) -> Result<Option<Packet>, Garbage> {
        if datagram.first() != Some(&PARTED) {
            return decode(datagram).map(Some);
        }
        let content = check(datagram)?;
        let (head, part) = content.split_first_chunk::<HEAD>().ok_or(Garbage::Length)?;
        let [_, number @ .., index, count] = *head;
        let (number, index, count) = (u64::from_be_bytes(number), usize::from(index), usize::from(count));
        if index >= count || count > MOST_PARTS || part.is_empty() || part.len() > PART {
            return Err(Garbage::Content);
        }
        self.open.retain(|_, open| now - open.since < HELD);
        let known = self.open.get(&from).is_some_and(|o| o.number == number && o.parts.len() == count);
        if !known {
            if self.open.len() >= MOST_OPEN && !self.open.contains_key(&from) {
                // The one that has waited for longest may have lost a part.
                let oldest = self.open.iter().min_by_key(|(_, o)| o.since).map(|(from, _)| *from);
                oldest.map(|from| self.open.remove(&from));
            }
            let parts = vec![Vec::new(); count];
            self.open.insert(from, Open { number, since: now, missing: count, parts });
        }
        let Some(open) = self.open.get_mut(&from) else { return Ok(None) };
        if open.parts[index].is_empty() {
            open.parts[index] = part.to_vec();
            open.missing -= 1;
        }
        if open.missing > 0 {
            return Ok(None);
        }
        let whole = self.open.remove(&from).map(|open| open.parts.concat()).unwrap_or_default();
        read(&whole).map(Some)
    }
}

/// What a datagram holds before its checksum.
fn check(datagram: &[u8]) -> Result<&[u8], Garbage> {
    let (content, sum) = datagram.split_last_chunk::<SUM>().ok_or(Garbage::Length)?;
    match u32::from_be_bytes(*sum) == crc32c::crc32c(content) {
        true => Ok(content),
        false => Err(Garbage::Sum),
    }
}

/// The packet that stands behind a version.
fn read(content: &[u8]) -> Result<Packet, Garbage> {
    match content.split_first() {
        Some((&VERSION, packet)) => match postcard::take_from_bytes(packet) {
            Ok((packet, [])) => Ok(packet),
            _ => Err(Garbage::Content),
        },
        _ => Err(Garbage::Version),
    }
}

/// The packet of a datagram that holds a whole one.
pub fn decode(datagram: &[u8]) -> Result<Packet, Garbage> {
    if datagram.len() > SUM && !matches!(datagram[0], VERSION | PARTED) {
        return Err(Garbage::Version);
    }
    read(check(datagram)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::membership::node::Body;
    use crate::state::membership::{Member, View, MOST_DRAINS, MOST_MEMBERS};

    fn packet(body: Body) -> Packet {
        let (cluster, from, address) = ("c".to_string(), "a".to_string(), "127.0.0.1:7000".to_string());
        Packet { cluster, from, address, life: 9, incarnation: 3, view: 4, body }
    }

    /// Guards against a datagram that was cut or spoiled and is taken for a packet.
    #[test]
    fn what_was_sent_is_read_and_each_cut_and_each_flip_is_garbage() {
        let bytes = encode(&packet(Body::Probe(77)), 1).remove(0);
        assert_eq!(decode(&bytes), Ok(packet(Body::Probe(77))));
        for cut in 0..bytes.len() {
            assert!(decode(&bytes[..cut]).is_err());
        }
        for bit in 0..bytes.len() * 8 {
            let mut bytes = bytes.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert!(decode(&bytes).is_err());
        }
    }

    /// Guards against a length inside of a packet that makes room for more than came.
    #[test]
    fn a_packet_that_claims_more_than_it_holds_is_garbage() {
        let mut bytes = vec![VERSION, 255, 255, 255, 255, 15];
        bytes.extend(crc32c::crc32c(&bytes).to_be_bytes());
        assert_eq!(decode(&bytes), Err(Garbage::Content));
    }

    fn largest() -> Packet {
        let long = |i: usize| format!("{i:0>128}");
        let member = |i| Member { name: long(i), address: long(i), incarnation: u64::MAX, life: u64::MAX };
        let members = (0..MOST_MEMBERS).map(member).collect();
        let view = View { members, drains: (0..MOST_DRAINS).map(long).collect(), ..View::default() };
        packet(Body::Raft(postcard::to_stdvec(&view).expect("a view")))
    }

    /// Guards against a cluster that stops growing, or a drain that is dropped, because its view no longer fits a datagram;
    /// and against parts that are lost, doubled, out of order, or of another packet.
    #[test]
    fn the_largest_view_goes_in_parts_that_come_in_any_order() {
        let (whole, at) = (largest(), "127.0.0.1:7000".parse().expect("an address"));
        let datagrams = encode(&whole, 7);
        assert!(datagrams.len() > 2 && datagrams.iter().all(|d| d.len() <= MOST_DATAGRAM));
        let mut parts = Parts::default();
        assert_eq!(parts.take(0, at, &encode(&whole, 6)[0]), Ok(None), "one before it, cut off");
        for datagram in datagrams.iter().rev().skip(1).chain(datagrams.iter().skip(1).rev().skip(1)) {
            assert_eq!(parts.take(1, at, datagram), Ok(None));
        }
        let last = datagrams.last().expect("some");
        assert_eq!(parts.take(2, at, last), Ok(Some(whole)));
        assert!(parts.open.is_empty());
        for cut in (0..last.len()).step_by(97) {
            assert!(parts.take(3, at, &last[..cut]).is_err(), "{cut}");
        }
        for bit in (0..last.len() * 8).step_by(211) {
            let mut spoiled = last.clone();
            spoiled[bit / 8] ^= 1 << (bit % 8);
            assert!(parts.take(3, at, &spoiled).is_err(), "{bit}");
        }
        assert!(parts.open.is_empty());
    }

    /// Guards against parts that never become whole and fill the memory.
    #[test]
    fn what_is_not_whole_is_bounded_and_ends() {
        let first = encode(&largest(), 1).remove(0);
        let mut parts = Parts::default();
        for port in 1..200 {
            assert_eq!(parts.take(0, SocketAddr::from(([127, 0, 0, 1], port)), &first), Ok(None));
        }
        assert_eq!(parts.open.len(), MOST_OPEN);
        let _ = parts.take(HELD, SocketAddr::from(([127, 0, 0, 1], 1)), &first);
        assert_eq!(parts.open.len(), 1);
        let over = packet(Body::Raft(vec![0; MOST_PACKET]));
        assert!(encode(&over, 1).is_empty());
    }
}
