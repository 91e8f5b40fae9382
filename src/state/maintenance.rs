//! What staff have taken out for maintenance, laid over every list of nodes. The planner is told of such a node as
//! draining, whatever the list says, so the scheduler's rule on drains is all that is needed.

use super::planner::ListedNode;
use crate::interface::{ListKind, NodeEntry, NodeId, NodeState, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Most names that are remembered as once listed: what is needed to say no to one that never was.
const MOST_NAMES: usize = 8192;
/// Most nodes that may be out at once.
const MOST_OUT: usize = 1024;
/// How long a call that put a node back is remembered, so that another process which missed it learns of it.
const CALL_MEMORY: Time = 60_000_000;

/// A node of a list with the name that staff know it by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedNode {
    /// Its name.
    pub name: String,
    /// What the planner is told.
    pub member: ListedNode,
}

/// The last call about a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ban {
    /// Its name.
    pub name: String,
    /// Its number.
    pub node: NodeId,
    /// When the call came.
    pub at: Time,
    /// Whether it took the node out, or put it back.
    pub out: bool,
}

/// Why a call changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// No list has ever named the node.
    #[error("no such node was ever listed")]
    NeverListed,
    /// Too many are out.
    #[error("too many nodes are out")]
    TooMany,
}

/// Nodes as last listed, and which of them staff have taken out.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// As the list says, without what is laid over it; those that are gone are not among them.
    nodes: BTreeMap<NodeId, NamedNode>,
    /// Every name that was listed, with its number and when it was last; the oldest go first.
    names: BTreeMap<String, (NodeId, u64)>,
    seen: BTreeMap<u64, String>,
    next: u64,
    /// The last calls by name; those that put a node back end after a while.
    bans: BTreeMap<String, Ban>,
    /// Names that are out at all brokers of the cluster, as its view says; replaced as a whole.
    shared: BTreeSet<String>,
    /// This broker may send to no node now: it has no lease.
    halted: bool,
    /// Nor may it while something may count as told that its list lacks.
    outdated: bool,
    /// How long after its start a node is left to the process that takes over, if one does.
    left_cold: Option<Time>,
}

