//! The links to nodes: which one carries an attempt, when an idle one is let go.

use crate::interface::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Number of a link, never used twice.
pub type LinkId = u64;
/// What links of one node are told apart by, where a connection serves only some of its requests.
pub type ChannelKind = u32;

/// What the links are bound by.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Links to all nodes together: each is a descriptor.
    pub links: usize,
    /// Links to one node, which holds only so many connections for all brokers.
    pub links_per_node: usize,
    /// What the settings say.
    pub terms: LinkSettings,
}

/// What settings say of links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkSettings {
    /// Attempts on one link at once.
    pub multiplex: usize,
    /// An idle link is let go after this: well before the node closes it, since a request that crosses
    /// the node's close ends as a reset, which may have run.
    pub idle: Time,
}

/// Links that a process may still open which another one has superseded: those that it has may break.
pub const SUPERSEDED_LINKS: usize = 16;

/// A link as the pool knows it.
#[derive(Debug)]
struct Link {
    node: NodeId,
    lane: ChannelKind,
    /// Attempts whose answers are still to come on it, withdrawn ones too.
    out: usize,
    idle_since: Option<Time>,
    /// Until when the next part is waited for of a reply that is not whole.
    partial: Option<Time>,
    /// A reply is passed on while it comes, and its client waits so long: no request is put behind it, which would wait for that
    /// client.
    streams_until: Option<Time>,
    up: bool,
}

/// Where an attempt goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// Onto a link that is to be opened, in the place of an idle one of another node that is to be closed: as many are
    /// open as there may be.
    Replace(LinkId, LinkId),
    /// Onto a link that is there.
    Use(LinkId),
    /// Onto a link that is to be opened first.
    Open(LinkId),
    /// Nowhere: every link is full and no further one may be opened.
    Full,
}

/// What may be out on one link at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Several attempts: answers name what they answer.
    Multiplexed,
    /// One attempt.
    Exclusive,
}

/// What remains of a node's connection cap once it has shown itself.
#[derive(Debug, Clone, Copy)]
struct Cap {
    links: usize,
    until: Time,
}

/// How long a link rests after a reply at least, in microseconds: what a node sends beyond its reply comes right behind it,
/// a second answer some milliseconds later, and must not be taken for the reply to the next request.
const LEAST_REST: Time = 20_000;
/// How long it rests at most while there are others, in microseconds.
const MOST_REST: Time = 100_000;
/// For each microsecond that this process ran late lately a link rests so many longer: on a busy machine both the node that
/// sends a second answer and whoever reads it are held up, one after the other.
const REST_FOR_LATENESS: Time = 8;
/// How long links rest where nodes are known to answer twice, in microseconds: a node may stand still for 0.2 s between both
/// answers, and what it then says must not be taken for the reply to a request that was written meanwhile.
const REST_AMONG_REPEATS: Time = 250_000;
/// For how long nodes are known to answer twice after one of them did, in microseconds.
const REPEATS_MEMORY: Time = 60_000_000;
/// For how long a connection that this machine could not open is taken as all that it can hold.
const OWN_CAP_MEMORY: Time = 200_000;
/// For how long a refused connect, while others are up, is taken as the node's cap on connections.
const CAP_MEMORY: Time = 5_000_000;

/// All links.
#[derive(Debug)]
pub struct Pool {
    limits: PoolLimits,
    links: BTreeMap<LinkId, Link>,
    by_node: BTreeMap<(NodeId, ChannelKind), Vec<LinkId>>,
    caps: BTreeMap<NodeId, Cap>,
    /// Idle links, those unused for longest first.
    idle: BTreeSet<(Time, LinkId)>,
    /// What this machine has shown that it can hold.
    own_cap: Option<Cap>,
    /// How long links rest after a reply, while there are others.
    rest: Time,
    /// Until when nodes are known to answer twice, if one did.
    repeats_until: Option<Time>,
    next: LinkId,
}

