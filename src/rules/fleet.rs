//! The nodes that a scheduler knows, with an index for each question that it asks of all of them. Whatever
//! is asked for one event looks at as many nodes as a key's group has, however many there are;
//! [`Fleet::looks`] counts that.

use super::node::Node;
use crate::interface::{NodeEntry, NodeId, NodeState, ShardId, Time};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes that the key of a new object picks by consistent hashing: twice the paper's negotiating group, since
/// a host knows some of its members' queues only from the mean.
pub(super) const GROUP: usize = 18;
/// Places of each node on the ring. A node stands in so many groups as the arcs before its places are long;
/// with 18 arcs each before 16 places that differs by about 6% among nodes.
const PLACES: u32 = 16;
/// Most places of the ring that are looked at for one group.
const MOST_PLACES: usize = GROUP * PLACES as usize;

/// All nodes that are remembered.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    nodes: BTreeMap<NodeId, Node>,
    /// Nodes that take work, by the shard they hold; the one that started last is the last.
    holders: BTreeMap<ShardId, BTreeSet<(Option<Time>, NodeId)>>,
    /// The same nodes on the ring.
    ring: BTreeSet<(u64, NodeId)>,
    /// The same nodes.
    up: BTreeSet<NodeId>,
    /// Nodes that are not gone.
    present: BTreeSet<NodeId>,
    /// How many nodes have told each size.
    sizes: BTreeMap<u32, usize>,
    looks: Cell<u64>,
}

impl Fleet {
    /// How many nodes are remembered.
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// How many nodes take work.
    pub(super) fn up(&self) -> usize {
        self.up.len()
    }

    /// Nodes that have been looked at so far, and places of the ring.
    pub(super) fn looks(&self) -> u64 {
        self.looks.get()
    }

    fn look(&self) {
        self.looks.set(self.looks.get() + 1);
    }

    /// A node.
    pub(super) fn get(&self, id: NodeId) -> Option<&Node> {
        self.look();
        self.nodes.get(&id)
    }

    /// A node whose book is to change. Its entry changes only by [`Fleet::enter`].
    pub(super) fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.look();
        self.nodes.get_mut(&id)
    }

    /// The node that holds a shard and takes work; of several the one that started last.
    pub(super) fn holder(&self, shard: ShardId) -> Option<NodeId> {
        self.look();
        self.holders.get(&shard)?.last().map(|(_, node)| *node)
    }

    /// The smallest size that any node has told, or 1.
    pub(super) fn least_size(&self) -> u32 {
        self.sizes.first_key_value().map_or(1, |(size, _)| *size)
    }

    /// The nodes that a key may go to, in the order in which it prefers them: the same on all hosts,
    /// whatever order their lists come in.
    pub(super) fn group(&self, key: &str) -> Vec<NodeId> {
        let mut group: Vec<NodeId> = match self.up.len() <= GROUP {
            true => self.up.iter().copied().collect(),
            false => self.walk(hash(key, 0)),
        };
        group.sort_unstable_by_key(|node| (std::cmp::Reverse(hash(key, *node)), *node));
        group.iter().for_each(|_| self.look());
        group
    }

    /// The first nodes on the ring from a place on.
    fn walk(&self, start: u64) -> Vec<NodeId> {
        let mut found = Vec::with_capacity(GROUP);
        let places = self.ring.range((start, 0)..).chain(self.ring.range(..(start, 0)));
        for (_, node) in places.take(MOST_PLACES) {
            self.look();
            if !found.contains(node) {
                found.push(*node);
            }
            if found.len() == GROUP {
                break;
            }
        }
        found
    }

    /// Takes what a list says of a node, and gives the node with the entry that it had before; a node that
    /// was not known starts with `fresh`.
    pub(super) fn enter(
        &mut self,
        entry: NodeEntry,
        fresh: impl FnOnce() -> Node,
    ) -> (&mut Node, Option<NodeEntry>) {
        self.look();
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

    /// Nodes that are there and that a whole list does not name.
    pub(super) fn missing(&self, named: &BTreeSet<NodeId>) -> Vec<NodeEntry> {
        let missing = self.present.difference(named);
        missing.filter_map(|id| self.get(*id)).map(|node| node.entry.clone()).collect()
    }

    /// Forgets the nodes that are not to be kept.
    pub(super) fn retain(&mut self, keep: impl Fn(&Node) -> bool) {
        self.looks.set(self.looks.get() + self.nodes.len() as u64);
        let over: Vec<NodeId> = self.nodes.iter().filter(|(_, n)| !keep(n)).map(|(id, _)| *id).collect();
        for id in over {
            if let Some(node) = self.nodes.remove(&id) {
                self.index(&node.entry, false);
            }
        }
    }

    /// Puts an entry into the indices, or takes it out.
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
                self.ring.extend((0..PLACES).map(|place| (place_of(id, place), id)));
            }
            false => {
                self.up.remove(&id);
                if let Some(holders) = self.holders.get_mut(&entry.shard) {
                    holders.remove(&holder);
                    if holders.is_empty() {
                        self.holders.remove(&entry.shard);
                    }
                }
                for place in 0..PLACES {
                    self.ring.remove(&(place_of(id, place), id));
                }
            }
        }
    }
}

/// Where on the ring a node has one of its places.
fn place_of(node: NodeId, place: u32) -> u64 {
    mix(mix((u64::from(node) << 32 | u64::from(place)).wrapping_add(0x9e37_79b9_7f4a_7c15)))
}

/// Hash of a key and a node: the same on all hosts.
pub(super) fn hash(key: &str, node: NodeId) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for byte in key.bytes().chain(node.to_le_bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(h)
}

/// Spreads the bits of a number.
fn mix(mut h: u64) -> u64 {
    h ^= h >> 32;
    h = h.wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}
