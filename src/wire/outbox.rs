//! The queue of bytes that wait to be written to a connection. It counts the bytes written, because a request may have
//! run only if its last byte was written.

use crate::state::byte_queue::ByteQueue;
use bytes::Bytes;
use std::io::IoSlice;

/// Most chunks passed to one vectored write.
const MAX_SLICES: usize = 32;

/// Chunks in order, with counters of all bytes ever queued and ever written.
#[derive(Debug, Default)]
pub struct Outbox {
    bytes: ByteQueue,
    queued: u64,
    written: u64,
}

impl Outbox {
    /// Appends a chunk. A long one must be all that its allocation holds, or static.
    pub fn push(&mut self, chunk: impl Into<Bytes>) {
        let chunk = chunk.into();
        self.queued += chunk.len() as u64;
        self.bytes.push(chunk);
    }

    /// Returns the memory that the waiting bytes keep allocated, in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.memory()
    }

    /// Returns the position behind the last byte queued. Everything queued so far has been written once
    /// [`Outbox::is_written`] is true for this position.
    pub fn end(&self) -> u64 {
        self.queued
    }

    /// Whether all bytes before `position` have been written.
    pub fn is_written(&self, position: u64) -> bool {
        self.written >= position
    }

    /// Whether any byte at or after the position `start` has been written.
    pub fn has_begun(&self, start: u64) -> bool {
        self.written > start
    }

    /// Removes the bytes queued from the position `start` on. None of them may have been written.
    pub fn truncate(&mut self, start: u64) {
        debug_assert!(!self.has_begun(start));
        let kept = start.max(self.written).min(self.queued);
        self.bytes.truncate((self.queued - kept) as usize);
        self.queued = kept;
    }

    /// Whether no bytes wait to be written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that wait to be written.
    pub fn len(&self) -> u64 {
        self.queued - self.written
    }

    /// Returns the first chunks, for one vectored write.
    pub fn slices(&self) -> Vec<IoSlice<'_>> {
        self.bytes.slices(MAX_SLICES)
    }

    /// Removes `bytes` bytes from the front after they have been written.
    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes as u64;
        self.bytes.advance(bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_position_is_written_only_when_its_last_byte_is_written() {
        let mut outbox = Outbox::default();
        outbox.push(&b"head"[..]);
        outbox.push(&b""[..]);
        outbox.push(&b"body"[..]);
        let first = outbox.end();
        outbox.push(&b"next"[..]);
        outbox.wrote(7);
        assert!(!outbox.is_written(first) && outbox.len() == 5);
        assert_eq!(outbox.slices().iter().flat_map(|s| s.to_vec()).collect::<Vec<u8>>(), b"ynext");
        outbox.wrote(1);
        assert!(outbox.is_written(first) && !outbox.is_empty());
        outbox.push(&b"last"[..]);
        let begun = outbox.end();
        outbox.push(&b"never"[..]);
        outbox.push(&b"sent"[..]);
        assert!(!outbox.has_begun(begun) && !outbox.has_begun(first));
        outbox.truncate(begun);
        assert_eq!(
            (outbox.end(), outbox.len()),
            (begun, 8),
            "complete chunks after the position are removed"
        );
        outbox.wrote(8);
        assert!(outbox.is_empty() && outbox.has_begun(first));
    }
}
