//! The volumes that a host keeps state of. Their number is limited, since clients may name ever new ones: the
//! volume that was used least recently makes room, unless that would let it exceed its limit.

use super::node::{Bucket, DecayingMean};
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Number of least recently used volumes that are considered when room is needed.
const MAX_CANDIDATES: usize = 8;

/// State of a volume at this host.
#[derive(Debug, Default)]
pub(super) struct Volume {
    pub(super) plan: usize,
    pub(super) hosts: u32,
    pub(super) limit: Bucket,
    /// Units of the requests that wait for the limit.
    pub(super) held_units: f64,
    pub(super) reserve: Bucket,
    pub(super) share: Bucket,
    /// Units served recently through this host.
    pub(super) own: f64,
    /// Units that the answering nodes served recently through other hosts.
    pub(super) other: f64,
    /// Rate of the units served through this host: `sum` holds the decaying total.
    pub(super) served: DecayingMean,
    /// Number of open requests.
    pub(super) open: u32,
    /// When a request of the volume last arrived.
    pub(super) used_at: Time,
}

/// When a volume was last used, and its name.
type LastUse = (Time, Rc<str>);

/// Volumes by name.
#[derive(Debug)]
pub(super) struct Volumes {
    map: BTreeMap<Rc<str>, Volume>,
    /// The volumes in the order of their last use.
    by_use: BTreeSet<LastUse>,
    most: usize,
}

impl Default for Volumes {
    fn default() -> Self {
        Volumes { map: BTreeMap::new(), by_use: BTreeSet::new(), most: usize::MAX }
    }
}

impl Volumes {
    /// Limits the number of volumes.
    pub(super) fn set_limit(&mut self, most: usize) {
        self.most = most.max(1);
    }

    pub(super) fn len(&self) -> usize {
        self.map.len()
    }

    pub(super) fn get(&self, name: &str) -> Option<&Volume> {
        self.map.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Volume> {
        self.map.get_mut(name)
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Volume> {
        self.map.values_mut()
    }

    /// Returns the volume of a request that arrives now, which `new` creates if it is not known.
    pub(super) fn used(&mut self, now: Time, name: &str, new: impl FnOnce() -> Volume) -> &mut Volume {
        let name = self.map.get_key_value(name).map_or_else(|| Rc::from(name), |(name, _)| name.clone());
        let volume = self.map.entry(name.clone()).or_insert_with(new);
        let before = std::mem::replace(&mut volume.used_at, now);
        let mut last_use = (before, name);
        self.by_use.remove(&last_use);
        last_use.0 = now;
        self.by_use.insert(last_use);
        volume
    }

    /// Makes room for a volume if it is not known. Returns false if none of the least recently used volumes
    /// may be dropped.
    pub(super) fn make_room(&mut self, name: &str, may_drop: impl FnMut(&mut Volume) -> bool) -> bool {
        if self.map.len() < self.most || self.map.contains_key(name) {
            return true;
        }
        let oldest: Vec<LastUse> = self.by_use.iter().take(MAX_CANDIDATES).cloned().collect();
        self.drop_first(oldest, may_drop, 1) > 0
    }

    /// Drops the volumes that were last used before a time.
    pub(super) fn drop_unused(&mut self, before: Time, may_drop: impl FnMut(&mut Volume) -> bool) {
        let unused = self.by_use.range(..(before, Rc::from("")));
        let unused: Vec<LastUse> = unused.cloned().collect();
        self.drop_first(unused, may_drop, usize::MAX);
    }

    /// Drops those of the candidates that may be dropped, at most `most`; returns their number.
    fn drop_first(
        &mut self,
        candidates: Vec<LastUse>,
        mut may_drop: impl FnMut(&mut Volume) -> bool,
        most: usize,
    ) -> usize {
        let mut dropped = 0;
        for candidate in candidates {
            if dropped < most && self.map.get_mut(&candidate.1).is_some_and(&mut may_drop) {
                self.map.remove(&candidate.1);
                self.by_use.remove(&candidate);
                dropped += 1;
            }
        }
        dropped
    }
}
