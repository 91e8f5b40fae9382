//! The pool of links to nodes: chooses the link for each attempt and closes idle links.

use super::planner::AttemptId;
use super::reply_clock::ReplyArrival;
use crate::interface::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of a link; numbers are never reused.
pub type LinkId = u64;

/// The limits of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Maximum number of links to all nodes together; each link takes a file descriptor.
    pub links: usize,
    /// Maximum number of links to one node, which accepts a limited number of connections from all brokers together.
    pub links_per_node: usize,
    /// The limits that come from the settings.
    pub terms: LinkSettings,
}

/// The settings for links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// Maximum number of attempts in flight on one link.
    pub multiplex: usize,
    /// Idle timeout of a link, in microseconds. It must be well below the node's own idle timeout: a request that crosses
    /// the node's close ends as a reset, after which it may have run.
    pub idle: Time,
}

/// Number of further links that a process may open after another process has superseded it, to replace links that
/// break.
pub const SUPERSEDED_LINKS: usize = 16;

/// The state of a link.
#[derive(Debug)]
struct Link<C> {
    node: NodeId,
    channel: C,
    /// Number of attempts whose answers are outstanding, including withdrawn attempts.
    in_flight: usize,
    idle_since: Option<Time>,
    /// What has arrived of an incomplete reply, if there is one and the broker waits for more of it.
    partial: Option<AwaitedReply>,
    /// The attempt whose reply is being streamed on this link, if one is. No request is queued behind it, since it would have
    /// to wait for a client to read.
    streamed: Option<AttemptId>,
    up: bool,
}

/// An incomplete reply of which the broker waits for more.
#[derive(Debug)]
pub struct AwaitedReply {
    /// What has arrived of it.
    pub arrival: ReplyArrival,
    /// When it is checked next whether its node has been silent for too long.
    pub check_at: Time,
}

/// The link chosen for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// A new link (first number) that the caller must open, in key of an idle link of another node (second number) that
    /// the caller must close, since the link limit is reached.
    Replace(LinkId, LinkId),
    /// An existing link.
    Use(LinkId),
    /// A new link that the caller must open.
    Open(LinkId),
    /// No link: every usable link is full and no further link may be opened.
    Full,
}

/// Whether attempts may share a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Several attempts may be in flight on one link, since each answer identifies the attempt that it belongs to.
    Multiplexed,
    /// At most one attempt may be in flight on a link.
    Exclusive,
}

/// A temporary limit on links, derived from a connection that could not be opened.
#[derive(Debug, Clone, Copy)]
struct Cap {
    links: usize,
    until: Time,
}

/// Minimum rest of a link after a reply before it is used again, in microseconds. Bytes that a node sends beyond its
/// reply arrive directly behind it, and a second answer arrives some milliseconds later; neither may be taken for the
/// reply to the next request.
const MIN_REST: Time = 20_000;
/// Maximum rest of a link after a reply while another link can be used or opened, in microseconds.
const MAX_REST: Time = 100_000;
/// Additional rest of a link for each microsecond by which this process ran late recently, in microseconds. On a busy
/// machine both the node that sends a second answer and the process that reads it are delayed, and the delays add up.
const REST_PER_LATENESS: Time = 8;
/// Rest of a link while nodes are known to answer twice, in microseconds. A node may stall for 0.2 s between its two
/// answers, and the second must not be taken for the reply to a request that was written meanwhile.
const REST_AFTER_REPEATS: Time = 250_000;
/// How long after a repeated answer nodes are treated as known to answer twice, in microseconds.
const REPEATS_MEMORY: Time = 60_000_000;
/// How long after this machine failed to open a connection the number of links at that time stays the limit, in
/// microseconds.
const OWN_CAP_MEMORY: Time = 200_000;
/// How long a connection that could not be established, while other links to the node are up, limits the links to that
/// node, in microseconds.
const CAP_MEMORY: Time = 5_000_000;

/// All links of a planner. `C` is the channel of a link: what its connection was opened for, in protocols in which one
/// connection serves only part of the requests to a node (an NBD connection serves one export). An attempt is sent only
/// on a link of its channel.
#[derive(Debug)]
pub struct Pool<C> {
    limits: PoolLimits,
    links: BTreeMap<LinkId, Link<C>>,
    /// The links of each node by channel. Neither a node nor a channel without links has an entry.
    by_node: BTreeMap<NodeId, BTreeMap<C, Vec<LinkId>>>,
    caps: BTreeMap<NodeId, Cap>,
    /// Idle links in the order in which they became idle.
    idle: BTreeSet<(Time, LinkId)>,
    /// The temporary limit on all links after this machine failed to open one.
    own_cap: Option<Cap>,
    /// How long a link rests after a reply while another link can be used or opened.
    rest: Time,
    /// The time until which nodes are treated as known to answer twice, if one has done so.
    repeats_until: Option<Time>,
    next: LinkId,
}

