//! What a client's connection has done lately, and what that says of when it may be closed. Time is handed in.

use super::client_slots::EvictReason;
use crate::interface::Time;

/// How long a connection may have nothing open, or a command unfinished: not more, since clients have only so
/// many connections, and those that ask once and stay would use them up.
const PATIENCE: Time = 2_000_000;
/// How long a command may be unfinished: some clients take two seconds for the head alone.
const UNFINISHED: Time = 2_500_000;
/// How long the first command may take from the moment of connecting: a client that sends nothing of use is
/// told or sent away within 3 s.
const FIRST_COMMAND: Time = 2_800_000;
/// How long the rest may take to come of several commands that a client has sent at once: the way may cut them apart anywhere.
const REST_OF_BATCH: Time = 100_000;
/// How long a client may leave its answers unread: no request waits longer.
const UNREAD: Time = 5_000_000;

/// What a client's connection has done lately.
#[derive(Debug)]
pub struct Activity {
    accepted: Time,
    /// A command has been whole.
    used: bool,
    /// When it was last of use: a command taken, or the last answer written.
    since: Time,
    /// When an unfinished command began.
    begun: Option<Time>,
    /// When answers that wait to be written last began to wait, or moved.
    moved: Option<Time>,
    /// Until when the rest may come of what its client has sent at once, if it may have sent several commands.
    batch_until: Option<Time>,
}

impl Activity {
    /// A connection that was accepted just now.
    pub fn new(now: Time) -> Self {
        Activity { accepted: now, used: false, since: now, begun: None, moved: None, batch_until: None }
    }

    /// Takes note of what a read left of the buffer, and of how many requests it brought.
    pub fn read(&mut self, now: Time, before: usize, after: usize, requests: usize) {
        if after < before {
            (self.used, self.since, self.begun) = (true, now, None);
            // On one that has just been made, what comes first may be the beginning of several.
            let several = requests > 1 || now < self.accepted + REST_OF_BATCH;
            self.batch_until = several.then_some(now + REST_OF_BATCH);
        }
        if after > 0 && self.begun.is_none() {
            self.begun = Some(now);
        }
    }

    /// When it was accepted.
    pub fn accepted(&self) -> Time {
        self.accepted
    }

    /// Whether a command has been whole.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// When it was last of use: a command taken, or the last answer written.
    pub fn last_use(&self) -> Time {
        self.since
    }

    /// Whether a command has begun that is not whole.
    pub fn has_partial_command(&self) -> bool {
        self.begun.is_some()
    }

    /// Gives up a command that is not whole.
    pub fn discard_partial_command(&mut self) {
        self.begun = None;
    }

    /// Until when the rest may come of several commands that its client may have sent at once; nothing if that is over.
    pub fn batch_until(&self, now: Time) -> Option<Time> {
        self.batch_until.filter(|at| *at > now)
    }

    /// Takes note that something was written.
    pub fn wrote(&mut self, now: Time) {
        (self.since, self.moved) = (now, Some(now));
    }

    /// Why the connection may be asked to leave while nothing is open on it, and since when.
    pub fn spare(&self) -> (EvictReason, Time) {
        match self.begun {
            Some(begun) => (EvictReason::Unfinished, begun),
            None if self.used => (EvictReason::Idle, self.since),
            None => (EvictReason::Silent, self.accepted),
        }
    }

    /// When the connection has had its time, if nothing of use happens before. It is `idle` while nothing is
    /// owed on it; answers may be `waiting` to be written.
    pub fn deadline(&mut self, now: Time, idle: bool, waiting: bool) -> Option<Time> {
        if waiting {
            return Some(*self.moved.get_or_insert(now) + UNREAD);
        }
        self.moved = None;
        let first = self.accepted + FIRST_COMMAND;
        let patient = self.begun.map_or(self.since + PATIENCE, |begun| begun + UNFINISHED);
        idle.then_some(if self.used { patient } else { patient.min(first) })
    }
}

#[cfg(test)]
mod tests;
