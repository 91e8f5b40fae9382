//! When an answer that a node has begun ends before it is whole. This module alone decides it.
//!
//! | who | ends | when |
//! | --- | --- | --- |
//! | the node | every answer | it has sent nothing for [`NODE_SILENCE`] while the broker read |
//! | the client that waits | an answer of which it has received nothing | its time is over |
//! | the requests behind it on the client's connection | none | the time that they wait for it does not count |
//!
//! A client of which the answer has begun to arrive waits as long as its node goes on. How long it may leave bytes unread is up
//! to [`Activity`](super::activity::Activity).

use crate::interface::{RequestId, Time};
use std::cell::Cell;
use std::rc::Rc;

/// How long a node may send nothing inside an answer, in microseconds.
pub const NODE_SILENCE: Time = 2_000_000;
/// How long after its client's time an answer may still come, in microseconds. Half a second after it the request is lost.
const LATE_ANSWER: Time = 300_000;

/// Why an answer that has begun ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyEnd {
    /// Its node sent nothing for [`NODE_SILENCE`].
    NodeSilent,
    /// Its client's time is over, and the client has received nothing of it.
    OutOfTime,
}

/// What has arrived of the answer on a link. The link records it, and the planner looks at it when the answer may have to end:
/// both share one value.
#[derive(Debug, Clone, Default)]
pub struct ReplyArrival(Rc<Cell<Arrived>>);

/// What has arrived of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Arrived {
    /// Number of bytes.
    pub bytes: u64,
    /// When the last one arrived.
    pub last: Time,
    /// Since when the node could have sent more: since the last byte, or since the broker reads again.
    awaited_since: Time,
}

impl ReplyArrival {
    /// Records that bytes arrived at `now`.
    pub fn received(&self, now: Time, bytes: usize) {
        let bytes = self.0.get().bytes + bytes as u64;
        self.0.set(Arrived { bytes, last: now, awaited_since: now });
    }

    /// Records that the broker reads again at `now` after it had stopped. The silence of the node counts from then.
    pub fn read_again(&self, now: Time) {
        self.0.set(Arrived { awaited_since: now, ..self.0.get() });
    }

    /// Records that all answers are whole: the next byte begins another one.
    pub fn complete(&self) {
        self.0.set(Arrived { bytes: 0, ..self.0.get() });
    }

    /// Returns what has arrived.
    pub fn arrived(&self) -> Arrived {
        self.0.get()
    }

    /// Returns the time at which the node has been silent for too long unless more arrives before.
    pub fn silent_at(&self) -> Time {
        self.0.get().awaited_since + NODE_SILENCE
    }
}

/// An answer that its client gets only whole, since others stand behind it on the same connection, and whose turn it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WithheldReply {
    /// Its request.
    pub id: RequestId,
    /// When its client gives up.
    pub due: Time,
}

/// The clock of the withheld answers of one connection.
#[derive(Debug, Default)]
pub struct WithheldClock {
    /// The answer whose turn it is, and since when.
    first: Option<(RequestId, Time)>,
}

impl WithheldClock {
    /// Returns when the answer whose turn it is ends unless it is whole before, if there is one. The time that it waited for
    /// the answers ahead of it does not count.
    pub fn ends_at(&mut self, now: Time, reply: Option<WithheldReply>) -> Option<Time> {
        let Some(reply) = reply else {
            self.first = None;
            return None;
        };
        let since = self.first.filter(|(id, _)| *id == reply.id).map_or(now, |(_, since)| since);
        self.first = Some((reply.id, since));
        Some(reply.due.max(since) + LATE_ANSWER)
    }
}

#[cfg(test)]
mod tests;
