//! Estimates how long connections have waited in the accept queue of a listener.
//!
//! A request may have waited in the queue together with its connection, so its time counts from the arrival of the
//! connection. The caller passes the current time.

use super::client_slots::AcceptPressure;
use crate::interface::Time;

/// Wait in microseconds from which silent connections are evicted earlier.
const LONG_WAIT: Time = 100_000;
/// Wait in microseconds from which silent connections are evicted almost immediately.
const CRITICAL_WAIT: Time = 200_000;

/// Since when connections may be waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Waiting {
    /// The queue was seen empty, and new connections are accepted immediately.
    Empty,
    /// Connections may have arrived since this moment.
    Since(Time),
    /// Before this moment possibly no process accepted connections, for a time unknown to this process.
    Unattended(Time),
}

/// The state of the accept queue of a listener.
#[derive(Debug, Clone, Copy)]
pub struct AcceptQueue(Waiting);

impl AcceptQueue {
    /// Creates the state for a socket that this process has just opened.
    pub fn of_own_socket() -> Self {
        AcceptQueue(Waiting::Empty)
    }

    /// Creates the state for an inherited socket, on which other processes or none have accepted connections so far.
    pub fn of_shared_socket(now: Time) -> Self {
        AcceptQueue(Waiting::Unattended(now))
    }

    /// Records that connections that arrive from now on may have to wait.
    pub fn mark_waiting(&mut self, now: Time) {
        if self.0 == Waiting::Empty {
            self.0 = Waiting::Since(now);
        }
    }

    /// Records that this process accepts connections again after another process did so in its place.
    pub fn resume(&mut self, now: Time) {
        self.0 = Waiting::Unattended(now);
    }

    /// Records that the queue was seen empty.
    pub fn mark_empty(&mut self) {
        self.0 = Waiting::Empty;
    }

    /// Returns whether only the operating system knows how long connections have waited.
    pub fn is_unattended(&self) -> bool {
        matches!(self.0, Waiting::Unattended(_))
    }

    /// Returns the earliest moment, as far as this process knows, at which a connection accepted at `now` may have arrived.
    pub fn earliest_arrival(&self, now: Time) -> Time {
        match self.0 {
            Waiting::Empty => now,
            Waiting::Since(at) | Waiting::Unattended(at) => at.min(now),
        }
    }

    /// Returns the longest time that a connection may have waited at `now`.
    pub fn max_wait(&self, now: Time) -> Time {
        now - self.earliest_arrival(now)
    }

    /// Returns how urgently the waiting connections need a slot.
    pub fn pressure(&self, now: Time) -> AcceptPressure {
        match self.max_wait(now) {
            waited if waited <= LONG_WAIT => AcceptPressure::Normal,
            waited if waited <= CRITICAL_WAIT => AcceptPressure::High,
            _ => AcceptPressure::Urgent,
        }
    }
}

#[cfg(test)]
mod tests;
