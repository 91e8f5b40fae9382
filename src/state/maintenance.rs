//! Nodes that operators have taken out of service for maintenance, applied on top of every list of nodes.
//!
//! The planner sees such a node as draining, whatever the list says, so the scheduler needs no rule besides the one for
//! draining nodes.

use super::planner::ListedNode;
use crate::interface::{ListKind, NodeEntry, NodeId, NodeState, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of remembered node names. They are kept to reject calls for a node that was never listed.
const MAX_NAMES: usize = 8192;
/// Maximum number of nodes that may be out of service at once, and of calls that returned a node and are kept.
const MAX_OUT: usize = 1024;
/// How long a call that returned a node to service is kept, so that another process of the broker still learns of it.
const RETURN_RETENTION: Time = 60_000_000;

/// A node of a list with the name that operators use for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedNode {
    /// Name of the node.
    pub name: String,
    /// The node as passed to the planner.
    pub member: ListedNode,
}

/// The last operator call about a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ban {
    /// Name of the node.
    pub name: String,
    /// Number of the node.
    pub node: NodeId,
    /// When the call was made.
    pub at: Time,
    /// Whether the call took the node out of service (`true`) or returned it (`false`).
    pub out: bool,
}

/// Why a call was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// No list has ever contained the node.
    #[error("no such node was ever listed")]
    NeverListed,
    /// The maximum number of nodes is already out of service.
    #[error("too many nodes are out")]
    TooMany,
}

/// Returns whether a call is still kept.
fn is_kept(now: Time, call: &Ban) -> bool {
    call.out || now - call.at < RETURN_RETENTION
}

/// The nodes as last listed, and which of them operators have taken out of service.
#[derive(Debug, Default)]
pub struct Maintenance {
    /// The nodes as listed, without maintenance applied. Nodes listed as gone are removed.
    nodes: BTreeMap<NodeId, NamedNode>,
    /// Each listed name with the number of the node and the sequence number of its last listing.
    names: BTreeMap<String, (NodeId, u64)>,
    /// The names by that sequence number, for evicting the one listed longest ago.
    by_last_listing: BTreeMap<u64, String>,
    last_listing: u64,
    /// The last call by name of the node, also if it changed nothing: it must hold over an earlier call that another process
    /// received. A call that returned a node expires after [`RETURN_RETENTION`].
    bans: BTreeMap<String, Ban>,
    /// Names of the nodes that the cluster's view marks as out of service at all brokers.
    shared: BTreeSet<String>,
    /// Sending is suspended because this broker has no lease.
    halted: bool,
    /// Sending is suspended because the list may lack a change that already counts as delivered.
    outdated: bool,
    /// Nodes younger than this are left to the succeeding process of the broker, if there is one.
    excluded_age: Option<Time>,
}

