//! A sorted set of deadlines. The planner keeps all its deadlines in one such set and takes out the due ones in every
//! turn.

use crate::interface::Time;
use std::collections::BTreeSet;

/// Deadlines, sorted by time; deadlines with the same time are sorted by `T`.
#[derive(Debug)]
pub struct Deadlines<T: Ord> {
    set: BTreeSet<(Time, T)>,
    lateness: Lateness,
}

/// Statistics of how late deadlines were taken out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Number of deadlines taken out.
    pub count: u64,
    /// Sum of the lateness of these deadlines, in microseconds.
    pub total: Time,
    /// The largest lateness, in microseconds.
    pub worst: Time,
}

impl<T: Ord> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { set: BTreeSet::new(), lateness: Lateness::default() }
    }
}

impl<T: Ord> Deadlines<T> {
    /// Adds a deadline.
    pub fn insert(&mut self, at: Time, what: T) {
        self.set.insert((at, what));
    }

    /// Removes a deadline; returns whether it was set.
    pub fn remove(&mut self, at: Time, what: T) -> bool {
        self.set.remove(&(at, what))
    }

    /// Returns the time of the earliest deadline, or `None` if no deadline is set.
    pub fn first(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// Takes out the earliest deadline if it is due at `now`.
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

    /// Returns the lateness statistics since the last call and resets them.
    pub fn take_lateness(&mut self) -> Lateness {
        std::mem::take(&mut self.lateness)
    }

    /// Returns the number of deadlines.
    pub fn len(&self) -> usize {
        self.set.len()
    }

    /// Returns whether no deadline is set.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn due_deadlines_are_taken_in_order_and_their_lateness_is_measured() {
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
