//! The queue of answers of one client: what stands in it, and how values that arrive from nodes go through it.

use super::{ClassSchema, Outbox, PipeReader, LINE_END};
use crate::interface::{RequestId, Time};
use crate::state::byte_queue::ByteQueue;
use crate::state::pipe::Progress;
use crate::state::reply_clock::WithheldReply;
use crate::state::stable_index::Indexed;
use bytes::Bytes;
use std::rc::Rc;

/// Bytes of a streamed value that may wait in the outbox.
pub(super) const MAX_STREAMED_AHEAD: u64 = 32 * 1024;
/// Memory charged for a value that waits to be written, in addition to its bytes.
pub(super) const VALUE_OVERHEAD: usize = 256;
/// The answer to a request that was not sent to any node: the client may safely retry it.
pub(super) const BUSY: &[u8] = b"-BUSY\r\n";
/// The answer to a request that failed.
pub(super) const FAILED: &[u8] = b"-ERR failed\r\n";

/// A request that has not been answered yet.
pub(super) struct Unanswered {
    /// The class as of when the request was accepted. Holding it keeps the class's index from being reused.
    pub(super) _class: Rc<Indexed<ClassSchema>>,
    pub(super) number: RequestId,
    pub(super) id: Box<[u8]>,
    /// Bytes charged for the command's words, the body among them.
    pub(super) held: usize,
    /// When its client gives up.
    pub(super) due: Time,
}

impl Unanswered {
    /// Returns what identifies the request while its value arrives.
    pub(super) fn label(&self) -> Label {
        Label { number: self.number, id: self.id.clone(), due: self.due }
    }
}

/// What identifies a request whose value arrives, and when its client gives up.
pub(super) struct Label {
    number: RequestId,
    id: Box<[u8]>,
    due: Time,
}

/// An entry in the queue of answers, which is kept in the order of the commands.
pub(super) enum Slot {
    Unanswered(Unanswered),
    /// An answer that needs no node.
    Line(&'static [u8]),
    /// A refusal, with the advised delay before the retry in microseconds.
    RefusedFor(Time),
    /// A value that was received completely.
    Value(Bytes),
    /// A value that is streamed to the client while it arrives from the node.
    Streamed(Box<Streamed>),
    /// A value that is collected completely before it is written, because other answers are queued behind it: if a streamed
    /// value broke off, the connection would have to be closed and those answers would be lost.
    Buffering(Box<Buffering>),
}

impl Slot {
    /// Returns the memory of the answer that is or will be collected here, in bytes.
    pub(super) fn memory(&self) -> usize {
        match self {
            Slot::Value(value) => value.len() + VALUE_OVERHEAD,
            Slot::Buffering(buffering) => Buffering::memory(buffering.length),
            Slot::Unanswered(_) | Slot::Line(_) | Slot::RefusedFor(_) | Slot::Streamed(_) => 0,
        }
    }
}

/// A long value that is passed on while it arrives.
pub(super) struct Streamed {
    label: Label,
    pub(super) reader: PipeReader,
    length: usize,
    /// Bytes of the value that were passed on.
    passed: usize,
    head_written: bool,
}

impl Streamed {
    pub(super) fn new(label: Label, reader: PipeReader, length: usize) -> Self {
        Streamed { label, reader, length, passed: 0, head_written: false }
    }

    /// Moves what has arrived to the outbox, and the end of the value once it is complete.
    pub(super) fn pass_on(&mut self, outbox: &mut Outbox) -> Progress {
        if !std::mem::replace(&mut self.head_written, true) {
            outbox.push(value_head(self.length));
        }
        while outbox.len() < MAX_STREAMED_AHEAD {
            let Some(bytes) = self.reader.take() else { break };
            self.passed += bytes.len();
            outbox.push(bytes);
        }
        let progress = self.reader.progress();
        if progress == Progress::Complete {
            outbox.push(LINE_END);
        }
        progress
    }

    /// Logs that the rest of the value will not come.
    pub(super) fn log_end(&self) {
        let (number, id) = (self.label.number, self.label.id.escape_ascii());
        let (length, passed) = (self.length, self.passed);
        tracing::warn!(number, %id, length, passed, "value broke off: its client's connection ends");
    }
}

/// A long value that is being collected.
pub(super) struct Buffering {
    label: Label,
    pub(super) reader: PipeReader,
    length: usize,
    collected: ByteQueue,
}

impl Buffering {
    pub(super) fn new(label: Label, reader: PipeReader, length: usize) -> Self {
        Buffering { label, reader, length, collected: ByteQueue::default() }
    }

    /// Returns the memory of a value of this length when it is collected, in bytes.
    pub(super) fn memory(length: usize) -> usize {
        length + length / 16 + VALUE_OVERHEAD
    }

    /// Returns what its end is decided by.
    pub(super) fn withheld(&self) -> WithheldReply {
        WithheldReply { id: self.label.number, due: self.label.due }
    }

    /// Collects the bytes that have arrived, and writes the answer once the value is complete or has broken off. Returns
    /// whether it was written.
    pub(super) fn write_complete(&mut self, outbox: &mut Outbox) -> bool {
        while let Some(bytes) = self.reader.take() {
            self.collected.push(bytes);
        }
        match self.reader.progress() {
            Progress::Ongoing => return false,
            Progress::Broken => {
                self.log_end();
                outbox.push(FAILED)
            }
            Progress::Complete => {
                outbox.push(value_head(self.length));
                while let Some(chunk) = self.collected.pop() {
                    outbox.push(chunk);
                }
                outbox.push(LINE_END);
            }
        }
        true
    }

    /// Logs that the value is given up.
    pub(super) fn log_end(&self) {
        let (number, id) = (self.label.number, self.label.id.escape_ascii());
        let (length, collected) = (self.length, self.collected.len());
        tracing::warn!(number, %id, length, collected, "value given up: its client is told that it failed");
    }
}

/// Returns the header line of a bulk string.
pub(super) fn value_head(length: usize) -> Bytes {
    format!("${length}\r\n").into()
}
