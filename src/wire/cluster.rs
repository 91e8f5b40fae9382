//! Packets between brokers, each a datagram: a byte for the version, the packet as postcard, and a CRC-32C over both.

use crate::state::membership::node::Packet;

/// The version that is spoken. A packet of another is dropped.
const VERSION: u8 = 1;
/// Most bytes of a datagram over IPv4, less the heads.
pub const MOST_DATAGRAM: usize = 65_507;
const SUM: usize = 4;

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

/// A packet as a datagram; nothing for one that is too long.
pub fn encode(packet: &Packet) -> Option<Vec<u8>> {
    let mut bytes = postcard::to_extend(packet, vec![VERSION]).ok()?;
    bytes.extend(crc32c::crc32c(&bytes).to_be_bytes());
    (bytes.len() <= MOST_DATAGRAM).then_some(bytes)
}

/// The packet of a datagram.
pub fn decode(datagram: &[u8]) -> Result<Packet, Garbage> {
    let (content, sum) = datagram.split_last_chunk::<SUM>().ok_or(Garbage::Length)?;
    let (version, packet) = content.split_first().ok_or(Garbage::Length)?;
    if *version != VERSION {
        return Err(Garbage::Version);
    }
    if u32::from_be_bytes(*sum) != crc32c::crc32c(content) {
        return Err(Garbage::Sum);
    }
    match postcard::take_from_bytes(packet) {
        Ok((packet, [])) => Ok(packet),
        _ => Err(Garbage::Content),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::membership::node::Body;
    use crate::state::membership::{Member, View, MOST_MEMBERS};

    fn packet(body: Body) -> Packet {
        let (cluster, from, address) = ("c".to_string(), "a".to_string(), "127.0.0.1:7000".to_string());
        Packet { cluster, from, address, life: 9, incarnation: 3, view: 4, body }
    }

    /// Guards against a datagram that was cut or spoiled and is taken for a packet.
    #[test]
    fn what_was_sent_is_read_and_each_cut_and_each_flip_is_garbage() {
        let bytes = encode(&packet(Body::Probe(77))).unwrap();
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

    #[test]
    fn the_largest_view_fits_a_datagram() {
        let member = |i: usize| Member {
            name: format!("broker-of-a-long-name-{i:05}"),
            address: "255.255.255.255:65535".to_string(),
            incarnation: u64::from(u32::MAX),
            life: u64::MAX,
        };
        let view = View { members: (0..MOST_MEMBERS).map(member).collect(), ..View::default() };
        assert!(encode(&packet(Body::View(view))).is_some());
    }
}