impl Pool {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Pool {
            limits,
            links: BTreeMap::new(),
            by_node: BTreeMap::new(),
            caps: BTreeMap::new(),
            idle: BTreeSet::new(),
            own_cap: None,
            rest: LEAST_REST,
            repeats_until: None,
            next: 0,
        }
    }

    /// Chooses the link for one more attempt and counts the attempt on it. Answers queue behind one another
    /// on a link, so each attempt has one of its own while there are links; the one used last is taken, so
    /// that what a busy spell opened ages out.
    /// Only where answers name what they answer may attempts share a link: else the second answer to one would be taken
    /// for the answer to the next.
    pub fn pick(&mut self, now: Time, node: NodeId, lane: ChannelKind, sharing: Sharing) -> Pick {
        let repeats = self.repeats_until.is_some_and(|until| until > now);
        let (rest, least_rest) =
            if repeats { (REST_AMONG_REPEATS, REST_AMONG_REPEATS) } else { (self.rest, LEAST_REST) };
        let ids = self.by_node.entry((node, lane)).or_default();
        let links = &mut self.links;
        // Nor is one taken on which something has come that nobody asked for.
        let quiet = |link: &Link| link.partial.is_none().then_some(link.idle_since).flatten();
        let settled = |id: &LinkId| quiet(&links[id]).is_some_and(|since| now - since >= rest);
        let idle = ids.iter().copied().filter(settled).max_by_key(|id| links[id].idle_since);
        let cap = self.caps.get(&node).filter(|c| c.until > now).map_or(usize::MAX, |c| c.links);
        let own_cap = self.own_cap.filter(|c| c.until > now).map_or(usize::MAX, |c| c.links);
        let room_at_node = ids.len() < self.limits.links_per_node.min(cap);
        if let (None, true) = (idle, room_at_node) {
            let full = links.len() >= self.limits.links.min(own_cap);
            let other = |(_, id): &&(Time, LinkId)| links[id].node != node;
            let over = full.then(|| self.idle.iter().find(other).map(|(_, id)| *id));
            if over != Some(None) {
                let id = self.next;
                self.next += 1;
                ids.push(id);
                let link = Link {
                    node,
                    lane,
                    out: 1,
                    idle_since: None,
                    partial: None,
                    streams_until: None,
                    up: false,
                };
                links.insert(id, link);
                let Some(Some(over)) = over else { return Pick::Open(id) };
                self.remove(now, over, false);
                return Pick::Replace(id, over);
            }
        }
        let fits = |id: &LinkId| match sharing {
            Sharing::Multiplexed => links[id].streams_until.is_none(),
            Sharing::Exclusive => quiet(&links[id]).is_some_and(|since| now - since >= least_rest),
        };
        let least =
            || ids.iter().copied().filter(fits).min_by_key(|id| (links[id].out, links[id].idle_since));
        let Some(id) = idle.or_else(least) else {
            if ids.is_empty() {
                self.by_node.remove(&(node, lane));
            }
            return Pick::Full;
        };
        match links.get_mut(&id) {
            Some(link) if link.out < self.limits.terms.multiplex => {
                link.out += 1;
                if let Some(since) = link.idle_since.take() {
                    self.idle.remove(&(since, id));
                }
                Pick::Use(id)
            }
            _ => Pick::Full,
        }
    }

    /// Notes that an answer came, so that one attempt fewer is on the link. When that leaves the link idle
    /// it gives the time at which to look whether it still is.
    pub fn answered(&mut self, now: Time, id: LinkId) -> Option<Time> {
        let link = self.links.get_mut(&id)?;
        link.out = link.out.saturating_sub(1);
        if link.out > 0 {
            return None;
        }
        if let Some(since) = link.idle_since.replace(now) {
            self.idle.remove(&(since, id));
        }
        self.idle.insert((now, id));
        Some(now + self.limits.terms.idle)
    }

    /// When an idle link will have been so for its whole time.
    pub fn idle_expires_at(&self, id: LinkId) -> Option<Time> {
        self.links.get(&id)?.idle_since.map(|since| since + self.limits.terms.idle)
    }

    /// Notes that a reply is passed on while it comes, and how long its client waits, or that none is.
    pub fn set_streaming(&mut self, id: LinkId, until: Option<Time>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.streams_until = until;
        }
    }

    /// How long the client waits of a reply that is passed on while it comes, if one is.
    pub fn streams_until(&self, id: LinkId) -> Option<Time> {
        self.links.get(&id).and_then(|l| l.streams_until)
    }

    /// Notes until when the next part of a reply is waited for, or that none is.
    pub fn set_partial(&mut self, id: LinkId, at: Option<Time>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.partial = at;
        }
    }

    /// Whether a link is in the middle of a reply whose next part has been waited for in vain.
    pub fn is_stalled(&self, now: Time, id: LinkId) -> bool {
        self.links.get(&id).and_then(|l| l.partial).is_some_and(|until| until <= now)
    }

    /// Notes that a link's connection is there.
    pub fn note_up(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.up = true;
        }
    }

    /// Forgets a link. One that never came up while others of its node are shows the node's cap.
    pub fn remove(&mut self, now: Time, id: LinkId, refused: bool) -> bool {
        let Some(link) = self.links.remove(&id) else { return false };
        if let Some(since) = link.idle_since {
            self.idle.remove(&(since, id));
        }
        let place = (link.node, link.lane);
        let ids = self.by_node.entry(place).or_default();
        ids.retain(|i| *i != id);
        let others = ids.iter().filter(|i| self.links.get(i).is_some_and(|l| l.up)).count();
        if refused && !link.up && others > 0 {
            self.caps.retain(|_, cap| cap.until > now);
            self.caps.insert(link.node, Cap { links: others, until: now + CAP_MEMORY });
        }
        if ids.is_empty() {
            self.by_node.remove(&place);
        }
        true
    }

    /// This machine could not open a link: it can hold no more than there are for a while.
    pub fn note_open_failed(&mut self, now: Time) {
        self.own_cap = Some(Cap { links: self.links.len().max(1), until: now + OWN_CAP_MEMORY });
    }

    /// The idle links of a node that takes no more work.
    pub fn idle_of(&self, node: NodeId) -> Vec<LinkId> {
        self.of(node, |link| link.out == 0)
    }

    /// The links of a node that attempts are on.
    pub fn busy_of(&self, node: NodeId) -> Vec<LinkId> {
        self.of(node, |link| link.out > 0)
    }

    /// All links that attempts are on.
    pub fn busy(&self) -> impl Iterator<Item = LinkId> + '_ {
        self.links.iter().filter(|(_, link)| link.out > 0).map(|(id, _)| *id)
    }

    fn of(&self, node: NodeId, fits: impl Fn(&Link) -> bool) -> Vec<LinkId> {
        let lanes = self.by_node.range((node, ChannelKind::MIN)..=(node, ChannelKind::MAX));
        lanes.flat_map(|(_, ids)| ids).copied().filter(|id| fits(&self.links[id])).collect()
    }

    /// Takes note that a node has answered twice. Whether another second answer is on its way nobody can tell, on none of the links.
    pub fn note_repeated_answer(&mut self, now: Time) {
        self.repeats_until = Some(now + REPEATS_MEMORY);
    }

    /// Takes note of how late this process has run lately.
    pub fn note_lateness(&mut self, late: Time) {
        self.rest = LEAST_REST.saturating_add(late.max(0).saturating_mul(REST_FOR_LATENESS)).min(MOST_REST);
    }

    /// Takes new terms.
    pub fn set_link_settings(&mut self, terms: LinkSettings) {
        self.limits.terms = terms;
    }

    /// Sets how many links there may be. Gives the idle ones that are too many, those unused for longest first.
    pub fn set_link_limit(&mut self, links: usize) -> Vec<LinkId> {
        self.limits.links = links;
        let over = self.links.len().saturating_sub(links);
        self.idle.iter().take(over).map(|(_, id)| *id).collect()
    }

    /// How many links there are.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

#[cfg(test)]
mod tests;
