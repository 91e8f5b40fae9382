//! The hand-over file: the state that a process of a broker leaves for its successor, and through which the processes of
//! a broker exchange state while they run at the same time.
//!
//! The file starts with a header line that gives its format version, length and checksum. This module encodes and
//! decodes it; it does not read or write files.

use super::maintenance::{Ban, NamedNode};
use super::planner::ListedNode;
use crate::interface::{NodeEntry, NodeId, NodeState, ShardId, Time};
use serde::{Deserialize, Serialize};

/// First word of the header line; it includes the format version.
const HEADER: &str = "claywinch-handover-1";
/// Maximum size of the file in bytes; enough for thousands of nodes.
pub const MAX_BYTES: usize = 4 << 20;
/// Time in microseconds since its last update after which a process counts as ended.
const HEARTBEAT_TIMEOUT: Time = 1_500_000;

/// Why a hand-over file cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The file is larger than [`MAX_BYTES`].
    #[error("too long")]
    TooLong,
    /// The header is missing or has another format version.
    #[error("not a hand-over of this version")]
    Header,
    /// The length or the checksum does not match the content.
    #[error("its checksum does not fit")]
    Damaged,
    /// The content has an unexpected structure.
    #[error("{0}")]
    Content(String),
}

/// A process of the broker, as it is recorded in the file.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Random number drawn at the start of the process.
    pub id: u64,
    /// When the process started.
    pub started: Time,
    /// Whether the process serves and is not about to stop.
    pub ready: bool,
    /// When the process last updated its record.
    pub beat: Time,
    /// Number of descriptors that the process had open at that time.
    pub held: usize,
    /// The fraction of the broker's limits that the process may use; see [`super::parts`]. A version that does not record
    /// it uses the whole limits.
    #[serde(default = "whole")]
    pub part: f64,
    /// Whether the process holds a file lock while it lives, so that others can reliably determine whether it does.
    #[serde(default)]
    pub locks: bool,
}

/// The part of a process whose version does not record one.
fn whole() -> f64 {
    1.0
}

/// A node of the last list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLeft {
    name: String,
    address: String,
    zone: u32,
    shard: ShardId,
    draining: bool,
    started: Option<Time>,
    size: u32,
}

impl From<&NamedNode> for NodeLeft {
    fn from(listed: &NamedNode) -> Self {
        let (entry, address) = (&listed.member.entry, &listed.member.address);
        NodeLeft {
            name: listed.name.clone(),
            address: address.clone(),
            zone: entry.zone,
            shard: entry.shard,
            draining: entry.state != NodeState::Up,
            started: entry.started,
            size: entry.size,
        }
    }
}

impl NodeLeft {
    /// Converts the record to a listed node; `number` assigns the node number by name.
    pub fn listed(self, number: impl FnOnce(&str) -> NodeId) -> NamedNode {
        let state = if self.draining { NodeState::Draining } else { NodeState::Up };
        let (zone, shard, started, size) = (self.zone, self.shard, self.started, self.size);
        let entry = NodeEntry { node: number(&self.name), zone, shard, state, started, size };
        NamedNode { name: self.name, member: ListedNode { entry, address: self.address } }
    }
}

/// The content of the hand-over file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The running processes of the broker.
    pub processes: Vec<Process>,
    /// The last operator call about each node.
    pub bans: Vec<Ban>,
    /// Version of the node list.
    pub revision: u64,
    /// The nodes of that list.
    pub nodes: Vec<NodeLeft>,
}

