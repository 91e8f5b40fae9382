//! The nodes that a scheduler knows, with an index for each query over all of them. The work for one event is
//! bounded by the size of a key's group and does not grow with the number of nodes; [`Fleet::inspections`]
//! counts the nodes and ring points that are inspected.

use super::node::Node;
use crate::interface::{NodeEntry, NodeId, NodeState, ShardId, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Number of candidate nodes that consistent hashing gives for the key of a new object. It is twice the size
/// of the negotiating group in the paper that the design follows, since for some members a host knows only
/// the mean queue of all nodes.
pub(super) const GROUP_SIZE: usize = 18;
/// Number of points of each node on the hash ring. The number of groups that a node belongs to is
/// proportional to the length of the arcs before its points; with 18 arcs before each of 16 points it differs
/// by about 6% among nodes.
const POINTS_PER_NODE: u32 = 16;
/// Maximum number of ring points that are inspected for one group.
const MAX_RING_POINTS: usize = GROUP_SIZE * POINTS_PER_NODE as usize;

/// All known nodes and the indices over them.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    nodes: BTreeMap<NodeId, Node>,
    /// Nodes that accept work by the shard they hold, ordered by start time, latest last.
    holders: BTreeMap<ShardId, BTreeSet<(Option<Time>, NodeId)>>,
    /// Hash ring: the points of all nodes that accept work.
    ring: BTreeSet<(u64, NodeId)>,
    /// All nodes that accept work.
    up: BTreeSet<NodeId>,
    /// All nodes that are not gone.
    present: BTreeSet<NodeId>,
    /// Number of nodes by registered size, without nodes that state none.
    sizes: BTreeMap<u32, usize>,
    inspections: Cell<u64>,
}

impl Fleet {
    /// Number of known nodes, including nodes that are gone and not yet forgotten.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Number of nodes that accept work.
    pub(super) fn up(&self) -> usize {
        self.up.len()
    }

    /// Number of nodes and ring points inspected so far.
    pub(super) fn inspections(&self) -> u64 {
        self.inspections.get()
    }

    fn count_inspection(&self) {
        self.inspections.set(self.inspections.get() + 1);
    }

    pub(super) fn get(&self, id: NodeId) -> Option<&Node> {
        self.count_inspection();
        self.nodes.get(&id)
    }

    /// Returns a node for changes of its book. Its entry may only be changed through [`Fleet::upsert`], which
    /// maintains the indices.
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.count_inspection();
        self.nodes.get_mut(&id)
    }

    /// Returns the node that holds a shard and accepts work; if there are several, the one that started last.
    pub(super) fn holder(&self, shard: ShardId) -> Option<NodeId> {
        self.count_inspection();
        self.holders.get(&shard)?.last().map(|(_, node)| *node)
    }

    /// Returns the smallest registered size of any node, or 1 if no node states a size.
    pub(super) fn min_size(&self) -> u32 {
        self.sizes.first_key_value().map_or(1, |(size, _)| *size)
    }

    /// Returns the candidate nodes of a key in order of preference. The order is the same on all hosts,
    /// regardless of the order of their node lists.
    pub(super) fn group(&self, key: &str) -> Vec<NodeId> {
        let mut group: Vec<NodeId> = match self.up.len() <= GROUP_SIZE {
            true => self.up.iter().copied().collect(),
            false => self.walk_ring(hash(key, 0)),
        };
        group.sort_unstable_by_key(|node| (std::cmp::Reverse(hash(key, *node)), *node));
        group.iter().for_each(|_| self.count_inspection());
        group
    }

    /// Returns the first [`GROUP_SIZE`] different nodes on the ring from a point on.
    fn walk_ring(&self, start: u64) -> Vec<NodeId> {
        let mut found = Vec::with_capacity(GROUP_SIZE);
        let points = self.ring.range((start, 0)..).chain(self.ring.range(..(start, 0)));
        for (_, node) in points.take(MAX_RING_POINTS) {
            self.count_inspection();
            if !found.contains(node) {
                found.push(*node);
            }
            if found.len() == GROUP_SIZE {
                break;
            }
        }
        found
    }

    /// Stores the entry of a node and updates the indices. Returns the node with its previous entry; a node
    /// that was not known is created with `fresh`.
    pub(super) fn upsert(
        &mut self,
        entry: NodeEntry,
        fresh: impl FnOnce() -> Node,
    ) -> (&mut Node, Option<NodeEntry>) {
        self.count_inspection();
        let id = entry.node;
        let before = self.nodes.get(&id).map(|node| node.entry.clone());
        if before.as_ref() != Some(&entry) {
            if let Some(before) = &before {
                self.index(before, false);
            }
            self.index(&entry, true);
        }
        let node = self.nodes.entry(id).or_insert_with(fresh);
        node.entry = entry;
        (node, before)
    }

    /// Returns the entries of all nodes that are not gone and are missing from a full list, given the nodes
    /// it names.
    pub(super) fn missing(&self, named: &BTreeSet<NodeId>) -> Vec<NodeEntry> {
        let missing = self.present.difference(named);
        missing.filter_map(|id| self.get(*id)).map(|node| node.entry.clone()).collect()
    }

    /// Removes the nodes for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&Node) -> bool) {
        self.inspections.set(self.inspections.get() + self.nodes.len() as u64);
        let removed: Vec<NodeId> = self.nodes.iter().filter(|(_, n)| !keep(n)).map(|(id, _)| *id).collect();
        for id in removed {
            if let Some(node) = self.nodes.remove(&id) {
                self.index(&node.entry, false);
            }
        }
    }

    /// Adds an entry to the indices, or removes it if `present` is false.
    fn index(&mut self, entry: &NodeEntry, present: bool) {
        let id = entry.node;
        if entry.size > 0 {
            let count = self.sizes.entry(entry.size).or_default();
            *count = if present { *count + 1 } else { *count - 1 };
            if *count == 0 {
                self.sizes.remove(&entry.size);
            }
        }
        if entry.state != NodeState::Gone {
            match present {
                true => self.present.insert(id),
                false => self.present.remove(&id),
            };
        }
        if entry.state != NodeState::Up {
            return;
        }
        let holder = (entry.started, id);
        match present {
            true => {
                self.up.insert(id);
                self.holders.entry(entry.shard).or_default().insert(holder);
                self.ring.extend((0..POINTS_PER_NODE).map(|point| (ring_point(id, point), id)));
            }
            false => {
                self.up.remove(&id);
                if let Some(holders) = self.holders.get_mut(&entry.shard) {
                    holders.remove(&holder);
                    if holders.is_empty() {
                        self.holders.remove(&entry.shard);
                    }
                }
                for point in 0..POINTS_PER_NODE {
                    self.ring.remove(&(ring_point(id, point), id));
                }
            }
        }
    }
}

/// Returns the position on the ring of one of a node's points.
fn ring_point(node: NodeId, point: u32) -> u64 {
    mix(mix((u64::from(node) << 32 | u64::from(point)).wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

/// Hashes a key and a node with FNV-1a; the result is the same on all hosts.
pub(super) fn hash(key: &str, node: NodeId) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.bytes().chain(node.to_le_bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(h)
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
fn mix(mut h: u64) -> u64 {
    h ^= h >> 32;
    h = h.wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}
