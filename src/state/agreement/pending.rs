//! The change that a member has proposed and that is not decided yet.

use super::change::{revision, Change, Revision};
use bytes::Bytes;
use raft::eraftpb::Entry;
use serde::Serialize;

/// What became of a proposed change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was committed.
    Agreed {
        /// Its revision.
        revision: Revision,
    },
    /// Another change was committed after the revision that it was made against, so it is dropped.
    GaveWay {
        /// The revision that it was made against.
        made_against: Revision,
        /// The revision that was committed instead.
        revision: Revision,
        /// The member that proposed that one; `None` if it is of a build that does not say.
        proposer: Option<u64>,
    },
}

/// A change that is proposed until it is decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pending {
    /// The change.
    pub change: Change,
    /// The configuration.
    pub value: Bytes,
}

/// What a committed entry means for a pending change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The change is still undecided.
    Open,
    /// The entry is an earlier change of the same member, made against the same revision. The pending one replaces it, so
    /// it now counts as made against that entry.
    Rebased,
    /// The change is decided.
    Decided(Outcome),
}

impl Pending {
    /// Applies a committed entry that holds a configuration.
    pub fn apply(&mut self, entry: &Entry) -> Verdict {
        let (revision, committed) = (revision(entry), Change::of(entry));
        if revision <= self.change.base {
            return Verdict::Open;
        }
        if committed == Some(self.change) || entry.data == self.value {
            return Verdict::Decided(Outcome::Agreed { revision });
        }
        if committed.is_some_and(|earlier| self.replaces(&earlier)) {
            self.change.base = revision;
            return Verdict::Rebased;
        }
        let (made_against, proposer) = (self.change.base, committed.map(|change| change.proposer));
        Verdict::Decided(Outcome::GaveWay { made_against, revision, proposer })
    }

    /// Returns whether this change was made at the same member after `earlier` and against the same revision.
    fn replaces(&self, earlier: &Change) -> bool {
        let own = &self.change;
        earlier.proposer == own.proposer && earlier.base == own.base && earlier.number < own.number
    }
}
