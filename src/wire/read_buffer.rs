//! The bytes that were read from a connection and are not consumed yet. All connections read through one scratch buffer, so
//! a connection holds memory for what it has received only.

use bytes::{Buf, Bytes, BytesMut};
use std::cell::RefCell;
use tokio::net::TcpStream;

/// Most bytes that one read returns.
pub const READ_SIZE: usize = 16 * 1024;
/// Least room that the buffer has beyond its content after it has grown, in bytes.
const GROWTH: usize = 4 * 1024;

thread_local! {
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_SIZE]);
}

/// What a read found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Received {
    /// Number of bytes that were read; 0 at the end of the connection.
    pub bytes: usize,
    /// Whether nothing more was waiting in the socket.
    pub drained: bool,
}

/// Received bytes.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: BytesMut,
    /// Size of the allocation of `bytes`.
    allocated: usize,
}

impl ReadBuffer {
    /// Reads what is waiting in the socket, at most [`READ_SIZE`] bytes.
    ///
    /// # Errors
    /// Those of the system call.
    pub fn read(&mut self, stream: &TcpStream) -> std::io::Result<Received> {
        SCRATCH.with_borrow_mut(|scratch| {
            let count = stream.try_read(scratch)?;
            self.append(&scratch[..count]);
            Ok(Received { bytes: count, drained: count < scratch.len() })
        })
    }

    fn append(&mut self, received: &[u8]) {
        if received.len() > self.bytes.capacity() - self.bytes.len() {
            self.reallocate(self.bytes.len() + received.len() + GROWTH.max(self.bytes.len() / 4));
        }
        self.bytes.extend_from_slice(received);
    }

    fn reallocate(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.allocated = bytes.capacity();
        self.bytes = bytes;
    }

    /// Returns the received bytes, of which a parser removes what it consumes. What it keeps it has to copy; see
    /// [`take_copy`].
    pub fn bytes_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }

    /// Gives back the memory of what was consumed.
    pub fn shrink(&mut self) {
        if self.bytes.is_empty() {
            *self = ReadBuffer::default();
        } else if self.allocated > self.bytes.len() + self.bytes.len() / 2 + 2 * GROWTH {
            self.reallocate(self.bytes.len());
        }
    }

    /// Returns the number of received bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing is received that was not consumed.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the memory that the buffer keeps allocated, in bytes.
    pub fn memory(&self) -> usize {
        self.allocated
    }
}

/// Removes `count` bytes from the front and returns a copy of them, which does not keep the buffer allocated.
pub fn take_copy(read: &mut BytesMut, count: usize) -> Bytes {
    let taken = Bytes::copy_from_slice(&read[..count]);
    read.advance(count);
    taken
}
