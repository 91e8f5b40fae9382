//! Operators' calls that take a node out everywhere or put it back, as the broker keeps them that was called. A call is made
//! against the view that its broker knows, and the first later view that has a call about the same node decides it: either by
//! doing what it asks for, or by doing the opposite. It is asked for again only until then, so it never undoes a later call.

use super::delta::Delta;
use super::{View, MOST_DRAINS};
use crate::interface::Time;
use std::collections::BTreeMap;

/// Number of a call, given once by a broker in its life.
pub type CallId = u64;

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A view did what it asked for.
    Agreed,
    /// Another call about the node came first.
    GaveWay,
    /// No view decided it in its time. One that has been asked for may still come.
    Expired,
}

/// A call that is not open any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// The call.
    pub call: CallId,
    /// The node that it is about.
    pub node: String,
    /// Whether it took the node out.
    pub out: bool,
    /// What became of it.
    pub decision: Decision,
}

/// An open call.
#[derive(Debug)]
struct Call {
    id: CallId,
    out: bool,
    /// Number of the view that the broker knew when it was called.
    base: u64,
    /// Whether the node was out in that view.
    was_out: bool,
    end: Time,
}

impl Call {
    fn decided(self, node: &str, decision: Decision) -> Decided {
        Decided { call: self.id, node: node.to_string(), out: self.out, decision }
    }
}

/// What a broker asks the voters for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The node.
    pub node: String,
    /// Whether it is to be taken out.
    pub out: bool,
    /// Number of the view that the call was made against.
    pub base: u64,
}

/// The open calls of a broker, one for each node.
#[derive(Debug, Default)]
pub struct Calls {
    open: BTreeMap<String, Call>,
    last_id: CallId,
}

impl Calls {
    /// Makes a call against a view; it is open until `end` at most. An open call for the same is joined. While one for the
    /// opposite is open, which may already be on its way to a view, the new call gives way to it at once. Returns the number of
    /// the call, and its decision in that case; `None` if too many calls are open.
    pub fn make(
        &mut self,
        view: &View,
        node: &str,
        out: bool,
        end: Time,
    ) -> Option<(CallId, Option<Decided>)> {
        if let Some(open) = self.open.get_mut(node).filter(|open| open.out == out) {
            open.end = open.end.max(end);
            return Some((open.id, None));
        }
        if self.open.len() >= MOST_DRAINS {
            return None;
        }
        self.last_id += 1;
        let (base, was_out) = (view.number, view.drains.contains(node));
        let call = Call { id: self.last_id, out, base, was_out, end };
        if self.open.contains_key(node) {
            return Some((call.id, Some(call.decided(node, Decision::GaveWay))));
        }
        self.open.insert(node.to_string(), call);
        Some((self.last_id, None))
    }

    /// Applies a view that has come into force, and the delta that led to it; `None` if it came whole. Returns the calls that
    /// it decides.
    pub fn apply(&mut self, view: &View, delta: Option<&Delta>) -> Vec<Decided> {
        let changes = delta.map_or_else(|| self.changes_of(view), |delta| delta.drains.clone());
        changes.iter().filter_map(|(node, out)| self.apply_one(node, *out)).collect()
    }

    /// Returns the nodes of open calls that a view shows otherwise than the one that the call was made against.
    fn changes_of(&self, view: &View) -> Vec<(String, bool)> {
        let open = self.open.iter().map(|(node, call)| (node, call.was_out, view.drains.contains(node)));
        open.filter(|(_, was, is)| was != is).map(|(node, _, is)| (node.clone(), is)).collect()
    }

    /// Applies a call about one node that a view contains.
    fn apply_one(&mut self, node: &str, out: bool) -> Option<Decided> {
        let call = self.open.remove(node)?;
        let decision = if call.out == out { Decision::Agreed } else { Decision::GaveWay };
        Some(call.decided(node, decision))
    }

    /// Ends the calls whose time is over.
    pub fn expire(&mut self, now: Time) -> Vec<Decided> {
        let over = self.open.iter().filter(|(_, call)| now >= call.end);
        let nodes: Vec<String> = over.map(|(node, _)| node.clone()).collect();
        let expired = |node: &String| Some(self.open.remove(node)?.decided(node, Decision::Expired));
        nodes.iter().filter_map(expired).collect()
    }

    /// Returns what the open calls ask for.
    pub fn requests(&self) -> Vec<Request> {
        let request =
            |(node, call): (&String, &Call)| Request { node: node.clone(), out: call.out, base: call.base };
        self.open.iter().map(request).collect()
    }
}
