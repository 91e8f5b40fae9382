//! Bytes that wait to be written. It counts what has gone out, since whether a request's last byte was
//! written decides whether it may have run.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::IoSlice;

/// Most chunks handed to one write.
const MOST_SLICES: usize = 32;

/// Chunks in order, with counters of all bytes ever queued and written.
#[derive(Debug, Default)]
pub struct Outbox {
    chunks: VecDeque<Bytes>,
    queued: u64,
    written: u64,
}

impl Outbox {
    /// Queues a chunk.
    pub fn push(&mut self, chunk: impl Into<Bytes>) {
        let chunk = chunk.into();
        if !chunk.is_empty() {
            self.queued += chunk.len() as u64;
            self.chunks.push_back(chunk);
        }
    }

    /// Position behind the last byte queued: what is queued now is out once [`Outbox::is_written`] says so.
    pub fn end(&self) -> u64 {
        self.queued
    }

    /// Whether everything before a position has been written.
    pub fn is_written(&self, position: u64) -> bool {
        self.written >= position
    }

    /// Whether any byte behind a position has been written.
    pub fn has_begun(&self, start: u64) -> bool {
        self.written > start
    }

    /// Takes back what was queued from a position on, of which nothing may have been written.
    pub fn truncate(&mut self, start: u64) {
        debug_assert!(!self.has_begun(start));
        while self.queued > start.max(self.written) {
            let Some(last) = self.chunks.pop_back() else { return };
            self.queued -= last.len() as u64;
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Bytes that wait.
    pub fn len(&self) -> u64 {
        self.queued - self.written
    }

    /// The first chunks, for one vectored write.
    pub fn slices(&self) -> Vec<IoSlice<'_>> {
        self.chunks.iter().take(MOST_SLICES).map(|c| IoSlice::new(c)).collect()
    }

    /// Drops what was written.
    pub fn wrote(&mut self, mut bytes: usize) {
        self.written += bytes as u64;
        while let Some(first) = self.chunks.front_mut() {
            if first.len() > bytes {
                first.advance(bytes);
                return;
            }
            bytes -= first.len();
            self.chunks.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_position_is_past_only_when_its_last_byte_is_written() {
        let mut outbox = Outbox::default();
        outbox.push(&b"head"[..]);
        outbox.push(&b""[..]);
        outbox.push(&b"body"[..]);
        let first = outbox.end();
        outbox.push(&b"next"[..]);
        outbox.wrote(7);
        assert!(!outbox.is_written(first) && outbox.len() == 5);
        assert_eq!(outbox.slices().iter().map(|s| s.len()).collect::<Vec<_>>(), [1, 4]);
        outbox.wrote(1);
        assert!(outbox.is_written(first) && !outbox.is_empty());
        outbox.push(&b"last"[..]);
        let begun = outbox.end();
        outbox.push(&b"never"[..]);
        outbox.push(&b"sent"[..]);
        assert!(!outbox.has_begun(begun) && !outbox.has_begun(first));
        outbox.truncate(begun);
        assert_eq!((outbox.end(), outbox.len()), (begun, 8), "whole chunks behind a position go");
        outbox.wrote(8);
        assert!(outbox.is_empty() && outbox.has_begun(first));
    }
}
