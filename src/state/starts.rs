//! Start times of nodes, converted to the clock of this machine.
//!
//! A list gives a start time by the wall clock, which all machines share as long as it is right. The wall clock may be
//! stepped while this process runs, or may have been off when the process started. A reported time is therefore limited
//! by what this broker has observed: a start that first appears between two lists lies between them, and no start lies
//! in the future.

use crate::interface::{NodeId, Time};
use std::collections::BTreeMap;

/// How long the start time of a node is kept, in microseconds, after the last list that contained the node.
const RETENTION: Time = 600_000_000;
/// Changes of the wall clock up to this many microseconds count as a correction, larger ones as a step.
const MIN_STEP: Time = 1_000_000;

/// The start of a node.
#[derive(Debug, Clone, Copy)]
struct Start {
    /// As reported by the list, by the wall clock.
    reported: Time,
    /// As converted to the clock of this machine.
    at: Time,
    /// The start was in the first list, so that only the wall clock tells how long before the process it was.
    in_first_list: bool,
    last_listed: Time,
}

/// The start times of all nodes that lists have contained.
#[derive(Debug)]
pub struct StartTimes {
    process_start: Time,
    /// When the last list arrived; a start that a later list reports for the first time has happened since.
    last_list: Option<Time>,
    /// Total step of the wall clock up to the last list.
    step: Time,
    starts: BTreeMap<NodeId, Start>,
    next_cleanup: Time,
}

impl StartTimes {
    /// Creates the table of a process that starts at `now`.
    pub fn new(now: Time) -> Self {
        StartTimes {
            process_start: now,
            last_list: None,
            step: 0,
            starts: BTreeMap::new(),
            next_cleanup: now + RETENTION,
        }
    }

    /// Begins a list. `step` is how far the wall clock has been stepped since the process started. Returns the nodes
    /// whose converted start times change because of a new step.
    pub fn begin_list(&mut self, step: Time) -> Vec<(NodeId, Time)> {
        let moved = step - self.step;
        if moved.abs() <= MIN_STEP {
            return Vec::new();
        }
        tracing::warn!(by_ms = moved / 1000, "the wall clock was stepped");
        self.step = step;
        let process_start = self.process_start;
        let mut changed = Vec::new();
        for (node, start) in self.starts.iter_mut().filter(|(_, start)| start.in_first_list) {
            let before = start.at;
            start.at = match moved < 0 {
                // The wall clock was ahead when the process started, or is behind now. If it was ahead, the node started
                // later than it seemed, but no later than the process.
                true => (start.at - moved).min(process_start),
                // The wall clock was behind if the start seemed to lie in the future. Otherwise it may be ahead now, and
                // the step is ignored.
                false if start.reported > process_start => (start.reported - moved).min(start.at),
                false => start.at,
            };
            changed.extend((start.at != before).then_some((*node, start.at)));
        }
        changed
    }

    /// Converts the start time of a node in the current list to the clock of this machine. Returns `None` for a node
    /// whose start is not reported because it was long ago.
    pub fn adopt(&mut self, now: Time, node: NodeId, reported: Option<Time>) -> Option<Time> {
        let Some(reported) = reported else {
            self.starts.remove(&node);
            return None;
        };
        let last_list = self.last_list;
        let start = self.starts.entry(node).or_insert(Start {
            reported: Time::MIN,
            at: 0,
            in_first_list: false,
            last_listed: now,
        });
        if start.reported != reported {
            let at = reported.min(now).max(last_list.unwrap_or(Time::MIN));
            *start = Start { reported, at, in_first_list: last_list.is_none(), last_listed: now };
        }
        start.last_listed = now;
        Some(start.at)
    }

    /// Ends a list after all its nodes have been passed to [`StartTimes::adopt`].
    pub fn end_list(&mut self, now: Time) {
        self.last_list = Some(now);
        if now >= self.next_cleanup {
            self.next_cleanup = now + RETENTION;
            self.starts.retain(|_, start| now - start.last_listed < RETENTION);
        }
    }
}

#[cfg(test)]
mod tests;