impl<C: Clone + Ord> Pool<C> {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Pool {
            limits,
            links: BTreeMap::new(),
            by_node: BTreeMap::new(),
            caps: BTreeMap::new(),
            idle: BTreeSet::new(),
            own_cap: None,
            rest: MIN_REST,
            repeats_until: None,
            next: 0,
        }
    }

    /// Chooses the link for one more attempt and counts the attempt on it. Answers on a link queue behind one another, so
    /// each attempt gets a link of its own while idle links exist or further ones may be opened. Of the idle links the
    /// most recently used is chosen, so that links opened during a load peak reach their idle timeout.
    ///
    /// Attempts share a link only with [`Sharing::Multiplexed`]: without identified answers, a second answer to one
    /// attempt would be taken for the answer to the next.
    pub fn pick(&mut self, now: Time, node: NodeId, channel: &C, sharing: Sharing) -> Pick {
        let repeats = self.repeats_until.is_some_and(|until| until > now);
        let (rest, min_rest) =
            if repeats { (REST_AFTER_REPEATS, REST_AFTER_REPEATS) } else { (self.rest, MIN_REST) };
        let channels = self.by_node.entry(node).or_default();
        let ids = channels.entry(channel.clone()).or_default();
        let links = &mut self.links;
        // A link with unsolicited bytes is not used either: they show as a partial reply.
        let quiet = |link: &Link<C>| link.partial.is_none().then_some(link.idle_since).flatten();
        let rested = |id: &LinkId| quiet(&links[id]).is_some_and(|since| now - since >= rest);
        let idle = ids.iter().copied().filter(rested).max_by_key(|id| links[id].idle_since);
        let cap = self.caps.get(&node).filter(|c| c.until > now).map_or(usize::MAX, |c| c.links);
        let own_cap = self.own_cap.filter(|c| c.until > now).map_or(usize::MAX, |c| c.links);
        let node_has_capacity = ids.len() < self.limits.links_per_node.min(cap);
        if let (None, true) = (idle, node_has_capacity) {
            let full = links.len() >= self.limits.links.min(own_cap);
            let other = |(_, id): &&(Time, LinkId)| links[id].node != node;
            let replaced = full.then(|| self.idle.iter().find(other).map(|(_, id)| *id));
            if replaced != Some(None) {
                let id = self.next;
                self.next += 1;
                ids.push(id);
                let link = Link {
                    node,
                    channel: channel.clone(),
                    in_flight: 1,
                    idle_since: None,
                    partial: None,
                    streamed: None,
                    up: false,
                };
                links.insert(id, link);
                let Some(Some(replaced)) = replaced else { return Pick::Open(id) };
                self.remove(now, replaced, false);
                return Pick::Replace(id, replaced);
            }
        }
        let fits = |id: &LinkId| match sharing {
            Sharing::Multiplexed => links[id].streamed.is_none(),
            Sharing::Exclusive => quiet(&links[id]).is_some_and(|since| now - since >= min_rest),
        };
        let least_busy =
            || ids.iter().copied().filter(fits).min_by_key(|id| (links[id].in_flight, links[id].idle_since));
        let Some(id) = idle.or_else(least_busy) else {
            self.forget_unused_channel(node, channel);
            return Pick::Full;
        };
        match links.get_mut(&id) {
            Some(link) if link.in_flight < self.limits.terms.multiplex => {
                link.in_flight += 1;
                if let Some(since) = link.idle_since.take() {
                    self.idle.remove(&(since, id));
                }
                Pick::Use(id)
            }
            _ => Pick::Full,
        }
    }

    /// Records that an attempt on the link has been answered. If the link is idle now, returns the time at which to check
    /// whether its idle timeout has expired.
    pub fn answered(&mut self, now: Time, id: LinkId) -> Option<Time> {
        let link = self.links.get_mut(&id)?;
        link.in_flight = link.in_flight.saturating_sub(1);
        if link.in_flight > 0 {
            return None;
        }
        if let Some(since) = link.idle_since.replace(now) {
            self.idle.remove(&(since, id));
        }
        self.idle.insert((now, id));
        Some(now + self.limits.terms.idle)
    }

    /// Returns when the idle timeout of a link expires, or `None` if the link is not idle.
    pub fn idle_expires_at(&self, id: LinkId) -> Option<Time> {
        self.links.get(&id)?.idle_since.map(|since| since + self.limits.terms.idle)
    }

    /// Returns how many attempts whose bodies are still arriving may hold links at once, to one node and to all: half of what
    /// there may be, so that slow clients leave links to others.
    pub fn receiving_limits(&self) -> (usize, usize) {
        ((self.limits.links_per_node / 2).max(1), (self.limits.links / 2).max(1))
    }

    /// Records the attempt whose reply is being streamed on a link, or `None` if no reply is.
    pub fn set_streaming(&mut self, id: LinkId, attempt: Option<AttemptId>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.streamed = attempt;
        }
    }

    /// Returns the attempt whose reply is being streamed on a link, if one is.
    pub fn streamed_reply(&self, id: LinkId) -> Option<AttemptId> {
        self.links.get(&id).and_then(|link| link.streamed)
    }

    /// Records what has arrived of an incomplete reply, or `None` if the broker waits for no more of one.
    pub fn set_partial(&mut self, id: LinkId, reply: Option<AwaitedReply>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.partial = reply;
        }
    }

    /// Returns what has arrived of the incomplete reply on a link, if the broker waits for more of it.
    pub fn partial(&self, id: LinkId) -> Option<&AwaitedReply> {
        self.links.get(&id)?.partial.as_ref()
    }

    /// Returns the node of a link.
    pub fn node(&self, id: LinkId) -> Option<NodeId> {
        Some(self.links.get(&id)?.node)
    }

    /// Records that the connection of a link is established.
    pub fn note_up(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.up = true;
        }
    }

    /// Removes a link; returns false if the link is unknown. If its connection could not be established
    /// (`connect_failed`) while other links to the node are up, their number becomes the node's link limit for a while.
    pub fn remove(&mut self, now: Time, id: LinkId, connect_failed: bool) -> bool {
        let Some(link) = self.links.remove(&id) else { return false };
        if let Some(since) = link.idle_since {
            self.idle.remove(&(since, id));
        }
        let mut others = 0;
        if let Some(ids) = self.by_node.get_mut(&link.node).and_then(|c| c.get_mut(&link.channel)) {
            ids.retain(|i| *i != id);
            others = ids.iter().filter(|i| self.links.get(i).is_some_and(|l| l.up)).count();
        }
        if connect_failed && !link.up && others > 0 {
            self.caps.retain(|_, cap| cap.until > now);
            self.caps.insert(link.node, Cap { links: others, until: now + CAP_MEMORY });
        }
        self.forget_unused_channel(link.node, &link.channel);
        true
    }

    /// Removes the entry of a channel that has no links, and that of its node if it was the last one.
    fn forget_unused_channel(&mut self, node: NodeId, channel: &C) {
        let Some(channels) = self.by_node.get_mut(&node) else { return };
        if channels.get(channel).is_some_and(Vec::is_empty) {
            channels.remove(channel);
        }
        if channels.is_empty() {
            self.by_node.remove(&node);
        }
    }

    /// Records that this machine could not open a link: for a while no more links may be opened than exist now.
    pub fn note_open_failed(&mut self, now: Time) {
        self.own_cap = Some(Cap { links: self.links.len().max(1), until: now + OWN_CAP_MEMORY });
    }

    /// Returns the links of a node that carry no attempt.
    pub fn idle_of(&self, node: NodeId) -> Vec<LinkId> {
        self.of(node, |link| link.in_flight == 0)
    }

    /// Returns the links of a node that carry attempts.
    pub fn busy_of(&self, node: NodeId) -> Vec<LinkId> {
        self.of(node, |link| link.in_flight > 0)
    }

    /// Returns all links that carry attempts.
    pub fn busy(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.iter().filter(|(_, link)| link.in_flight > 0).map(|(id, _)| *id)
    }

    fn of(&self, node: NodeId, fits: impl Fn(&Link<C>) -> bool) -> Vec<LinkId> {
        let channels = self.by_node.get(&node).into_iter().flat_map(BTreeMap::values);
        channels.flatten().copied().filter(|id| fits(&self.links[id])).collect()
    }

    /// Records that a node has answered a request twice. Any other link may have a second answer on its way too, so this
    /// lengthens the rest of all links.
    pub fn note_repeated_answer(&mut self, now: Time) {
        self.repeats_until = Some(now + REPEATS_MEMORY);
    }

    /// Records how late this process has run recently, in microseconds.
    pub fn note_lateness(&mut self, late: Time) {
        self.rest = MIN_REST.saturating_add(late.max(0).saturating_mul(REST_PER_LATENESS)).min(MAX_REST);
    }

    /// Sets new link settings.
    pub fn set_link_settings(&mut self, terms: LinkSettings) {
        self.limits.terms = terms;
    }

    /// Sets the limit on the number of links. Returns the idle links that exceed the limit, longest idle first; the caller
    /// must close them.
    pub fn set_link_limit(&mut self, links: usize) -> Vec<LinkId> {
        self.limits.links = links;
        let excess = self.links.len().saturating_sub(links);
        self.idle.iter().take(excess).map(|(_, id)| *id).collect()
    }

    /// Returns the number of links.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether the pool has no links.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

#[cfg(test)]
mod tests;