impl Handover {
    /// Encodes the content with its header.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut text = format!("{HEADER} {} {:08x}\n", body.len(), crc32c::crc32c(&body)).into_bytes();
        text.extend(body);
        text
    }

    /// Decodes a file and verifies its header.
    pub fn decode(text: &[u8]) -> Result<Self, DecodeError> {
        if text.len() > MAX_BYTES {
            return Err(DecodeError::TooLong);
        }
        let prefix = format!("{HEADER} ");
        let rest = text.strip_prefix(prefix.as_bytes()).ok_or(DecodeError::Header)?;
        let end = rest.iter().position(|b| *b == b'\n').ok_or(DecodeError::Header)?;
        let (sizes, body) = (String::from_utf8_lossy(&rest[..end]), &rest[end + 1..]);
        if sizes != format!("{} {:08x}", body.len(), crc32c::crc32c(body)) {
            return Err(DecodeError::Damaged);
        }
        serde_json::from_slice(body).map_err(|e| DecodeError::Content(e.to_string()))
    }

    /// Records a running process. Removes other processes whose lock is free or, if they have no lock, that have not
    /// updated their record for five heartbeat timeouts.
    pub fn record(&mut self, own: Process, lives: impl Fn(u64) -> bool) {
        let is_kept =
            |p: &Process| if p.locks { lives(p.id) } else { own.beat - p.beat < 5 * HEARTBEAT_TIMEOUT };
        self.processes.retain(|p| p.id != own.id && is_kept(p));
        self.processes.push(own);
    }

    /// Returns the parts of the limits that other live processes hold. A process without a lock counts as live.
    pub fn other_parts(&self, own: &Process, lives: impl Fn(u64) -> bool) -> Vec<f64> {
        let lives = |p: &&Process| p.id != own.id && (!p.locks || lives(p.id));
        self.processes.iter().filter(lives).map(|p| p.part).collect()
    }

    /// Removes the record of a process that ends.
    pub fn remove(&mut self, id: u64) {
        self.processes.retain(|p| p.id != id);
    }

    /// Returns whether a process that started later is serving and has updated its record recently.
    pub fn has_successor(&self, own: &Process, now: Time) -> bool {
        let later = |p: &&Process| (p.started, p.id) > (own.started, own.id) && p.ready;
        self.processes.iter().filter(later).any(|p| now - p.beat < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether a process that started later holds its lock, ready or not.
    pub fn is_followed(&self, id: u64, lives: impl Fn(u64) -> bool) -> bool {
        let Some(own) = self.processes.iter().find(|p| p.id == id) else { return false };
        let later = |p: &&Process| (p.started, p.id) > (own.started, own.id);
        self.processes.iter().filter(later).any(|p| p.locks && lives(p.id))
    }

    /// Returns whether a process that started before `own` may still be running. One that holds a lock while it lives is judged
    /// by `lives`, any other by its last record.
    pub fn is_preceded(&self, own: (Time, u64), now: Time, lives: impl Fn(u64) -> bool) -> bool {
        let runs = |p: &&Process| if p.locks { lives(p.id) } else { now - p.beat < HEARTBEAT_TIMEOUT };
        self.processes.iter().filter(|p| (p.started, p.id) < own).any(|p| runs(&p))
    }

    /// Returns the number of descriptors that the other running processes hold; `None` if no other process runs.
    pub fn held_by_others(&self, own: &Process, now: Time) -> Option<usize> {
        let others = self.processes.iter().filter(|p| p.id != own.id && now - p.beat < HEARTBEAT_TIMEOUT);
        others.map(|p| p.held).reduce(|all, held| all + held)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000;

    fn process(id: u64, started: Time, ready: bool, beat: Time) -> Process {
        Process { id, started, ready, beat, held: 100, part: 0.5, locks: true }
    }

    fn full() -> Handover {
        let ban = Ban { name: "a".into(), node: 1, at: 5, out: true };
        let node = NodeLeft {
            name: "a".into(),
            address: "127.0.0.1:1".into(),
            zone: 1,
            shard: 2,
            draining: false,
            started: Some(9),
            size: 700,
        };
        Handover { processes: vec![process(1, 0, true, 1)], bans: vec![ban], revision: 41, nodes: vec![node] }
    }

    /// Guards against a start on a truncated file, or on one that another program wrote.
    #[test]
    fn only_a_complete_file_of_this_version_is_decoded() {
        let text = full().encode();
        assert_eq!(Handover::decode(&text), Ok(full()));
        for cut in 0..text.len() {
            assert!(Handover::decode(&text[..cut]).is_err(), "cut at {cut}");
        }
        for at in 0..text.len() {
            let mut flipped = text.clone();
            flipped[at] ^= 4;
            assert!(Handover::decode(&flipped).is_err(), "flipped at {at}");
        }
        let later = String::from_utf8_lossy(&text).replacen("handover-1", "handover-2", 1);
        assert_eq!(Handover::decode(later.as_bytes()), Err(DecodeError::Header));
        assert_eq!(Handover::decode(&vec![b'x'; MAX_BYTES + 1]), Err(DecodeError::TooLong));
    }

    #[test]
    fn a_node_survives_encoding_unchanged() {
        let left = full().nodes.remove(0);
        let listed = left.clone().listed(|_| 7);
        assert_eq!((listed.member.entry.node, listed.member.entry.started), (7, Some(9)));
        assert_eq!(NodeLeft::from(&listed), left);
    }

    /// Guards against an old process that stops in favour of one which died or never became ready.
    #[test]
    fn a_successor_is_ready_and_alive_and_started_later() {
        let own = process(1, 10 * S, true, 10 * S);
        let with = |other: Process| {
            let mut handover = Handover::default();
            handover.record(own, |_| true);
            handover.record(other, |_| true);
            handover
        };
        let now = 30 * S;
        assert!(with(process(2, 20 * S, true, 29 * S)).has_successor(&own, now));
        assert!(!with(process(2, 20 * S, false, 29 * S)).has_successor(&own, now), "not ready");
        assert!(!with(process(2, 20 * S, true, 27 * S)).has_successor(&own, now), "its record is too old");
        assert!(!with(process(2, 5 * S, true, 29 * S)).has_successor(&own, now), "it started earlier");
        assert_eq!(with(process(2, 5 * S, true, 29 * S)).held_by_others(&own, now), Some(100));
        assert_eq!(
            with(process(1, 10 * S, true, 29 * S)).held_by_others(&own, now),
            None,
            "its own record does not count"
        );
        let mut handover = with(process(2, 20 * S, true, 29 * S));
        handover.remove(2);
        assert_eq!(handover.held_by_others(&own, now), None);
        (0..100).for_each(|i| handover.record(process(i, 0, true, now), |id| id == 7));
        assert_eq!(
            handover.processes.iter().map(|p| p.id).collect::<Vec<_>>(),
            [7, 99],
            "records of dead processes are removed"
        );
    }

    /// Guards against counting the part of a suspended process as free, and against a process of a version without parts,
    /// which uses the whole limits.
    #[test]
    fn a_part_is_held_for_as_long_as_its_process_lives() {
        let (own, old) = (process(1, 0, true, 0), process(2, 0, true, -1000 * S));
        let mut handover = Handover::default();
        handover.record(old, |_| true);
        handover.record(own, |_| true);
        assert_eq!(handover.other_parts(&own, |_| true), [0.5], "its record is old, but its lock is held");
        assert_eq!(handover.other_parts(&own, |_| false), [0.0; 0]);
        let bare = r#"{"id":3,"started":0,"ready":true,"beat":0,"held":9}"#;
        handover.processes.push(serde_json::from_str(bare).expect("a record of an older version"));
        assert_eq!(handover.other_parts(&own, |_| false), [1.0], "a version without parts uses all");
    }
}