impl Maintenance {
    /// Takes a list and gives it as the planner is to be told.
    pub fn apply_list(&mut self, now: Time, kind: ListKind, list: Vec<NamedNode>) -> Vec<ListedNode> {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.nodes.clear();
        }
        let mut told = Vec::with_capacity(list.len());
        for listed in list {
            self.remember(&listed.name, listed.member.entry.node);
            told.push(self.laid_over(now, &listed));
            match listed.member.entry.state {
                NodeState::Gone => drop(self.nodes.remove(&listed.member.entry.node)),
                _ => drop(self.nodes.insert(listed.member.entry.node, listed)),
            }
        }
        self.bans.retain(|_, ban| ban.out || now - ban.at < CALL_MEMORY);
        told
    }

    fn remember(&mut self, name: &str, node: NodeId) {
        if let Some((_, before)) = self.names.get(name) {
            self.seen.remove(before);
        }
        self.next += 1;
        self.names.insert(name.to_string(), (node, self.next));
        self.seen.insert(self.next, name.to_string());
        if self.names.len() > MOST_NAMES {
            if let Some((_, oldest)) = self.seen.pop_first() {
                self.names.remove(&oldest);
            }
        }
    }

    fn laid_over(&self, now: Time, listed: &NamedNode) -> ListedNode {
        let mut member = listed.member.clone();
        let entry = &mut member.entry;
        if entry.state == NodeState::Up && (self.is_out(&listed.name) || self.is_left(now, entry)) {
            entry.state = NodeState::Draining;
        }
        member
    }

    fn is_out(&self, name: &str) -> bool {
        self.shared.contains(name) || self.bans.get(name).is_some_and(|ban| ban.out)
    }

    /// Whether nothing may be sent to any node.
    pub fn is_suspended(&self) -> bool {
        self.halted || self.outdated
    }

    /// Whether a list has ever named it, as far as that is remembered.
    pub fn was_listed(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Takes what is out at all brokers. Gives what the planner is to be told: of those whose names came or went.
    pub fn set_shared(&mut self, now: Time, shared: BTreeSet<String>) -> Vec<ListedNode> {
        let before = std::mem::replace(&mut self.shared, shared);
        let moved: Vec<&String> = before.symmetric_difference(&self.shared).collect();
        let numbers = moved.into_iter().filter_map(|name| self.names.get(name)).map(|(node, _)| *node);
        let listed = numbers.filter_map(|node| self.nodes.get(&node));
        // One that is banned here, too, is out on either word.
        let banned = |l: &&NamedNode| self.bans.get(&l.name).is_some_and(|ban| ban.out);
        listed.filter(|l| !banned(l)).map(|listed| self.laid_over(now, listed)).collect()
    }

    /// Nothing may be sent to any node now, or it may again. Gives whether nothing may for any reason.
    pub fn set_halted(&mut self, halted: bool) -> bool {
        self.halted = halted;
        self.is_suspended()
    }

    /// The list that is held may lack what counts as told, or it does no longer. Gives whether nothing may be sent for
    /// any reason.
    pub fn set_outdated(&mut self, outdated: bool) -> bool {
        self.outdated = outdated;
        self.is_suspended()
    }

    /// Takes a list and gives only what has changed by it, as the planner is to be told; of a whole list those that are
    /// missing, too, first of all. What it costs beside that grows with the list, not with the square of it.
    pub fn apply_changes(&mut self, now: Time, kind: ListKind, list: Vec<NamedNode>) -> Vec<ListedNode> {
        let mut told = Vec::new();
        if kind != ListKind::Changes {
            let named: BTreeSet<NodeId> = list.iter().map(|l| l.member.entry.node).collect();
            let missing = self.nodes.values().filter(|l| !named.contains(&l.member.entry.node)).cloned();
            let gone = missing.map(|mut listed| {
                listed.member.entry.state = NodeState::Gone;
                listed
            });
            let gone: Vec<NamedNode> = gone.collect();
            told = self.apply_list(now, ListKind::Changes, gone);
        }
        let news = |l: &NamedNode| self.nodes.get(&l.member.entry.node) != Some(l);
        let changed = list.into_iter().filter(news).collect();
        let mut changed = self.apply_list(now, ListKind::Changes, changed);
        // Those that are to be sent nothing more come before those that may be sent something.
        changed.sort_by_key(|member| member.entry.state == NodeState::Up);
        told.extend(changed);
        told
    }

    fn is_left(&self, now: Time, entry: &NodeEntry) -> bool {
        let age = entry.started.map(|started| now - started);
        self.left_cold.zip(age).is_some_and(|(cold, age)| age < cold)
    }

    /// Takes a node out, or puts it back. Gives what the planner is to be told: nothing if it is so already, or if
    /// the list does not name the node now.
    pub fn set_out(&mut self, now: Time, name: &str, out: bool) -> Result<Vec<ListedNode>, Refused> {
        let known = self.names.get(name).map(|(node, _)| *node);
        let node = known.or(self.bans.get(name).map(|ban| ban.node)).ok_or(Refused::NeverListed)?;
        if out && !self.is_out(name) && self.bans.values().filter(|ban| ban.out).count() >= MOST_OUT {
            return Err(Refused::TooMany);
        }
        let at = self.bans.get(name).map_or(now, |last| now.max(last.at + 1));
        Ok(self.take(now, Ban { name: name.to_string(), node, at, out }))
    }

    /// Takes the calls that another process has had: of two about one node the later holds.
    pub fn merge(&mut self, now: Time, bans: Vec<Ban>) -> Vec<ListedNode> {
        let later = |ban: &Ban, own: &BTreeMap<String, Ban>| own.get(&ban.name).is_none_or(|o| ban.at > o.at);
        let mut told = Vec::new();
        for ban in bans.into_iter().take(2 * MOST_OUT) {
            if later(&ban, &self.bans) && (ban.out || self.bans.contains_key(&ban.name)) {
                told.extend(self.take(now, ban));
            }
        }
        told
    }

    fn take(&mut self, now: Time, ban: Ban) -> Vec<ListedNode> {
        let (before, node) = (self.bans.get(&ban.name).is_some_and(|b| b.out), ban.node);
        if ban.out == before && before {
            return Vec::new();
        }
        let after = ban.out;
        if after || before {
            tracing::info!(node = ban.name, out = after, "maintenance");
            self.bans.insert(ban.name.clone(), ban);
        }
        let listed = self.nodes.get(&node).filter(|_| before != after);
        listed.map(|listed| self.laid_over(now, listed)).into_iter().collect()
    }

    /// Leaves nodes that started less than `cold` ago to the process that takes over, or no longer. Gives what the
    /// planner is to be told.
    pub fn exclude_cold(&mut self, now: Time, cold: Option<Time>) -> Vec<ListedNode> {
        if self.left_cold == cold {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.left_cold, cold);
        let age = before.max(cold).unwrap_or(0);
        let young = |l: &&NamedNode| l.member.entry.started.is_some_and(|started| now - started < age);
        self.nodes.values().filter(young).map(|l| self.laid_over(now, l)).collect()
    }

    /// The last calls, for a process that comes after this one.
    pub fn bans(&self) -> Vec<Ban> {
        self.bans.values().cloned().collect()
    }

    /// Nodes as they were last listed, with other starts.
    pub fn with_starts(&self, starts: Vec<(NodeId, Time)>) -> Vec<NamedNode> {
        let dated = starts.into_iter().filter_map(|(node, at)| {
            let mut listed = self.nodes.get(&node)?.clone();
            listed.member.entry.started = Some(at);
            Some(listed)
        });
        dated.collect()
    }

    /// The nodes as listed.
    pub fn nodes(&self) -> Vec<NamedNode> {
        self.nodes.values().cloned().collect()
    }

    /// Whether any node may be sent to.
    pub fn is_usable(&self) -> bool {
        let up = |l: &NamedNode| l.member.entry.state == NodeState::Up && !self.is_out(&l.name);
        !self.is_suspended() && self.nodes.values().any(up)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000;

    fn listed(name: &str, node: NodeId, state: NodeState, started: Option<Time>) -> NamedNode {
        let entry = NodeEntry { node, zone: 0, shard: node, state, started, size: 0 };
        NamedNode { name: name.into(), member: ListedNode { entry, address: "an address".into() } }
    }

    fn up(name: &str, node: NodeId) -> NamedNode {
        listed(name, node, NodeState::Up, None)
    }

    /// Guards against a node that is taken out everywhere and served here, and one put back while it is out.
    #[test]
    fn what_is_out_at_all_brokers_is_laid_over_lists_and_ends_with_the_view() {
        let mut u = Maintenance::default();
        u.apply_list(0, ListKind::Full, vec![up("a", 1), up("b", 2)]);
        assert_eq!(
            states(&u.set_shared(1, BTreeSet::from(["a".into(), "c".into()]))),
            [(1, NodeState::Draining)]
        );
        assert_eq!(states(&u.apply_list(2, ListKind::Changes, vec![up("c", 3)])), [(3, NodeState::Draining)]);
        assert!(u.is_usable() && u.set_halted(true) && !u.is_usable());
        assert!(u.set_outdated(true) && u.set_halted(false), "each reason by itself");
        let back = [(1, NodeState::Up), (3, NodeState::Up)];
        assert_eq!(states(&u.set_shared(5, BTreeSet::new())), back, "as listed: suspension is told apart");
        assert!(!u.set_outdated(false));
        assert!(u.is_usable() && u.was_listed("c") && !u.was_listed("d"));
    }

    /// Guards against a whole list that is taken apart again for each of its nodes.
    #[test]
    fn of_a_whole_list_only_what_has_changed_is_told_and_what_leaves_comes_first() {
        let mut u = Maintenance::default();
        let told = u.apply_changes(0, ListKind::Full, vec![up("a", 1), up("b", 2), up("c", 3)]);
        assert_eq!(told.len(), 3);
        assert!(u.apply_changes(1, ListKind::Full, vec![up("a", 1), up("b", 2), up("c", 3)]).is_empty());
        u.set_out(2, "a", true).expect("listed");
        let draining = listed("c", 3, NodeState::Draining, None);
        let told = u.apply_changes(3, ListKind::Full, vec![up("a", 1), up("d", 4), draining]);
        assert_eq!(states(&told), [(2, NodeState::Gone), (3, NodeState::Draining), (4, NodeState::Up)]);
        assert_eq!(u.nodes().len(), 3);
        let told = u.apply_changes(4, ListKind::Changes, vec![listed("a", 1, NodeState::Up, Some(S))]);
        assert_eq!(states(&told), [(1, NodeState::Draining)], "a ban holds over a new start");
    }

    fn states(told: &[ListedNode]) -> Vec<(NodeId, NodeState)> {
        told.iter().map(|m| (m.entry.node, m.entry.state)).collect()
    }

    /// Guards against a list of any kind that puts a node back into use which staff have taken out.
    #[test]
    fn a_ban_holds_over_every_list_until_the_call_back() {
        use NodeState::*;
        let mut maintenance = Maintenance::default();
        let both = || vec![up("a", 1), up("b", 2)];
        assert_eq!(states(&maintenance.apply_list(0, ListKind::Full, both())), [(1, Up), (2, Up)]);
        assert_eq!(states(&maintenance.set_out(S, "a", true).expect("listed")), [(1, Draining)]);
        assert_eq!(maintenance.set_out(S, "a", true).as_deref(), Ok(&[][..]), "said again");
        for kind in [ListKind::Full, ListKind::Saved, ListKind::Changes] {
            assert_eq!(states(&maintenance.apply_list(2 * S, kind, both())), [(1, Draining), (2, Up)]);
        }
        // It goes, and comes back at another address with a new start.
        let gone = listed("a", 1, Gone, None);
        assert_eq!(states(&maintenance.apply_list(3 * S, ListKind::Changes, vec![gone])), [(1, Gone)]);
        let mut back = listed("a", 1, Up, Some(4 * S));
        back.member.address = "another address".into();
        assert_eq!(states(&maintenance.apply_list(4 * S, ListKind::Changes, vec![back])), [(1, Draining)]);
        let told = maintenance.set_out(5 * S, "a", false).expect("listed");
        assert_eq!((told[0].entry.state, told[0].entry.started), (Up, Some(4 * S)), "as the list says now");
        assert_eq!(told[0].address, "another address");
        assert_eq!(maintenance.set_out(5 * S, "a", false).as_deref(), Ok(&[][..]));
        assert_eq!(states(&maintenance.apply_list(6 * S, ListKind::Full, both())), [(1, Up), (2, Up)]);
    }

    #[test]
    fn only_what_was_listed_once_can_be_called_and_little_is_kept_to_know_it() {
        let mut maintenance = Maintenance::default();
        maintenance.apply_list(0, ListKind::Full, vec![up("a", 1)]);
        maintenance.apply_list(0, ListKind::Full, vec![up("b", 2)]);
        assert_eq!(maintenance.set_out(S, "c", true), Err(Refused::NeverListed));
        assert_eq!(maintenance.set_out(S, "c", false), Err(Refused::NeverListed));
        assert_eq!(maintenance.set_out(S, "a", true).as_deref(), Ok(&[][..]), "it was listed once");
        for i in 0..2 * MOST_NAMES as u32 {
            maintenance.apply_list(S, ListKind::Full, vec![up(&format!("n{i}"), 10 + i)]);
        }
        assert!(maintenance.names.len() <= MOST_NAMES && maintenance.seen.len() <= MOST_NAMES);
        assert_eq!(maintenance.set_out(S, "b", true), Err(Refused::NeverListed), "forgotten");
        assert!(maintenance.set_out(S, "a", false).is_ok(), "a ban is not");
        maintenance.apply_list(S + CALL_MEMORY + 1, ListKind::Changes, Vec::new());
        assert!(maintenance.bans.is_empty(), "a call back ends");
    }

    /// Guards against a ban that is lost or revived between two processes which both take calls.
    #[test]
    fn of_two_processes_the_later_call_holds() {
        let mut pair = [Maintenance::default(), Maintenance::default()];
        for maintenance in &mut pair {
            maintenance.apply_list(0, ListKind::Full, vec![up("a", 1), up("b", 2)]);
        }
        let [old, new] = &mut pair;
        old.set_out(S, "a", true).expect("listed");
        assert_eq!(states(&new.merge(S, old.bans())), [(1, NodeState::Draining)]);
        assert!(new.merge(S, old.bans()).is_empty(), "nothing new");
        new.set_out(2 * S, "a", false).expect("listed");
        assert!(new.merge(2 * S, old.bans()).is_empty(), "an earlier call");
        assert_eq!(states(&old.merge(2 * S, new.bans())), [(1, NodeState::Up)]);
    }

    /// Guards against two processes that both fill a cold node's budget.
    #[test]
    fn cold_nodes_are_left_to_the_process_that_takes_over() {
        let mut maintenance = Maintenance::default();
        let cold = listed("b", 2, NodeState::Up, Some(9 * S));
        maintenance.apply_list(10 * S, ListKind::Full, vec![up("a", 1), cold]);
        assert_eq!(states(&maintenance.exclude_cold(10 * S, Some(20 * S))), [(2, NodeState::Draining)]);
        let another = listed("c", 3, NodeState::Up, Some(11 * S));
        let told = maintenance.apply_list(12 * S, ListKind::Changes, vec![another]);
        assert_eq!(states(&told), [(3, NodeState::Draining)]);
        let told = maintenance.exclude_cold(13 * S, None);
        assert_eq!(states(&told), [(2, NodeState::Up), (3, NodeState::Up)], "the new one died");
    }
}
