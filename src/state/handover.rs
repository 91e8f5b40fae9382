//! What one process of a broker leaves for the next, and what both tell one another while they run side by side: a
//! text with a head that names its version, its length and its checksum. Reading and writing files is not done
//! here.

use super::maintenance::{Ban, NamedNode};
use super::planner::ListedNode;
use crate::interface::{NodeEntry, NodeId, NodeState, ShardId, Time};
use serde::{Deserialize, Serialize};

/// The first word of the head, with the version of what follows.
const HEAD: &str = "claywinch-handover-1";
/// Longest text that is read: thousands of nodes.
pub const MAX_BYTES: usize = 4 << 20;
/// A process that has not been heard of for so long has ended.
const ALIVE: Time = 1_500_000;

/// Why a text is of no use.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is longer than any of ours.
    #[error("too long")]
    TooLong,
    /// It does not begin as ours do, or is of another version.
    #[error("not a hand-over of this version")]
    Head,
    /// It was cut off or changed.
    #[error("its checksum does not fit")]
    Damaged,
    /// It holds something else than it should.
    #[error("{0}")]
    Content(String),
}

/// A process of the broker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Process {
    /// Drawn at its start.
    pub id: u64,
    /// When it started.
    pub started: Time,
    /// Whether it serves and will go on.
    pub ready: bool,
    /// When it was last heard of.
    pub beat: Time,
    /// Descriptors that it held then.
    pub held: usize,
    /// The part of the broker's limits that it may spend; see [`super::parts`]. A version that tells none spends all.
    #[serde(default = "whole")]
    pub part: f64,
    /// Whether it holds a lock for as long as it lives, which tells for certain whether it does.
    #[serde(default)]
    pub locks: bool,
}

fn whole() -> f64 {
    1.0
}

/// A node as the list said.
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
    /// As a list names it, with its number.
    pub fn listed(self, number: impl FnOnce(&str) -> NodeId) -> NamedNode {
        let state = if self.draining { NodeState::Draining } else { NodeState::Up };
        let (zone, shard, started, size) = (self.zone, self.shard, self.started, self.size);
        let entry = NodeEntry { node: number(&self.name), zone, shard, state, started, size };
        NamedNode { name: self.name, member: ListedNode { entry, address: self.address } }
    }
}

/// What is handed over.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The processes that run.
    pub processes: Vec<Process>,
    /// The operators' last calls about nodes.
    pub bans: Vec<Ban>,
    /// Version of the list.
    pub revision: u64,
    /// The nodes of the list.
    pub nodes: Vec<NodeLeft>,
}

