//! A bounded in-memory pipe for large values. The writer puts bytes in while there is space and the reader takes them
//! out, so that neither holds the complete value.

use super::buffer_budget::{BufferBudget, Reservation};
use super::byte_queue::ByteQueue;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Maximum number of buffered bytes in a pipe.
pub const WINDOW: usize = 64 * 1024;
/// Number of bytes that a pipe may always buffer, since they are part of a connection's fixed memory. Bytes beyond these
/// are charged to the buffer budget.
pub const UNCHARGED: usize = 8 * 1024;
/// Number of bytes charged in advance of the buffered bytes.
const CHARGED_AHEAD: usize = 64 * 1024;

/// The state of a value's transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// More bytes are expected.
    Ongoing,
    /// All bytes of the value have arrived, and the end of the value was valid.
    Complete,
    /// The rest of the value will never arrive.
    Broken,
}

#[derive(Debug)]
struct Inner {
    most: usize,
    buffer: RefCell<ByteQueue>,
    budget: BufferBudget,
    reservation: RefCell<Reservation>,
    progress: Cell<Progress>,
    /// Whether any bytes have been taken out.
    consumed: Cell<bool>,
    readers: Cell<usize>,
    bytes_put: Notify,
    bytes_taken: Notify,
}

/// The writing end of a pipe. Dropping it before [`PipeWriter::finish`] marks the value as broken.
#[derive(Debug)]
pub struct PipeWriter(Rc<Inner>);

/// The reading end of a pipe. Clones read from the same buffer.
#[derive(Debug)]
pub struct PipeReader(Rc<Inner>);

/// Creates a pipe that buffers at most `most` bytes and charges them to the buffer budget.
pub fn pipe(budget: &BufferBudget, most: usize) -> (PipeWriter, PipeReader) {
    let inner = Rc::new(Inner {
        most,
        buffer: RefCell::default(),
        budget: budget.clone(),
        reservation: RefCell::new(budget.empty_reservation()),
        progress: Cell::new(Progress::Ongoing),
        consumed: Cell::new(false),
        readers: Cell::new(1),
        bytes_put: Notify::new(),
        bytes_taken: Notify::new(),
    });
    (PipeWriter(inner.clone()), PipeReader(inner))
}

impl PipeWriter {
    /// Returns how many bytes may be put in now. Charges the memory of the buffer and up to [`CHARGED_AHEAD`] more to the
    /// buffer budget; while the budget is low, the pipe buffers no more than is already charged. It buffers more than
    /// [`WINDOW`] only while the budget is ample.
    pub fn space(&self) -> usize {
        let (buffered, memory) = self.0.measure();
        let most = if self.0.budget.is_ample() { self.0.most } else { self.0.most.min(WINDOW) };
        let ahead = (buffered + CHARGED_AHEAD).min(most).saturating_sub(buffered);
        let mut reservation = self.0.reservation.borrow_mut();
        let wanted = (memory + ahead).saturating_sub(UNCHARGED);
        let grows = wanted > reservation.bytes();
        match !(grows && self.0.budget.is_low()) && reservation.resize(wanted) {
            true => ahead,
            false => (reservation.bytes() + UNCHARGED).saturating_sub(memory).min(ahead),
        }
    }

    /// Appends a chunk to the buffer. A long one must be all that its allocation holds.
    pub fn put(&self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.0.buffer.borrow_mut().push(chunk);
            self.0.bytes_put.notify_one();
        }
    }

    /// Appends a copy of bytes to the buffer.
    pub fn put_copy(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.0.buffer.borrow_mut().extend(bytes);
            self.0.bytes_put.notify_one();
        }
    }

    /// Marks the value as complete.
    pub fn finish(self) {
        self.0.progress.set(Progress::Complete);
    }

    /// Returns whether all reading ends have been dropped.
    pub fn is_abandoned(&self) -> bool {
        self.0.readers.get() == 0
    }

    /// Waits until bytes have been taken out or all reading ends have been dropped. The future does not borrow the writer.
    pub fn wait_for_space(&self) -> impl std::future::Future<Output = ()> + 'static {
        let inner = self.0.clone();
        async move { inner.bytes_taken.notified().await }
    }
}

impl Inner {
    /// Returns the number of buffered bytes, and the memory that they keep allocated.
    fn measure(&self) -> (usize, usize) {
        let buffer = self.buffer.borrow();
        (buffer.len(), buffer.memory())
    }
}

impl Drop for PipeWriter {
    fn drop(&mut self) {
        if self.0.progress.get() == Progress::Ongoing {
            self.0.progress.set(Progress::Broken);
        }
        self.0.bytes_put.notify_one();
    }
}

