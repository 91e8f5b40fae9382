//! When nodes have started, by this machine's own clock. A list tells it by the wall clock, which every machine reads
//! alike as long as it is right; it may be stepped while this process runs, or may have been off when it started. So it
//! is believed only within what this broker has seen itself: a start that is told for the first time between two lists
//! lies between them, and none lies in the future.

use crate::interface::{NodeId, Time};
use std::collections::BTreeMap;

/// How long the start of a node that no list names any more is remembered.
const MEMORY: Time = 600_000_000;
/// A wall clock that has moved by less has been corrected, not stepped.
const STEP: Time = 1_000_000;

/// A start as it was told, and when it was by this machine's clock.
#[derive(Debug, Clone, Copy)]
struct Start {
    told: Time,
    at: Time,
    /// It was there in the first list: only the wall clock says how long before.
    first: bool,
    listed: Time,
}

/// The starts of all nodes that lists have named.
#[derive(Debug)]
pub struct StartTimes {
    began: Time,
    /// When the last list was taken: what a later one tells anew has happened since.
    last: Option<Time>,
    /// How far the wall clock had moved then.
    step: Time,
    known: BTreeMap<NodeId, Start>,
    forget_at: Time,
}

impl StartTimes {
    /// Those of a process that starts at `now`.
    pub fn new(now: Time) -> Self {
        StartTimes { began: now, last: None, step: 0, known: BTreeMap::new(), forget_at: now + MEMORY }
    }

    /// A list is taken; the wall clock has moved by `step` since the process began. Gives the nodes whose starts are
    /// taken for others than before.
    pub fn begin_list(&mut self, step: Time) -> Vec<(NodeId, Time)> {
        let moved = step - self.step;
        if moved.abs() <= STEP {
            return Vec::new();
        }
        tracing::warn!(by_ms = moved / 1000, "the wall clock was stepped");
        self.step = step;
        let began = self.began;
        let mut changed = Vec::new();
        for (node, start) in self.known.iter_mut().filter(|(_, start)| start.first) {
            let before = start.at;
            start.at = match moved < 0 {
                // It was ahead when the process began, or is behind now. If it was ahead, this start is later than it
                // seemed, but no later than the process.
                true => (start.at - moved).min(began),
                // It was behind if the start seemed to lie in the future; else it may be ahead now, and is not believed.
                false if start.told > began => (start.told - moved).min(start.at),
                false => start.at,
            };
            changed.extend((start.at != before).then_some((*node, start.at)));
        }
        changed
    }

    /// The start of a node of that list, by this machine's clock; nothing for one that started long ago.
    pub fn adopt(&mut self, now: Time, node: NodeId, told: Option<Time>) -> Option<Time> {
        let Some(told) = told else {
            self.known.remove(&node);
            return None;
        };
        let last = self.last;
        let start =
            self.known.entry(node).or_insert(Start { told: Time::MIN, at: 0, first: false, listed: now });
        if start.told != told {
            let at = told.min(now).max(last.unwrap_or(Time::MIN));
            *start = Start { told, at, first: last.is_none(), listed: now };
        }
        start.listed = now;
        Some(start.at)
    }

    /// The list is taken whole.
    pub fn end_list(&mut self, now: Time) {
        self.last = Some(now);
        if now >= self.forget_at {
            self.forget_at = now + MEMORY;
            self.known.retain(|_, start| now - start.listed < MEMORY);
        }
    }
}

#[cfg(test)]
mod tests;
