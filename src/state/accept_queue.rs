//! What a front knows of how long connections have waited to be accepted. What they have sent may have waited for as long, so
//! their clients count from then. Time is handed in.

use super::client_slots::AcceptPressure;
use crate::interface::Time;

/// Connections that may have waited for longer than this to be accepted, in microseconds, make the silent ones leave earlier.
const LONG_WAIT: Time = 100_000;
/// The same, at once.
const TOO_LONG_WAIT: Time = 200_000;

/// Since when connections may be waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    /// None waits: the queue was seen empty, and whatever comes is accepted at once.
    Nobody,
    /// They may have come since then.
    Since(Time),
    /// Nobody may have accepted before then, for a time that this process does not know.
    Unattended(Time),
}

/// The accept queue of a front.
#[derive(Debug, Clone, Copy)]
pub struct AcceptQueue(Waiting);

impl AcceptQueue {
    /// The queue of a socket that this process has made itself.
    pub fn of_own_socket() -> Self {
        AcceptQueue(Waiting::Nobody)
    }

    /// The queue of a socket on which others have accepted until now, or nobody has.
    pub fn of_shared_socket(now: Time) -> Self {
        AcceptQueue(Waiting::Unattended(now))
    }

    /// What comes from now on may have to wait.
    pub fn mark_waiting(&mut self, now: Time) {
        if self.0 == Waiting::Nobody {
            self.0 = Waiting::Since(now);
        }
    }

    /// This process accepts again after another one did so in its place.
    pub fn resume(&mut self, now: Time) {
        self.0 = Waiting::Unattended(now);
    }

    /// It was seen empty.
    pub fn mark_empty(&mut self) {
        self.0 = Waiting::Nobody;
    }

    /// Whether only the system can tell how long connections have waited.
    pub fn is_unattended(&self) -> bool {
        matches!(self.0, Waiting::Unattended(_))
    }

    /// The earliest moment at which a connection that is accepted `now` may have come, as far as this process knows.
    pub fn earliest_arrival(&self, now: Time) -> Time {
        match self.0 {
            Waiting::Nobody => now,
            Waiting::Since(at) | Waiting::Unattended(at) => at.min(now),
        }
    }

    /// How long connections may have waited by now.
    pub fn max_wait(&self, now: Time) -> Time {
        now - self.earliest_arrival(now)
    }

    /// How much the connections that wait press for places.
    pub fn pressure(&self, now: Time) -> AcceptPressure {
        match self.max_wait(now) {
            waited if waited <= LONG_WAIT => AcceptPressure::Normal,
            waited if waited <= TOO_LONG_WAIT => AcceptPressure::High,
            _ => AcceptPressure::Urgent,
        }
    }
}

#[cfg(test)]
mod tests;