impl Handover {
    /// The text that stands for it.
    pub fn encode(&self) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let mut text = format!("{HEAD} {} {:08x}\n", body.len(), crc32c::crc32c(&body)).into_bytes();
        text.extend(body);
        text
    }

    /// Reads such a text.
    pub fn decode(text: &[u8]) -> Result<Self, DecodeError> {
        if text.len() > MAX_BYTES {
            return Err(DecodeError::TooLong);
        }
        let head = format!("{HEAD} ");
        let rest = text.strip_prefix(head.as_bytes()).ok_or(DecodeError::Head)?;
        let end = rest.iter().position(|b| *b == b'\n').ok_or(DecodeError::Head)?;
        let (figures, body) = (String::from_utf8_lossy(&rest[..end]), &rest[end + 1..]);
        if figures != format!("{} {:08x}", body.len(), crc32c::crc32c(body)) {
            return Err(DecodeError::Damaged);
        }
        serde_json::from_slice(body).map_err(|e| DecodeError::Content(e.to_string()))
    }

    /// Notes that a process runs; of the others those stay that live by their locks, or that have none and were heard
    /// of lately.
    pub fn record(&mut self, own: Process, lives: impl Fn(u64) -> bool) {
        let stays = |p: &Process| if p.locks { lives(p.id) } else { own.beat - p.beat < 5 * ALIVE };
        self.processes.retain(|p| p.id != own.id && stays(p));
        self.processes.push(own);
    }

    /// The parts of the limits that other processes have which live.
    pub fn other_parts(&self, own: &Process, lives: impl Fn(u64) -> bool) -> Vec<f64> {
        let lives = |p: &&Process| p.id != own.id && (!p.locks || lives(p.id));
        self.processes.iter().filter(lives).map(|p| p.part).collect()
    }

    /// Notes that a process ends.
    pub fn remove(&mut self, id: u64) {
        self.processes.retain(|p| p.id != id);
    }

    /// Whether a process that started later serves in the place of one.
    pub fn has_successor(&self, own: &Process, now: Time) -> bool {
        let later = |p: &&Process| (p.started, p.id) > (own.started, own.id) && p.ready;
        self.processes.iter().filter(later).any(|p| now - p.beat < ALIVE)
    }

    /// Whether a process that started later lives, ready or not.
    pub fn is_followed(&self, id: u64, lives: impl Fn(u64) -> bool) -> bool {
        let Some(own) = self.processes.iter().find(|p| p.id == id) else { return false };
        let later = |p: &&Process| (p.started, p.id) > (own.started, own.id);
        self.processes.iter().filter(later).any(|p| p.locks && lives(p.id))
    }

    /// Descriptors that other processes than one hold, if any still runs.
    pub fn held_by_others(&self, own: &Process, now: Time) -> Option<usize> {
        let others = self.processes.iter().filter(|p| p.id != own.id && now - p.beat < ALIVE);
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

    /// Guards against a start on half a file, or on one that something else wrote.
    #[test]
    fn only_a_whole_text_of_this_version_is_taken() {
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
        assert_eq!(Handover::decode(later.as_bytes()), Err(DecodeError::Head));
        assert_eq!(Handover::decode(&vec![b'x'; MAX_BYTES + 1]), Err(DecodeError::TooLong));
    }

    #[test]
    fn a_node_is_listed_again_as_it_was() {
        let left = full().nodes.remove(0);
        let listed = left.clone().listed(|_| 7);
        assert_eq!((listed.member.entry.node, listed.member.entry.started), (7, Some(9)));
        assert_eq!(NodeLeft::from(&listed), left);
    }

    /// Guards against an old process that gives way to one which died or never got ready.
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
        assert!(!with(process(2, 20 * S, true, 27 * S)).has_successor(&own, now), "it died");
        assert!(!with(process(2, 5 * S, true, 29 * S)).has_successor(&own, now), "it was there before");
        assert_eq!(with(process(2, 5 * S, true, 29 * S)).held_by_others(&own, now), Some(100));
        assert_eq!(with(process(1, 10 * S, true, 29 * S)).held_by_others(&own, now), None, "itself");
        let mut handover = with(process(2, 20 * S, true, 29 * S));
        handover.remove(2);
        assert_eq!(handover.held_by_others(&own, now), None);
        (0..100).for_each(|i| handover.record(process(i, 0, true, now), |id| id == 7));
        assert_eq!(
            handover.processes.iter().map(|p| p.id).collect::<Vec<_>>(),
            [7, 99],
            "the dead are dropped"
        );
    }

    /// Guards against a process that was stopped for long and is taken for dead, and one of a version without parts.
    #[test]
    fn a_part_is_held_for_as_long_as_its_process_lives() {
        let (own, old) = (process(1, 0, true, 0), process(2, 0, true, -1000 * S));
        let mut handover = Handover::default();
        handover.record(old, |_| true);
        handover.record(own, |_| true);
        assert_eq!(handover.other_parts(&own, |_| true), [0.5], "silent, but its lock is held");
        assert_eq!(handover.other_parts(&own, |_| false), [0.0; 0]);
        let bare = r#"{"id":3,"started":0,"ready":true,"beat":0,"held":9}"#;
        handover.processes.push(serde_json::from_str(bare).expect("an older version's"));
        assert_eq!(handover.other_parts(&own, |_| false), [1.0], "it knows nothing of parts");
    }
}
