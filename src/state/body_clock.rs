//! When a request whose body is still being received must end.
//!
//! The time of a request counts from the last byte that its client wrote. While the broker reads all that comes, it sees that
//! byte. While it does not, because the node takes no more and there is no buffer space, the byte may lie in the socket already,
//! and may have been written at any time since the socket was last seen empty. Time therefore runs from then.

use crate::interface::Time;

/// Longest pause in a body, in microseconds. A client that stops in the middle of a request is owed an error within 3 s.
const STALL_TIMEOUT: Time = 2_500_000;

/// A body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncompleteBody {
    /// Bytes that the session has not consumed yet, with the line end behind the body.
    pub left: usize,
    /// How long the client waits after the last byte, in microseconds. `None` if the request already has its answer, so that the
    /// body is only discarded.
    pub wait: Option<Time>,
}

/// Why a request ends before its body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The client may have written the last byte, and its time since then is over.
    OutOfTime,
    /// The client has stopped in the middle of the body.
    Stalled,
}

/// The clock of the body that a connection receives.
#[derive(Debug)]
pub struct BodyClock {
    /// The time since which bytes may lie unread.
    unread_since: Option<Time>,
    /// When bytes of the client last arrived.
    moved: Time,
}

impl BodyClock {
    /// Creates the clock of a connection that was accepted at `now`.
    pub fn new(now: Time) -> Self {
        BodyClock { unread_since: None, moved: now }
    }

    /// Records that bytes were read at `now`, and whether the socket is empty since.
    pub fn read(&mut self, now: Time, drained: bool) {
        self.moved = now;
        match drained {
            true => self.unread_since = None,
            false => self.not_read(now),
        }
    }

    /// Records that the socket is not read from `now` on, or that the last byte of the body has been read but not consumed.
    pub fn not_read(&mut self, now: Time) {
        self.unread_since.get_or_insert(now);
    }

    /// Records that the socket was found empty.
    pub fn empty(&mut self) {
        self.unread_since = None;
    }

    /// Returns the time at which the request of a body is to be examined with [`BodyClock::end`].
    pub fn examine_at(&self, body: IncompleteBody) -> Time {
        match (self.unread_since, body.wait) {
            (Some(since), Some(wait)) => since + wait,
            _ => self.moved + STALL_TIMEOUT,
        }
    }

    /// Returns why the request of a body ends at `now`, or `None` if it goes on. `is_held` tells whether bytes of the body lie in
    /// the socket or in the read buffer.
    pub fn end(&self, now: Time, body: IncompleteBody, is_held: bool) -> Option<BodyEnd> {
        let since = self.unread_since.filter(|_| is_held);
        match (since, body.wait) {
            (Some(since), Some(wait)) => (since + wait <= now).then_some(BodyEnd::OutOfTime),
            _ if is_held => None,
            _ => (self.moved + STALL_TIMEOUT <= now).then_some(BodyEnd::Stalled),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WAIT: Time = 1_200_000;
    const BODY: IncompleteBody = IncompleteBody { left: 100, wait: Some(WAIT) };

    /// Guards against a request without an end while the broker itself leaves its body unread.
    #[test]
    fn time_runs_while_the_body_is_not_read() {
        let mut clock = BodyClock::new(0);
        clock.read(10, false);
        clock.not_read(500);
        assert_eq!(clock.examine_at(BODY), 10 + WAIT);
        assert_eq!(clock.end(9 + WAIT, BODY, true), None);
        assert_eq!(clock.end(10 + WAIT, BODY, true), Some(BodyEnd::OutOfTime));
    }

    /// Guards against a request that ends although its client is still writing.
    #[test]
    fn a_client_that_writes_slowly_is_not_cut_off() {
        let mut clock = BodyClock::new(0);
        for now in (0..20).map(|number| number * 1_000_000) {
            clock.not_read(now);
            clock.read(now, true);
            assert_eq!(clock.end(now + 999_999, BODY, false), None);
        }
    }

    /// Guards against a client that stays in the middle of a body for good.
    #[test]
    fn a_client_that_stops_is_told_within_three_seconds() {
        let mut clock = BodyClock::new(0);
        clock.read(1_000, true);
        let stalled = 1_000 + STALL_TIMEOUT;
        assert!(clock.examine_at(BODY) == stalled && STALL_TIMEOUT < 3_000_000);
        assert_eq!(clock.end(stalled, BODY, false), Some(BodyEnd::Stalled));
        let discarded = IncompleteBody { wait: None, ..BODY };
        assert_eq!(clock.end(stalled, discarded, false), Some(BodyEnd::Stalled));
        assert_eq!(clock.end(stalled, BODY, true), None, "bytes have come that are still to be read");
    }
}
