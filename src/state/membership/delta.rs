//! What one view changes of the one before it, and the last few of these. Views travel as deltas, and are written down as deltas;
//! a snapshot (`snapshot.rs`) goes only to whom the kept deltas do not reach.

use super::{mix, Member, Name, Seat, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Bytes that a delta takes beside its names, about.
const BARE: usize = 32;
/// Deltas are kept for a small cluster, too, up to so many bytes.
const LEAST_KEPT: usize = 4_096;

/// One view's difference from the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The number of the view that it follows; it leads to the next.
    pub after: u64,
    /// The founding of both.
    pub origin: u64,
    /// The digest of the view that it leads to.
    pub digest: u64,
    /// Members that go, by name.
    pub gone: Vec<Name>,
    /// Members that come, or come in the place of a former life.
    pub joined: Vec<Member>,
    /// The voters, if they change.
    pub seats: Option<Vec<Seat>>,
    /// Operators' calls: nodes that are taken out, or put back. Some may be so already.
    pub drains: Vec<(String, bool)>,
}

/// A delta that does not lead from the view at hand to the one that it names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a delta that does not follow")]
pub struct Mismatch;

impl Delta {
    /// What leads from one view to the next.
    pub fn between(old: &View, new: &View) -> Delta {
        let gone = old.members.iter().filter(|m| new.member(&m.name).is_none());
        let joined = new.members.iter().filter(|m| old.member(&m.name) != Some(m));
        let out = new.drains.difference(&old.drains).map(|n| (n.clone(), true));
        let back = old.drains.difference(&new.drains).map(|n| (n.clone(), false));
        Delta {
            after: old.number,
            origin: new.origin,
            digest: new.digest(),
            gone: gone.map(|m| m.name.clone()).collect(),
            joined: joined.cloned().collect(),
            seats: (old.seats != new.seats).then(|| new.seats.clone()),
            drains: out.chain(back).collect(),
        }
    }

    /// The number of the view that it leads to.
    pub fn number(&self) -> u64 {
        self.after + 1
    }

    /// Whether it changes who belongs.
    pub fn moves(&self) -> bool {
        !self.gone.is_empty() || !self.joined.is_empty()
    }

    /// Bytes that it takes, about.
    pub fn weight(&self) -> usize {
        let names =
            self.gone.iter().chain(self.drains.iter().map(|(n, _)| n)).map(String::len).sum::<usize>();
        BARE + names + self.joined.iter().map(weight).sum::<usize>()
    }
}

/// Bytes that a member takes, about.
pub fn weight(m: &Member) -> usize {
    BARE / 2 + m.name.len() + m.address.len()
}

impl View {
    /// The view that a delta leads to.
    pub fn follow(&self, delta: &Delta) -> Result<View, Mismatch> {
        if delta.after != self.number || delta.origin != self.origin {
            return Err(Mismatch);
        }
        let mut next = self.clone();
        next.number = delta.number();
        if delta.moves() {
            // Of one that comes in the place of a former life the former one goes.
            let names = delta.gone.iter().chain(delta.joined.iter().map(|j| &j.name));
            let goes: BTreeSet<&Name> = names.collect();
            next.members.retain(|m| !goes.contains(&m.name));
            next.members.extend(delta.joined.iter().cloned());
            next.members.sort_by(|a, b| a.name.cmp(&b.name));
        }
        if let Some(seats) = &delta.seats {
            next.seats.clone_from(seats);
        }
        for (node, out) in &delta.drains {
            match out {
                true => drop(next.drains.insert(node.clone())),
                false => drop(next.drains.remove(node)),
            }
        }
        match next.digest() == delta.digest {
            true => Ok(next),
            false => Err(Mismatch),
        }
    }

    /// A number that two views share only if they hold the same, but for chance.
    pub fn digest(&self) -> u64 {
        let each = |name: &str, place: &str, salt: u64| mix(name.as_bytes(), mix(place.as_bytes(), salt));
        let lives = |i: u64, life: u64| mix(&i.to_le_bytes(), life);
        let members = self.members.iter().map(|m| each(&m.name, &m.address, lives(m.incarnation, m.life)));
        let seats = self.seats.iter().map(|s| each(&s.name, &s.address, lives(s.id, !s.life)));
        let drains = self.drains.iter().map(|n| each(n, "", 0));
        let start = mix(&self.number.to_le_bytes(), self.origin ^ u64::from(self.wanted));
        members.chain(seats).chain(drains).fold(start, u64::wrapping_add)
    }

    /// Bytes that it takes, about.
    pub fn weight(&self) -> usize {
        self.members.iter().map(weight).sum::<usize>() + self.drains.iter().map(String::len).sum::<usize>()
    }
}

/// The last deltas that led to a view, one after another: no more of them than a snapshot of it takes.
#[derive(Debug, Default)]
pub struct Deltas {
    kept: VecDeque<Arc<Delta>>,
    bytes: usize,
}

impl Deltas {
    /// Takes the delta that has led to a view. Those before it go, where it does not follow them or they are too many.
    pub fn push(&mut self, delta: Arc<Delta>, view: &View) {
        if self.kept.back().is_some_and(|last| last.number() != delta.after) {
            self.clear();
        }
        self.bytes += delta.weight();
        self.kept.push_back(delta);
        let most = view.weight().max(LEAST_KEPT);
        while self.bytes > most && self.kept.len() > 1 {
            self.bytes -= self.kept.pop_front().map_or(0, |d| d.weight());
        }
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Deltas::default();
    }

    /// All that followed the view of that number; nothing where that is not known any more, or takes more bytes, about.
    pub fn since(&self, number: u64, most: usize) -> Option<Vec<Arc<Delta>>> {
        let first = self.kept.front()?.after;
        let skip = usize::try_from(number.checked_sub(first)?).ok()?;
        let later = || self.kept.iter().skip(skip);
        let fits = most >= self.bytes || later().map(|d| d.weight()).sum::<usize>() <= most;
        (skip <= self.kept.len() && fits).then(|| later().cloned().collect())
    }

    /// Whether no view after that number had an operator's call about a node; nothing where that is not known any more.
    pub fn untouched(&self, node: &str, number: u64) -> Option<bool> {
        let first = self.kept.front()?.after;
        let skip = usize::try_from(number.checked_sub(first)?).ok()?;
        let touches = |d: &Arc<Delta>| d.drains.iter().any(|(name, _)| name == node);
        (skip <= self.kept.len()).then(|| !self.kept.iter().skip(skip).any(touches))
    }

    /// The number of the last view that a name went with, as far as is known.
    pub fn gone(&self, name: &str) -> Option<u64> {
        let with = |d: &&Arc<Delta>| d.gone.iter().any(|n| n == name);
        self.kept.iter().rev().find(with).map(|d| d.number())
    }
}