impl PipeReader {
    /// Takes the next bytes out of the buffer, or returns `None` if the buffer is empty.
    pub fn take(&self) -> Option<Bytes> {
        let chunk = self.0.buffer.borrow_mut().pop()?;
        let (_, memory) = self.0.measure();
        let mut reservation = self.0.reservation.borrow_mut();
        let less = reservation.bytes().min(memory);
        reservation.resize(less);
        self.0.consumed.set(true);
        self.0.bytes_taken.notify_one();
        Some(chunk)
    }

    /// Returns the state of the transfer. It becomes [`Progress::Complete`] only after the buffer has been emptied.
    pub fn progress(&self) -> Progress {
        match self.0.progress.get() {
            Progress::Complete if !self.0.buffer.borrow().is_empty() => Progress::Ongoing,
            progress => progress,
        }
    }

    /// Returns how many bytes the reader may hold beside the pipe, so that it can write many at once: fewer while the budget is
    /// low.
    pub fn read_ahead(&self) -> usize {
        if self.0.budget.is_low() {
            UNCHARGED
        } else {
            WINDOW
        }
    }

    /// Returns whether any bytes have been taken out, so that the value cannot be read again from its start.
    pub fn is_consumed(&self) -> bool {
        self.0.consumed.get()
    }

    /// Waits until bytes have been put in or the writer has been dropped. The future does not borrow the reader.
    pub fn wait_for_bytes(&self) -> impl std::future::Future<Output = ()> + 'static {
        let inner = self.0.clone();
        async move { inner.bytes_put.notified().await }
    }
}

impl Clone for PipeReader {
    fn clone(&self) -> Self {
        self.0.readers.set(self.0.readers.get() + 1);
        PipeReader(self.0.clone())
    }
}

impl Drop for PipeReader {
    fn drop(&mut self) {
        self.0.readers.set(self.0.readers.get() - 1);
        if self.0.readers.get() == 0 {
            self.0.buffer.replace(ByteQueue::default());
            self.0.reservation.borrow_mut().set(0);
            self.0.bytes_taken.notify_one();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_passes_in_parts_and_is_complete_only_when_all_bytes_are_taken() {
        let (writer, reader) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        assert_eq!((writer.space(), reader.take(), reader.progress()), (WINDOW, None, Progress::Ongoing));
        writer.put(Bytes::from(vec![1; WINDOW - 5]));
        writer.put(Bytes::from_static(b"ab"));
        assert_eq!((writer.space(), reader.is_consumed()), (3, false));
        assert_eq!(reader.take().map(|b| b.len()), Some(WINDOW - 5));
        assert_eq!((writer.space(), reader.is_consumed()), (WINDOW - 2, true));
        writer.finish();
        assert_eq!(reader.progress(), Progress::Ongoing, "bytes are still buffered");
        assert_eq!(reader.take().as_deref(), Some(&b"ab"[..]));
        assert_eq!(reader.progress(), Progress::Complete);
    }

    /// Guards against a truncated value that is taken for a complete one, and against a writer that keeps filling a pipe
    /// without a reader.
    #[test]
    fn an_end_dropped_early_is_detected() {
        let (writer, reader) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        writer.put(Bytes::from_static(b"ab"));
        drop(writer);
        assert_eq!(reader.progress(), Progress::Broken);
        let (writer, reader) = pipe(&BufferBudget::new(1 << 20), WINDOW);
        let other = reader.clone();
        drop(reader);
        assert!(!writer.is_abandoned());
        drop(other);
        assert!(writer.is_abandoned());
    }

    /// Guards against pipes that together exceed the buffer budget, and against pipes that stall forever when the budget is
    /// exhausted.
    #[test]
    fn pipes_are_charged_and_shrink_when_the_budget_is_exhausted() {
        let budget = BufferBudget::new(2 * (WINDOW - UNCHARGED));
        let pipes: Vec<(PipeWriter, PipeReader)> = (0..3).map(|_| pipe(&budget, WINDOW)).collect();
        let spaces: Vec<usize> = pipes.iter().map(|(writer, _)| writer.space()).collect();
        assert_eq!(spaces, [WINDOW, WINDOW, UNCHARGED]);
        drop(pipes);
        assert!(
            budget.reserve(2 * (WINDOW - UNCHARGED)),
            "the bytes are released when the pipes are dropped"
        );
        budget.release(2 * (WINDOW - UNCHARGED));
        // The charge follows the buffered bytes, not the announced length, and is released as bytes are taken out.
        let (writer, reader) = pipe(&budget, 4 << 20);
        writer.put(Bytes::from(vec![1; 2 * UNCHARGED]));
        assert!(writer.space() <= CHARGED_AHEAD, "a value of 4 MiB does not claim the whole budget");
        reader.take();
        assert!(budget.reserve(2 * (WINDOW - UNCHARGED)));
    }
}
