//! The one sorted structure that holds all deadlines of a planner. It is swept once each turn.

use crate::interface::Time;
use std::collections::BTreeSet;

/// Deadlines in the order of their times; of equals, in the order of `T`.
#[derive(Debug)]
pub struct Deadlines<T: Ord> {
    set: BTreeSet<(Time, T)>,
    lateness: Lateness,
}

/// How late deadlines were swept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Deadlines swept.
    pub count: u64,
    /// Sum of their lateness, in microseconds.
    pub total: Time,
    /// The worst.
    pub worst: Time,
}

impl<T: Ord> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { set: BTreeSet::new(), lateness: Lateness::default() }
    }
}

impl<T: Ord> Deadlines<T> {
    /// Sets a deadline.
    pub fn insert(&mut self, at: Time, what: T) {
        self.set.insert((at, what));
    }

    /// Takes back a deadline.
    pub fn remove(&mut self, at: Time, what: T) -> bool {
        self.set.remove(&(at, what))
    }

    /// The time of the first.
    pub fn first(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// Takes the first that is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<(Time, T)> {
        if self.first()? > now {
            return None;
        }
        let (at, what) = self.set.pop_first()?;
        self.lateness.count += 1;
        self.lateness.total += now - at;
        self.lateness.worst = self.lateness.worst.max(now - at);
        Some((at, what))
    }

    /// How late deadlines were since the last call.
    pub fn take_lateness(&mut self) -> Lateness {
        std::mem::take(&mut self.lateness)
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sweeps_what_is_due_in_order_and_measures_how_late() {
        let mut deadlines = Deadlines::default();
        for (at, what) in [(30, 'c'), (10, 'b'), (10, 'a'), (20, 'x')] {
            deadlines.insert(at, what);
        }
        assert!(deadlines.remove(20, 'x') && !deadlines.remove(20, 'x'));
        assert_eq!(deadlines.pop_due(9), None);
        assert_eq!(deadlines.pop_due(12), Some((10, 'a')));
        assert_eq!(deadlines.pop_due(14), Some((10, 'b')));
        assert_eq!(deadlines.pop_due(29), None);
        assert_eq!(deadlines.first(), Some(30));
        assert_eq!(deadlines.take_lateness(), Lateness { count: 2, total: 6, worst: 4 });
        assert_eq!(deadlines.take_lateness(), Lateness::default());
    }
}
