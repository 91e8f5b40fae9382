//! What an entry of the log says about the configuration that it holds: who proposed it, and which revision it was made
//! against. It stands in the entry's context, which a build without revisions ignores.

use raft::eraftpb::{Entry, EntryType};
use serde::{Deserialize, Serialize};

/// Revision of a configuration: the index of its entry in the log. 0 stands for no configuration, and for the one that a
/// new log begins with.
pub type Revision = u64;

/// First byte of a context that holds a [`Change`].
const FORMAT: u8 = 1;

/// A proposed configuration, without its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the member that proposed it.
    pub proposer: u64,
    /// Sequence number among the proposer's changes.
    pub number: u64,
    /// The revision in force at the proposer when the change was made.
    pub base: Revision,
    /// Whether it is the configuration that a new log begins with. Any other change may follow it.
    pub initial: bool,
}

impl Change {
    /// Encodes the change as the context of an entry.
    pub fn encode(&self) -> Vec<u8> {
        // Four integers and a flag: there is nothing in it that cannot be encoded.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Decodes the change of an entry; `None` if the entry is of a build without revisions.
    pub fn of(entry: &Entry) -> Option<Change> {
        let (format, encoded) = entry.context.split_first()?;
        postcard::from_bytes(encoded).ok().filter(|_| *format == FORMAT)
    }
}

/// Returns whether an entry holds a configuration. Empty entries of new leaders and changes of the members hold none.
pub fn holds_value(entry: &Entry) -> bool {
    entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty()
}

/// Returns the revision of the configuration that an entry holds.
pub fn revision(entry: &Entry) -> Revision {
    match Change::of(entry) {
        Some(change) if change.initial => 0,
        _ => entry.index,
    }
}

/// What a leader does with a proposed entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is appended to the log.
    Accepted,
    /// It was made against another revision than the last one of the log, and is dropped.
    Outdated(Change),
    /// It does not say what it was made against, and is dropped.
    Unversioned,
}

/// Decides on a proposed entry; `last` is the last entry of the leader's log that holds a configuration, committed or not.
/// Wherever the proposed entry is committed, exactly the leader's log precedes it. So an accepted configuration follows the
/// one that it was made against at every member.
pub fn admission(last: Option<&Entry>, proposed: &Entry) -> Admission {
    let Some(change) = Change::of(proposed).filter(|_| holds_value(proposed)) else {
        return Admission::Unversioned;
    };
    let fits = match change.initial {
        true => last.is_none(),
        false => change.base == last.map_or(0, revision),
    };
    if fits {
        Admission::Accepted
    } else {
        Admission::Outdated(change)
    }
}
