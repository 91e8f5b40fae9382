//! Tracks the activity of a client connection and derives from it when the connection may be closed. The caller passes
//! the current time.

use super::client_slots::EvictReason;
use crate::interface::Time;

/// Idle timeout of a connection without open requests, in microseconds. It is short because the number of client
/// connections is limited, and clients that send one command and stay connected would use them up.
const IDLE_TIMEOUT: Time = 2_000_000;
/// Longest time from the first to the last byte of a command, in microseconds. Some clients take two seconds for the
/// head of a command alone.
const COMMAND_TIMEOUT: Time = 2_500_000;
/// Longest time from accepting a connection to its first complete command, in microseconds. A client that sends no
/// complete command must get an error or be disconnected within 3 s.
const FIRST_COMMAND_TIMEOUT: Time = 2_800_000;
/// How long after a read the rest of a batch of commands may still arrive, in microseconds. The network may split a batch
/// that the client has sent at once at any byte.
const REST_OF_BATCH: Time = 100_000;
/// How long a client may leave its answers unread, in microseconds; no request waits longer than this for its answer.
const UNREAD_TIMEOUT: Time = 5_000_000;

/// The recent activity of a client connection.
#[derive(Debug)]
pub struct Activity {
    accepted: Time,
    /// Whether a complete command has been received.
    used: bool,
    /// The time of the last use: a command received or an answer written.
    last_use: Time,
    /// The time at which the first byte of an incomplete command arrived.
    command_begun: Option<Time>,
    /// The start of the unread timeout: the time at which answers began to wait to be written, or the last write.
    unread_since: Option<Time>,
    /// The time until which the rest of a batch may arrive, if the client may have sent several commands at once.
    batch_until: Option<Time>,
}

impl Activity {
    /// Creates the activity of a connection that was accepted at `now`.
    pub fn new(now: Time) -> Self {
        Activity {
            accepted: now,
            used: false,
            last_use: now,
            command_begun: None,
            unread_since: None,
            batch_until: None,
        }
    }

    /// Records a read: the length of the read buffer `before` and `after` complete commands were taken from it, and the
    /// number of requests in these commands.
    pub fn read(&mut self, now: Time, before: usize, after: usize, requests: usize) {
        if after < before {
            (self.used, self.last_use, self.command_begun) = (true, now, None);
            // On a new connection the first command may be the beginning of a batch.
            let several = requests > 1 || now < self.accepted + REST_OF_BATCH;
            self.batch_until = several.then_some(now + REST_OF_BATCH);
        }
        if after > 0 && self.command_begun.is_none() {
            self.command_begun = Some(now);
        }
    }

    /// Returns the time at which the connection was accepted.
    pub fn accepted(&self) -> Time {
        self.accepted
    }

    /// Returns whether a complete command has been received.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Returns the time of the last use: a command received or an answer written.
    pub fn last_use(&self) -> Time {
        self.last_use
    }

    /// Returns whether an incomplete command has been received.
    pub fn has_partial_command(&self) -> bool {
        self.command_begun.is_some()
    }

    /// Stops tracking an incomplete command.
    pub fn discard_partial_command(&mut self) {
        self.command_begun = None;
    }

    /// Returns the time until which the rest of a batch of commands may arrive, or `None` if that time has passed or the
    /// client has not sent a batch.
    pub fn batch_until(&self, now: Time) -> Option<Time> {
        self.batch_until.filter(|at| *at > now)
    }

    /// Records a write of answers.
    pub fn wrote(&mut self, now: Time) {
        (self.last_use, self.unread_since) = (now, Some(now));
    }

    /// Returns why the connection may be closed to free its slot while no request is open on it, and since when that reason
    /// has held.
    pub fn spare(&self) -> (EvictReason, Time) {
        match self.command_begun {
            Some(begun) => (EvictReason::Unfinished, begun),
            None if self.used => (EvictReason::Idle, self.last_use),
            None => (EvictReason::Silent, self.accepted),
        }
    }

    /// Returns when the connection times out if it is not used before. `idle` means that no request on the connection
    /// awaits an answer; `waiting` means that answers wait to be written.
    pub fn deadline(&mut self, now: Time, idle: bool, waiting: bool) -> Option<Time> {
        if waiting {
            return Some(*self.unread_since.get_or_insert(now) + UNREAD_TIMEOUT);
        }
        self.unread_since = None;
        let first = self.accepted + FIRST_COMMAND_TIMEOUT;
        let next = self.command_begun.map_or(self.last_use + IDLE_TIMEOUT, |begun| begun + COMMAND_TIMEOUT);
        idle.then_some(if self.used { next } else { next.min(first) })
    }
}

#[cfg(test)]
mod tests;
