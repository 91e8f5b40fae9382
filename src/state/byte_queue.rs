//! A queue of bytes that knows how much memory it holds. Small pieces are copied together, so that neither the number of
//! pieces nor the buffers in which they were read make its memory much larger than its content.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::IoSlice;

/// Pieces shorter than this are copied to the last segment, in bytes.
const COPIED_BELOW: usize = 1024;
/// Capacity up to which the last segment grows, in bytes.
const SEGMENT: usize = 16 * 1024;
/// Memory of a chunk in addition to its bytes: its place in the queue and the allocator's own data, in bytes.
const CHUNK_OVERHEAD: usize = 64;
/// Chunks for which an empty queue keeps its memory.
const KEPT_CHUNKS: usize = 8;

/// Bytes in order.
#[derive(Debug, Default)]
pub struct ByteQueue {
    chunks: VecDeque<Chunk>,
    /// The segment to which further bytes are copied.
    tail: Vec<u8>,
    /// Bytes at the front of `tail` that were removed.
    tail_start: usize,
    len: usize,
    /// Memory of `chunks` in bytes.
    chunk_memory: usize,
}

#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    /// Memory that the chunk keeps allocated until all of it is removed, in bytes.
    memory: usize,
}

impl ByteQueue {
    /// Appends a chunk. A long one is kept as it is, so it must be all that its allocation holds, or static.
    pub fn push(&mut self, chunk: Bytes) {
        if chunk.len() < COPIED_BELOW {
            self.extend(&chunk);
        } else {
            self.close_tail();
            self.len += chunk.len();
            self.push_chunk(chunk);
        }
    }

    /// Appends a copy of bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.tail.len() >= SEGMENT {
                self.close_tail();
            }
            let part = bytes.len().min(SEGMENT - self.tail.len());
            self.make_room(part);
            self.tail.extend_from_slice(&bytes[..part]);
            bytes = &bytes[part..];
        }
    }

    /// Makes room for `more` bytes in the tail: exactly at first, twice as much when it grows.
    fn make_room(&mut self, more: usize) {
        let needed = self.tail.len() + more;
        if needed > self.tail.capacity() {
            let capacity = needed.max(self.tail.capacity() * 2).min(SEGMENT);
            self.tail.reserve_exact(capacity - self.tail.len());
        }
    }

    fn close_tail(&mut self) {
        let mut tail = std::mem::take(&mut self.tail);
        let start = std::mem::take(&mut self.tail_start);
        if tail.len() == start {
            return;
        }
        tail.drain(..start);
        tail.shrink_to_fit();
        self.push_chunk(Bytes::from(tail));
    }

    fn push_chunk(&mut self, bytes: Bytes) {
        let memory = bytes.len() + CHUNK_OVERHEAD;
        self.chunk_memory += memory;
        self.chunks.push_back(Chunk { bytes, memory });
    }

    /// Removes and returns the first chunk.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.chunks.is_empty() {
            self.close_tail();
        }
        let first = self.chunks.pop_front()?;
        self.chunk_memory -= first.memory;
        self.len -= first.bytes.len();
        self.release_if_empty();
        Some(first.bytes)
    }

    /// Removes `count` bytes from the front.
    pub fn advance(&mut self, mut count: usize) {
        self.len -= count;
        while let Some(first) = self.chunks.front_mut() {
            if first.bytes.len() > count {
                first.bytes.advance(count);
                return;
            }
            count -= first.bytes.len();
            self.chunk_memory -= first.memory;
            self.chunks.pop_front();
        }
        self.tail_start += count;
        self.release_if_empty();
    }

    /// Removes `count` bytes from the end.
    pub fn truncate(&mut self, mut count: usize) {
        self.len -= count;
        let of_tail = count.min(self.tail.len() - self.tail_start);
        self.tail.truncate(self.tail.len() - of_tail);
        count -= of_tail;
        while let Some(last) = self.chunks.back_mut().filter(|_| count > 0) {
            if last.bytes.len() > count {
                last.bytes.truncate(last.bytes.len() - count);
                return;
            }
            count -= last.bytes.len();
            self.chunk_memory -= last.memory;
            self.chunks.pop_back();
        }
        self.release_if_empty();
    }

    fn release_if_empty(&mut self) {
        if self.len == 0 {
            (self.tail, self.tail_start) = (Vec::new(), 0);
            if self.chunks.capacity() > KEPT_CHUNKS {
                self.chunks = VecDeque::new();
            }
        }
    }

    /// Returns the first chunks, at most `most`, for one vectored write.
    pub fn slices(&self, most: usize) -> Vec<IoSlice<'_>> {
        let tail = &self.tail[self.tail_start..];
        let chunks = self.chunks.iter().map(|chunk| &chunk.bytes[..]);
        chunks.chain((!tail.is_empty()).then_some(tail)).take(most).map(IoSlice::new).collect()
    }

    /// Returns the number of bytes in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory that the queue keeps allocated, in bytes.
    pub fn memory(&self) -> usize {
        self.chunk_memory + self.tail.capacity()
    }
}

#[cfg(test)]
mod tests;
