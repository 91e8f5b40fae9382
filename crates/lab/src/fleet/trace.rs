//! What a process has read from the network, as the library of faults notes it: which requests it has read whole.

use std::collections::BTreeMap;

/// The length that stands for the close of a descriptor.
const CLOSED: u32 = u32::MAX;

/// All that was read on a connection, in its order.
#[derive(Debug, Default)]
struct Connection {
    bytes: Vec<u8>,
    /// How much was there, and when, in milliseconds since the machine started.
    reads: Vec<(usize, u32)>,
}

/// All that was read on each connection.
#[derive(Debug, Default)]
pub struct Trace {
    connections: Vec<Connection>,
}

/// Bytes of a record before what was read.
const HEAD: usize = 12;

impl Trace {
    /// Takes the records apart: a descriptor, a length, and as many bytes. The last may be cut off.
    pub fn decode(mut text: &[u8]) -> Self {
        let mut trace = Trace::default();
        let mut open: BTreeMap<u32, usize> = BTreeMap::new();
        let number = |bytes: &[u8]| u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
        while text.len() >= HEAD {
            let (descriptor, at_ms, length) = (number(text), number(&text[4..]), number(&text[8..]));
            text = &text[HEAD..];
            if length == CLOSED {
                open.remove(&descriptor);
                continue;
            }
            let Some(bytes) = text.get(..length as usize) else { break };
            text = &text[length as usize..];
            let place = *open.entry(descriptor).or_insert_with(|| {
                trace.connections.push(Connection::default());
                trace.connections.len() - 1
            });
            let connection = &mut trace.connections[place];
            connection.bytes.extend_from_slice(bytes);
            connection.reads.push((connection.bytes.len(), at_ms));
        }
        trace
    }

    /// On how many connections all of these bytes were read in one piece by a time, in milliseconds since the machine started.
    pub fn times_read(&self, bytes: &[u8], by_ms: u32) -> usize {
        self.connections.iter().filter(|connection| connection.has_read(bytes, by_ms)).count()
    }
}

impl Connection {
    fn has_read(&self, bytes: &[u8], by_ms: u32) -> bool {
        let place = self.bytes.windows(bytes.len()).position(|window| window == bytes);
        let whole = place.map(|place| place + bytes.len());
        let when = whole.and_then(|whole| self.reads.iter().find(|(length, _)| *length >= whole));
        when.is_some_and(|(_, at_ms)| *at_ms <= by_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(descriptor: u32, length: u32, bytes: &[u8]) -> Vec<u8> {
        [&descriptor.to_le_bytes()[..], &9_u32.to_le_bytes()[..], &length.to_le_bytes()[..], bytes].concat()
    }

    #[test]
    fn what_came_in_pieces_is_found_and_what_came_on_two_connections_is_not() {
        let text = [
            record(7, 2, b"re"),
            record(8, 3, b"abc"),
            record(7, 4, b"ques"),
            record(8, CLOSED, b""),
            record(8, 3, b"def"),
            record(7, 9, b"t"),
        ];
        let trace = Trace::decode(&text.concat());
        assert_eq!(
            (trace.times_read(b"reques", 9), trace.times_read(b"request", 9)),
            (1, 0),
            "the last is cut off"
        );
        assert_eq!((trace.times_read(b"def", 9), trace.times_read(b"cd", 9)), (1, 0));
        assert_eq!(trace.times_read(b"def", 8), 0, "it was read later");
    }
}