impl Maintenance {
    /// Stores a list and returns all its nodes with maintenance applied, for the planner.
    pub fn apply_list(&mut self, now: Time, kind: ListKind, list: Vec<NamedNode>) -> Vec<ListedNode> {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.nodes.clear();
        }
        let mut members = Vec::with_capacity(list.len());
        for listed in list {
            self.remember_name(&listed.name, listed.member.entry.node);
            members.push(self.with_maintenance(now, &listed));
            match listed.member.entry.state {
                NodeState::Gone => drop(self.nodes.remove(&listed.member.entry.node)),
                _ => drop(self.nodes.insert(listed.member.entry.node, listed)),
            }
        }
        self.bans.retain(|_, ban| is_kept(now, ban));
        members
    }

    fn remember_name(&mut self, name: &str, node: NodeId) {
        if let Some((_, before)) = self.names.get(name) {
            self.by_last_listing.remove(before);
        }
        self.last_listing += 1;
        self.names.insert(name.to_string(), (node, self.last_listing));
        self.by_last_listing.insert(self.last_listing, name.to_string());
        if self.names.len() > MAX_NAMES {
            if let Some((_, oldest)) = self.by_last_listing.pop_first() {
                self.names.remove(&oldest);
            }
        }
    }

    fn with_maintenance(&self, now: Time, listed: &NamedNode) -> ListedNode {
        let mut member = listed.member.clone();
        let entry = &mut member.entry;
        if entry.state == NodeState::Up && (self.is_out(&listed.name) || self.is_excluded_cold(now, entry)) {
            entry.state = NodeState::Draining;
        }
        member
    }

    fn is_out(&self, name: &str) -> bool {
        self.shared.contains(name) || self.bans.get(name).is_some_and(|ban| ban.out)
    }

    /// Returns whether sending is suspended for all nodes.
    pub fn is_suspended(&self) -> bool {
        self.halted || self.outdated
    }

    /// Returns whether a list has contained the node, as far as names are remembered.
    pub fn was_listed(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Sets the nodes that are out of service at all brokers. Returns the nodes whose state changes, for the planner.
    pub fn set_shared(&mut self, now: Time, shared: BTreeSet<String>) -> Vec<ListedNode> {
        let before = std::mem::replace(&mut self.shared, shared);
        let changed: Vec<&String> = before.symmetric_difference(&self.shared).collect();
        let numbers = changed.into_iter().filter_map(|name| self.names.get(name)).map(|(node, _)| *node);
        let listed = numbers.filter_map(|node| self.nodes.get(&node));
        // A node that an operator also took out here stays out in either case.
        let banned = |l: &&NamedNode| self.bans.get(&l.name).is_some_and(|ban| ban.out);
        listed.filter(|l| !banned(l)).map(|listed| self.with_maintenance(now, listed)).collect()
    }

    /// Suspends or resumes sending for lack of a lease. Returns whether sending is suspended for any reason.
    pub fn set_halted(&mut self, halted: bool) -> bool {
        self.halted = halted;
        self.is_suspended()
    }

    /// Suspends or resumes sending because the list may lack a delivered change. Returns whether sending is suspended
    /// for any reason.
    pub fn set_outdated(&mut self, outdated: bool) -> bool {
        self.outdated = outdated;
        self.is_suspended()
    }

    /// Stores a list and returns only the changed nodes, for the planner. For a full list these include, first of all,
    /// the nodes that it no longer contains. The cost grows with the length of the list, not with its square.
    pub fn apply_changes(&mut self, now: Time, kind: ListKind, list: Vec<NamedNode>) -> Vec<ListedNode> {
        let mut members = Vec::new();
        if kind != ListKind::Changes {
            let named: BTreeSet<NodeId> = list.iter().map(|l| l.member.entry.node).collect();
            let missing = self.nodes.values().filter(|l| !named.contains(&l.member.entry.node)).cloned();
            let gone = missing.map(|mut listed| {
                listed.member.entry.state = NodeState::Gone;
                listed
            });
            let gone: Vec<NamedNode> = gone.collect();
            members = self.apply_list(now, ListKind::Changes, gone);
        }
        let differs = |l: &NamedNode| self.nodes.get(&l.member.entry.node) != Some(l);
        let changed = list.into_iter().filter(differs).collect();
        let mut changed = self.apply_list(now, ListKind::Changes, changed);
        // Nodes that must receive nothing more precede those that may receive requests.
        changed.sort_by_key(|member| member.entry.state == NodeState::Up);
        members.extend(changed);
        members
    }

    fn is_excluded_cold(&self, now: Time, entry: &NodeEntry) -> bool {
        let age = entry.started.map(|started| now - started);
        self.excluded_age.zip(age).is_some_and(|(cold, age)| age < cold)
    }

    /// Takes a node out of service or returns it. Returns the node as the planner is to see it, or nothing if its state
    /// does not change or the current list does not contain it.
    pub fn set_out(&mut self, now: Time, name: &str, out: bool) -> Result<Vec<ListedNode>, Refused> {
        let known = self.names.get(name).map(|(node, _)| *node);
        let node = known.or(self.bans.get(name).map(|ban| ban.node)).ok_or(Refused::NeverListed)?;
        if out && !self.is_out(name) && self.bans.values().filter(|ban| ban.out).count() >= MAX_OUT {
            return Err(Refused::TooMany);
        }
        let at = self.bans.get(name).map_or(now, |last| now.max(last.at + 1));
        Ok(self.record(now, Ban { name: name.to_string(), node, at, out }))
    }

    /// Merges the calls received by another process of the broker. Of two calls about one node the later one holds.
    pub fn merge(&mut self, now: Time, bans: Vec<Ban>) -> Vec<ListedNode> {
        let later = |ban: &Ban, own: &BTreeMap<String, Ban>| own.get(&ban.name).is_none_or(|o| ban.at > o.at);
        let mut members = Vec::new();
        for ban in bans.into_iter().take(2 * MAX_OUT) {
            if later(&ban, &self.bans) && is_kept(now, &ban) {
                members.extend(self.record(now, ban));
            }
        }
        members
    }

    fn record(&mut self, now: Time, ban: Ban) -> Vec<ListedNode> {
        let before = self.bans.get(&ban.name).is_some_and(|b| b.out);
        let (node, after) = (ban.node, ban.out);
        if before != after {
            tracing::info!(node = ban.name, out = after, "maintenance");
        }
        self.bans.insert(ban.name.clone(), ban);
        self.evict_return();
        let listed = self.nodes.get(&node).filter(|_| before != after);
        listed.map(|listed| self.with_maintenance(now, listed)).into_iter().collect()
    }

    /// Removes the oldest call that returned a node if there are too many of these.
    fn evict_return(&mut self) {
        let returns = || self.bans.values().filter(|ban| !ban.out);
        if returns().count() > MAX_OUT {
            let oldest = returns().min_by_key(|ban| ban.at).map(|ban| ban.name.clone());
            oldest.map(|name| self.bans.remove(&name));
        }
    }

    /// Leaves nodes that started less than `cold` ago to the succeeding process; `None` uses them here again. Returns
    /// the affected nodes, for the planner.
    pub fn exclude_cold(&mut self, now: Time, cold: Option<Time>) -> Vec<ListedNode> {
        if self.excluded_age == cold {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.excluded_age, cold);
        let age = before.max(cold).unwrap_or(0);
        let young = |l: &&NamedNode| l.member.entry.started.is_some_and(|started| now - started < age);
        self.nodes.values().filter(young).map(|l| self.with_maintenance(now, l)).collect()
    }

    /// Returns the last call about each node, for other processes of the broker.
    pub fn bans(&self) -> Vec<Ban> {
        self.bans.values().cloned().collect()
    }

    /// Returns the given nodes as last listed, with their start times replaced.
    pub fn with_starts(&self, starts: Vec<(NodeId, Time)>) -> Vec<NamedNode> {
        let dated = starts.into_iter().filter_map(|(node, at)| {
            let mut listed = self.nodes.get(&node)?.clone();
            listed.member.entry.started = Some(at);
            Some(listed)
        });
        dated.collect()
    }

    /// Returns all nodes as listed, without maintenance applied.
    pub fn nodes(&self) -> Vec<NamedNode> {
        self.nodes.values().cloned().collect()
    }

    /// Returns whether at least one node may receive requests.
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

    /// Guards against sending to a node that the cluster's view marks as out, and against using it again too early.
    #[test]
    fn a_node_out_at_all_brokers_drains_until_the_view_returns_it() {
        let mut u = Maintenance::default();
        u.apply_list(0, ListKind::Full, vec![up("a", 1), up("b", 2)]);
        assert_eq!(
            states(&u.set_shared(1, BTreeSet::from(["a".into(), "c".into()]))),
            [(1, NodeState::Draining)]
        );
        assert_eq!(states(&u.apply_list(2, ListKind::Changes, vec![up("c", 3)])), [(3, NodeState::Draining)]);
        assert!(u.is_usable() && u.set_halted(true) && !u.is_usable());
        assert!(u.set_outdated(true) && u.set_halted(false), "the two reasons are independent");
        let back = [(1, NodeState::Up), (3, NodeState::Up)];
        assert_eq!(
            states(&u.set_shared(5, BTreeSet::new())),
            back,
            "as listed: suspension does not change node states"
        );
        assert!(!u.set_outdated(false));
        assert!(u.is_usable() && u.was_listed("c") && !u.was_listed("d"));
    }

    /// Guards against a full list that is processed as if every node had changed, and against removals that come late.
    #[test]
    fn a_full_list_yields_only_changed_nodes_and_removals_come_first() {
        let mut u = Maintenance::default();
        let members = u.apply_changes(0, ListKind::Full, vec![up("a", 1), up("b", 2), up("c", 3)]);
        assert_eq!(members.len(), 3);
        assert!(u.apply_changes(1, ListKind::Full, vec![up("a", 1), up("b", 2), up("c", 3)]).is_empty());
        u.set_out(2, "a", true).expect("listed");
        let draining = listed("c", 3, NodeState::Draining, None);
        let members = u.apply_changes(3, ListKind::Full, vec![up("a", 1), up("d", 4), draining]);
        assert_eq!(states(&members), [(2, NodeState::Gone), (3, NodeState::Draining), (4, NodeState::Up)]);
        assert_eq!(u.nodes().len(), 3);
        let members = u.apply_changes(4, ListKind::Changes, vec![listed("a", 1, NodeState::Up, Some(S))]);
        assert_eq!(
            states(&members),
            [(1, NodeState::Draining)],
            "a node that is out stays out after a restart"
        );
    }

    fn states(members: &[ListedNode]) -> Vec<(NodeId, NodeState)> {
        members.iter().map(|m| (m.entry.node, m.entry.state)).collect()
    }

    /// Guards against a list of any kind that returns a node to service which operators have taken out.
    #[test]
    fn a_node_stays_out_over_every_list_until_an_operator_returns_it() {
        use NodeState::*;
        let mut maintenance = Maintenance::default();
        let both = || vec![up("a", 1), up("b", 2)];
        assert_eq!(states(&maintenance.apply_list(0, ListKind::Full, both())), [(1, Up), (2, Up)]);
        assert_eq!(states(&maintenance.set_out(S, "a", true).expect("listed")), [(1, Draining)]);
        assert_eq!(maintenance.set_out(S, "a", true).as_deref(), Ok(&[][..]), "repeated call");
        for kind in [ListKind::Full, ListKind::Saved, ListKind::Changes] {
            assert_eq!(states(&maintenance.apply_list(2 * S, kind, both())), [(1, Draining), (2, Up)]);
        }
        // The node disappears from the list and returns at another address with a new start time.
        let gone = listed("a", 1, Gone, None);
        assert_eq!(states(&maintenance.apply_list(3 * S, ListKind::Changes, vec![gone])), [(1, Gone)]);
        let mut back = listed("a", 1, Up, Some(4 * S));
        back.member.address = "another address".into();
        assert_eq!(states(&maintenance.apply_list(4 * S, ListKind::Changes, vec![back])), [(1, Draining)]);
        let members = maintenance.set_out(5 * S, "a", false).expect("listed");
        assert_eq!(
            (members[0].entry.state, members[0].entry.started),
            (Up, Some(4 * S)),
            "as in the current list"
        );
        assert_eq!(members[0].address, "another address");
        assert_eq!(maintenance.set_out(5 * S, "a", false).as_deref(), Ok(&[][..]));
        assert_eq!(states(&maintenance.apply_list(6 * S, ListKind::Full, both())), [(1, Up), (2, Up)]);
    }

    #[test]
    fn calls_are_accepted_only_for_listed_names_and_few_names_are_kept() {
        let mut maintenance = Maintenance::default();
        maintenance.apply_list(0, ListKind::Full, vec![up("a", 1)]);
        maintenance.apply_list(0, ListKind::Full, vec![up("b", 2)]);
        assert_eq!(maintenance.set_out(S, "c", true), Err(Refused::NeverListed));
        assert_eq!(maintenance.set_out(S, "c", false), Err(Refused::NeverListed));
        assert_eq!(maintenance.set_out(S, "a", true).as_deref(), Ok(&[][..]), "it was listed before");
        for i in 0..2 * MAX_NAMES as u32 {
            maintenance.apply_list(S, ListKind::Full, vec![up(&format!("n{i}"), 10 + i)]);
        }
        assert!(maintenance.names.len() <= MAX_NAMES && maintenance.by_last_listing.len() <= MAX_NAMES);
        assert_eq!(maintenance.set_out(S, "b", true), Err(Refused::NeverListed), "the name was evicted");
        assert!(maintenance.set_out(S, "a", false).is_ok(), "a node that is out is not evicted");
        maintenance.apply_list(S + RETURN_RETENTION + 1, ListKind::Changes, Vec::new());
        assert!(maintenance.bans.is_empty(), "a return call expires");
    }

    /// Guards against a call that is lost or revived between two processes which both accept calls.
    #[test]
    fn the_later_of_two_calls_holds_in_both_processes() {
        let mut pair = [Maintenance::default(), Maintenance::default()];
        for maintenance in &mut pair {
            maintenance.apply_list(0, ListKind::Full, vec![up("a", 1), up("b", 2)]);
        }
        let [old, new] = &mut pair;
        old.set_out(S, "a", true).expect("listed");
        assert_eq!(states(&new.merge(S, old.bans())), [(1, NodeState::Draining)]);
        assert!(new.merge(S, old.bans()).is_empty(), "nothing changed");
        new.set_out(2 * S, "a", false).expect("listed");
        assert!(new.merge(2 * S, old.bans()).is_empty(), "an earlier call");
        assert_eq!(states(&old.merge(2 * S, new.bans())), [(1, NodeState::Up)]);
    }

    /// Guards against a call that changes nothing in the process that receives it and is therefore undone by an earlier one
    /// that the other process received just before.
    #[test]
    fn a_call_that_changes_nothing_holds_over_an_earlier_one_of_the_other_process() {
        let mut pair = [Maintenance::default(), Maintenance::default()];
        for maintenance in &mut pair {
            maintenance.apply_list(0, ListKind::Full, vec![up("a", 1)]);
        }
        let [old, new] = &mut pair;
        old.set_out(S, "a", true).expect("listed");
        assert!(new.set_out(2 * S, "a", false).expect("listed").is_empty(), "it is in use there");
        assert!(new.merge(3 * S, old.bans()).is_empty(), "the earlier call");
        assert_eq!(states(&old.merge(3 * S, new.bans())), [(1, NodeState::Up)]);
        old.set_out(4 * S, "a", true).expect("listed");
        assert_eq!(states(&new.merge(4 * S, old.bans())), [(1, NodeState::Draining)]);
        new.set_out(5 * S, "a", false).expect("listed");
        assert!(old.set_out(6 * S, "a", true).expect("listed").is_empty(), "it is out there");
        assert!(old.merge(7 * S, new.bans()).is_empty(), "the earlier call");
        assert_eq!(states(&new.merge(7 * S, old.bans())), [(1, NodeState::Draining)]);
    }

    /// Guards against calls that return nodes and crowd out those that took nodes out.
    #[test]
    fn calls_that_return_nodes_are_bounded() {
        let mut maintenance = Maintenance::default();
        let nodes: Vec<NamedNode> = (0..3 * MAX_OUT as u32).map(|i| up(&format!("n{i:05}"), i)).collect();
        maintenance.apply_list(0, ListKind::Full, nodes);
        maintenance.set_out(S, "n03071", true).expect("listed");
        for i in 0..3 * MAX_OUT - 1 {
            maintenance.set_out(S + i as Time, &format!("n{i:05}"), false).expect("listed");
        }
        let bans = maintenance.bans();
        assert!(bans.len() <= 2 * MAX_OUT && bans.iter().any(|ban| ban.out), "{}", bans.len());
    }

    /// Guards against two processes that each use the full budget of a cold node.
    #[test]
    fn cold_nodes_are_left_to_the_succeeding_process() {
        let mut maintenance = Maintenance::default();
        let cold = listed("b", 2, NodeState::Up, Some(9 * S));
        maintenance.apply_list(10 * S, ListKind::Full, vec![up("a", 1), cold]);
        assert_eq!(states(&maintenance.exclude_cold(10 * S, Some(20 * S))), [(2, NodeState::Draining)]);
        let another = listed("c", 3, NodeState::Up, Some(11 * S));
        let members = maintenance.apply_list(12 * S, ListKind::Changes, vec![another]);
        assert_eq!(states(&members), [(3, NodeState::Draining)]);
        let members = maintenance.exclude_cold(13 * S, None);
        assert_eq!(states(&members), [(2, NodeState::Up), (3, NodeState::Up)], "the successor died");
    }
}
