//! Ids that must not be accepted again for some time. Their number is bounded: the oldest one makes room.

use crate::interface::Time;
use std::collections::{BTreeSet, VecDeque};

/// Ids with the time until which each is kept.
#[derive(Debug)]
pub struct RecentIds {
    ids: BTreeSet<Box<[u8]>>,
    /// The ids in the order in which they came.
    expiry: VecDeque<(Time, Box<[u8]>)>,
    most: usize,
    retention: Time,
}

impl RecentIds {
    /// Creates an empty set that keeps at most `most` ids, each for `retention` microseconds.
    pub fn new(most: usize, retention: Time) -> Self {
        RecentIds { ids: BTreeSet::new(), expiry: VecDeque::new(), most, retention }
    }

    /// Adds an id at `now`.
    pub fn insert(&mut self, now: Time, id: Box<[u8]>) {
        self.expire(now);
        if self.ids.insert(id.clone()) {
            self.expiry.push_back((now + self.retention, id));
        }
        if self.expiry.len() > self.most {
            self.drop_oldest();
        }
    }

    /// Returns whether an id was added within the retention.
    pub fn contains(&mut self, now: Time, id: &[u8]) -> bool {
        self.expire(now);
        self.ids.contains(id)
    }

    fn expire(&mut self, now: Time) {
        while self.expiry.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.expiry.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_kept_for_its_time_unless_others_need_the_room() {
        let mut recent = RecentIds::new(2, 100);
        let id = |text: &str| text.as_bytes().into();
        recent.insert(0, id("a"));
        recent.insert(10, id("a"));
        assert!(recent.contains(99, b"a") && !recent.contains(100, b"a"));
        for (now, text) in [(200, "b"), (210, "c"), (220, "d")] {
            recent.insert(now, id(text));
        }
        assert!(!recent.contains(230, b"b") && recent.contains(230, b"c") && recent.contains(230, b"d"));
    }
}
