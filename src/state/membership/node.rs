//! One broker's part in its cluster: a state machine fed with packets and time.

use super::council::{Council, CouncilError, Roll, Step};
use super::cut::{Cut, Down};
use super::delta::{weight, Delta, Deltas};
use super::drains::{CallId, Calls, Decided, Decision, Request};
use super::edges::{Edges, Subject};
use super::lease::{enough, Lease};
pub use super::packet::{Body, Grant, Packet};
use super::rings::{subjects, Rings, RINGS};
use super::snapshot::{Fetch, Page, Served, PAGE};
use super::{mix, Member, Name, Seat, Settings, View, MOST_DRAINS, MOST_MEMBERS, MOST_NAME};
use crate::interface::Time;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeType, Message};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A tick of the consensus, in microseconds.
pub const TICK: Time = 100_000;
/// Between two repeats of what observers tell.
const REPEAT: Time = 1_000_000;
/// Between two looks at who is to be cut.
const LOOK: Time = 100_000;
/// Those on so many of the rings are handed each delta; each ring alone reaches all, and the others mend what is lost.
const NEAR: usize = RINGS / 2;
/// A broker that catches up hands on no more deltas at once: its neighbours have the others.
const MOST_PUSHED: usize = 4;
/// Most bytes of names in the deltas that a voter's word brings along. Who lacks more asks for it apart.
const MOST_BROUGHT: usize = 8 * PAGE;
/// Most bytes of names that join in one view; more wait for the next.
const MOST_JOINED: usize = 16 * PAGE;
/// Deltas that wait for those that they follow; while a broker catches up others go on.
const MOST_EARLY: usize = 128;
/// A snapshot is kept for those who fetch it for so long after a page of it was asked for.
const SERVED: Time = 10_000_000;
/// Joins that wait for a view; more are dropped, and asked again.
const MOST_JOINS: usize = MOST_MEMBERS;
/// Seats beyond the voters wanted: one dead and one that learns for each.
const SEATS_EACH: usize = 2;
/// Members that have gone and are still shown.
const MOST_DEPARTED: usize = 32;

/// Where a broker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// In no view, and asking for it.
    Joining,
    /// Belongs.
    Member,
    /// Has asked to go.
    Leaving,
    /// Has gone.
    Left,
    /// Another life of its name has taken its place.
    Replaced,
}

/// What is to be done, in this order.
#[derive(Debug)]
pub enum Output {
    /// To be kept before anything that follows; if that fails, nothing that follows may be done.
    Keep(Vec<u8>),
    /// To be sent to an address.
    Send(String, Packet),
    /// The view that now holds here, and what led to it from the last; nothing where it came whole.
    View(Arc<View>, Option<Arc<Delta>>),
    /// The nodes that are out from now on. Once that is in force [`Node::applied`] is to be told the number.
    Force(u64, BTreeSet<String>),
    /// What became of an operator's call.
    Decided(Decided),
    /// For the log.
    Log(String),
}

/// One broker's part.
pub struct Node {
    set: Settings,
    life: u64,
    phase: Phase,
    incarnation: u64,
    view: Arc<View>,
    deltas: Deltas,
    /// Deltas that have come before those that they follow, by the view that they follow. Ends with the view that passes them.
    early: BTreeMap<u64, Arc<Delta>>,
    served: Option<(Served, Time)>,
    fetch: Option<Fetch>,
    /// Someone with a later view, who is asked for it unless it comes until then.
    behind: Option<(Time, String)>,
    /// A delta did not lead where it should: what is here is asked for whole.
    astray: bool,
    /// Those of the view, once they are needed.
    rings: Option<Rings>,
    edges: Edges,
    cut: Cut,
    council: Option<Council>,
    /// The last word of each other founder: its name, its life, whether it has founded, and on whom it counted.
    founding: BTreeMap<String, (Name, u64, bool, Roll)>,
    /// It has kept this life, on which other founders may count.
    promised: bool,
    joins: BTreeMap<Name, (Member, Option<u64>)>,
    leaves: BTreeMap<Name, u64>,
    unseated: BTreeMap<u64, Time>,
    /// Who was in an earlier view and is in this one no more; the last few.
    departed: VecDeque<Member>,
    lease: Lease,
    /// By voter, when its last word was asked for, and the nodes that are out by what it has written down. Ends with the lease
    /// that may rest on it, and with the voter's seat.
    pending: BTreeMap<u64, (Time, BTreeSet<String>)>,
    /// The last state of what is out, and the view that it belongs to.
    forced: (u64, u64),
    /// The view in force.
    in_force: u64,
    /// Operators' calls that were made at this broker.
    calls: Calls,
    /// Calls that a leader is to put into the next view, whether or not they change anything. A view with a call about the
    /// same node ends them.
    drains: BTreeMap<String, bool>,
    led: bool,
    tick: Time,
    repeat: Time,
    join: Time,
    look: Time,
    /// When open calls are asked for again.
    next_request: Time,
    out: Vec<Output>,
}

impl Node {
    /// A broker at its start. `life` is drawn anew at each; `kept` is what was kept last.
    pub fn new(now: Time, set: Settings, life: u64, kept: Option<&[u8]>) -> Result<Node, CouncilError> {
        let promised = kept.map(Council::promised).transpose()?.flatten();
        let council = kept.filter(|_| promised.is_none()).map(Council::restore).transpose()?;
        let promised = promised.flatten();
        let life = promised.unwrap_or(life);
        let last = council.as_ref().map(|c| c.view().clone()).unwrap_or_default();
        let mut node = Node {
            edges: Edges::new(set.probe, set.silence),
            phase: Phase::Joining,
            incarnation: 0,
            view: Arc::default(),
            deltas: Deltas::default(),
            early: BTreeMap::new(),
            served: None,
            fetch: None,
            behind: None,
            astray: false,
            rings: None,
            cut: Cut::default(),
            council,
            founding: BTreeMap::new(),
            promised: promised.is_some(),
            joins: BTreeMap::new(),
            leaves: BTreeMap::new(),
            unseated: BTreeMap::new(),
            departed: VecDeque::new(),
            lease: Lease::new(set.lease),
            pending: BTreeMap::new(),
            forced: (0, 0),
            in_force: 0,
            calls: Calls::default(),
            drains: BTreeMap::new(),
            led: false,
            tick: now,
            repeat: now,
            join: now,
            look: now,
            next_request: now,
            out: Vec::new(),
            set,
            life,
        };
        node.adopt(now, last);
        // What was kept at another address may be a copy, whose first still votes: it comes in without a seat.
        let id = node.council.as_ref().map(Council::id);
        if node.view.seats.iter().any(|s| Some(s.id) == id && s.address != node.set.address) {
            node.council = None;
        }
        Ok(node)
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Its incarnation; 0 while it belongs to no view.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The last view it knows.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether it leads the voters, as far as it knows.
    pub fn leads(&self) -> bool {
        self.council.as_ref().is_some_and(Council::leads)
    }

    /// Those of the view that are suspected, as far as it knows: as leader, or by its own edges.
    pub fn suspects(&self) -> BTreeSet<Name> {
        self.edges.down().map(|(n, _)| n).chain(self.cut.suspects()).cloned().collect()
    }

    /// That state of what is out is in force here: those nodes are asked for nothing new.
    pub fn applied(&mut self, state: u64) {
        if state == self.forced.0 {
            self.in_force = self.forced.1;
        }
        self.lease.applied(state);
    }

    /// Until when this broker may send to nodes.
    pub fn lease(&self) -> Time {
        self.lease.until()
    }

    /// The view in force here.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Asks for a node to be taken out everywhere, or put back, until a view decides that, for so long. What becomes of the
    /// call is an [`Output::Decided`] with the number that is returned; there is none if too many calls are open.
    pub fn drain(&mut self, now: Time, name: String, out: bool, patience: Time) -> Option<CallId> {
        let (call, decided) = self.calls.make(&self.view, &name, out, now + patience)?;
        self.decided(decided);
        self.next_request = now;
        Some(call)
    }

    /// Hands out what became of calls.
    fn decided(&mut self, decided: impl IntoIterator<Item = Decided>) {
        for decided in decided {
            if decided.decision == Decision::GaveWay {
                let Decided { node, out, .. } = &decided;
                let (asked, number) = (if *out { "out" } else { "in use" }, self.view.number);
                let text = format!("view {number}: the call for {node} {asked} gave way to another call");
                self.out.push(Output::Log(text));
            }
            self.out.push(Output::Decided(decided));
        }
    }

    /// Members that have gone, the last few.
    pub fn departed(&self) -> &VecDeque<Member> {
        &self.departed
    }

    /// Comes back after it has left.
    pub fn join(&mut self) {
        match self.phase {
            Phase::Left => self.phase = Phase::Joining,
            Phase::Leaving => self.phase = Phase::Member,
            _ => {}
        }
    }

    /// Asks to go, until it is asked to come back.
    pub fn leave(&mut self) {
        self.phase = match self.phase {
            Phase::Member => Phase::Leaving,
            Phase::Joining => Phase::Left,
            phase => phase,
        };
    }

    fn packet(&self, body: Body) -> Packet {
        Packet {
            cluster: self.set.cluster.clone(),
            from: self.set.name.clone(),
            address: self.set.address.clone(),
            life: self.life,
            incarnation: self.incarnation,
            view: self.view.number,
            body,
        }
    }

    fn send(&mut self, to: &str, body: Body) {
        if to != self.set.address {
            let packet = self.packet(body);
            self.out.push(Output::Send(to.to_string(), packet));
        }
    }

    /// Voters as far as they are known, else the seeds.
    fn voters(&self) -> Vec<String> {
        let known: Vec<String> = self.view.seats.iter().map(|s| s.address.clone()).collect();
        if known.is_empty() {
            self.set.seeds.clone()
        } else {
            known
        }
    }

    /// Where the voter of a number is reached: by its seat, or as a founder.
    fn seat(&self, id: u64) -> Option<String> {
        let seat = self.view.seats.iter().find(|s| s.id == id).map(|s| s.address.clone());
        let founders = &self.set.seeds[..self.set.founders()];
        seat.or_else(|| founders.get(usize::try_from(id).ok()?.checked_sub(1)?).cloned())
    }

    /// Takes a packet. One of another cluster, or that makes no sense here, is dropped.
    pub fn receive(&mut self, now: Time, packet: Packet) {
        let short = |s: &str| !s.is_empty() && s.len() <= MOST_NAME;
        if packet.cluster != self.set.cluster || !short(&packet.from) || !short(&packet.address) {
            return;
        }
        let Packet { from, address, life, incarnation, view, body, .. } = packet;
        // The consensus counts its voters itself, members or not.
        match body {
            Body::Raft(bytes) => {
                if let (Some(council), Ok(message)) = (&mut self.council, Message::parse_from_bytes(&bytes)) {
                    council.step(message);
                }
                return;
            }
            Body::Founder(founded, roll) => return self.founder(address, from, life, founded, roll),
            Body::Ask(number, whole) => return self.catch_up(now, &address, number, whole),
            Body::Page(page) => return self.page(now, &address, page),
            Body::Fetch(number, pages) => return self.give(now, &address, 0, Some((number, pages))),
            _ => {}
        }
        if let Body::Changes(changes) = &body {
            self.changes(now, changes, &address);
        }
        if view > self.view.number && self.behind.is_none() && self.fetch.is_none() {
            // What is known of no view yet comes to it by nobody else.
            let wait = if self.view.number == 0 { 0 } else { self.set.probe / 2 };
            self.behind = Some((now + wait, address.clone()));
        }
        // A former life, or one that was cut: it is told, and acts as no member.
        if incarnation > 0 && view <= self.view.number && !self.view.holds(&from, incarnation) {
            return self.tell(&address, view);
        }
        match body {
            Body::Probe(at) if self.incarnation > 0 => self.send(&address, Body::Ack(at)),
            Body::Ack(at) => self.edges.answered(now, &from, incarnation, at),
            Body::Join(seen, seat) => self.joins(from, address, life, seen, seat),
            Body::Leave if self.view.holds(&from, incarnation) => {
                self.forward(&address, from.clone(), life, incarnation, Body::Leave);
                self.leaves.insert(from, incarnation);
            }
            Body::Renew(at, number) => match self.word(at, number) {
                Some(grant) => self.send(&address, Body::Grant(grant)),
                None => self.tell(&address, number),
            },
            Body::Grant(grant) => self.granted(now, grant, &address),
            Body::Drain(node, out) if self.view.holds(&from, incarnation) => {
                let body = Body::Drain(node.clone(), out);
                self.forward_against(view, &address, from, life, incarnation, body);
                self.take_call(node, out, view);
            }
            Body::Down(down) if self.view.holds(&from, incarnation) => self.cut.told(now, &from, down),
            _ => {}
        }
    }

    /// This voter's word to one that knows the view of that number; nothing where it cannot bring along what that one lacks.
    fn word(&self, at: Time, number: u64) -> Option<Grant> {
        let council = self.council.as_ref()?;
        let pending = council.pending(self.view.number.max(number))?;
        let changes = match number < self.view.number {
            true => self.deltas.since(number, MOST_BROUGHT)?,
            false => Vec::new(),
        };
        Some(Grant { at, number, seat: council.id(), changes, pending })
    }

    /// Takes a voter's word. It counts once all that it brings along is in force.
    fn granted(&mut self, now: Time, grant: Grant, from: &str) {
        if !self.lease.waits(grant.at) {
            return;
        }
        self.changes(now, &grant.changes, from);
        let known = self.view.number >= grant.number + grant.changes.len() as u64;
        if !known || !self.view.seats.iter().any(|s| s.id == grant.seat) {
            return;
        }
        let last = self.pending.entry(grant.seat).or_insert((Time::MIN, BTreeSet::new()));
        if last.0 <= grant.at {
            let same = last.1 == grant.pending;
            *last = (grant.at, grant.pending);
            if !same {
                self.force();
            }
        }
        self.lease.granted(grant.at, grant.seat, self.forced.0);
    }

    /// Gives what is out now to be put into force, if that is another state than the last.
    fn force(&mut self) {
        let pending = self.pending.values().flat_map(|(_, nodes)| nodes.iter().cloned());
        let out: BTreeSet<String> = self.view.drains.iter().cloned().chain(pending).collect();
        self.forced = (self.forced.0 + 1, self.view.number);
        self.out.push(Output::Force(self.forced.0, out));
    }

    /// Asks the voters for a lease, and for drains that are wished for.
    fn asks(&mut self, now: Time) {
        let expired = self.calls.expire(now);
        self.decided(expired);
        if self.incarnation == 0 {
            return;
        }
        if self.lease.asks(now) {
            let number = self.view.number;
            self.voters().into_iter().for_each(|to| self.send(&to, Body::Renew(now, number)));
            if let Some(grant) = self.word(now, number) {
                let own = self.set.address.clone();
                self.granted(now, grant, &own);
            }
        }
        if now >= self.next_request {
            self.next_request = now + self.set.probe / 2;
            for Request { node, out, base } in self.calls.requests() {
                let packet = Packet { view: base, ..self.packet(Body::Drain(node.clone(), out)) };
                let others = self.voters().into_iter().filter(|to| *to != self.set.address);
                let sends = others.map(|to| Output::Send(to, packet.clone()));
                self.out.extend(sends);
                self.take_call(node, out, base);
            }
        }
    }

    /// Takes, as leader, an operator's call for the next view. One that was made against the view of number `base` is dropped
    /// if a later view had a call about that node, or if that is not known: it must not undo what came after it.
    fn take_call(&mut self, node: String, out: bool, base: u64) {
        let last = base == self.view.number;
        let latest = last || self.deltas.untouched(&node, base).unwrap_or(false);
        if !self.leads() || !latest || node.len() > MOST_NAME {
            return;
        }
        let full = out && !self.view.drains.contains(&node) && self.view.drains.len() >= MOST_DRAINS;
        if full {
            // Whoever asked is told no when its time is over.
            let text = format!("not taken out: {node}; {MOST_DRAINS} nodes are out already");
            self.out.push(Output::Log(text));
        } else if self.drains.len() < MOST_DRAINS {
            self.drains.insert(node, out);
        }
    }

    /// Tells one that knows the view of that number what has followed it; if that is too much, that there is something.
    fn tell(&mut self, address: &str, number: u64) {
        if self.view.number > number {
            let changes = self.deltas.since(number, MOST_BROUGHT).unwrap_or_default();
            self.send(address, Body::Changes(changes));
        }
    }

    /// Gives all that has followed the view of that number: in deltas, each packet as long as a page, or as a snapshot.
    fn catch_up(&mut self, now: Time, address: &str, number: u64, whole: bool) {
        if self.view.number <= number {
            return;
        }
        let changes = self.deltas.since(number, usize::MAX).filter(|_| !whole);
        let Some(changes) = changes else { return self.give(now, address, number, None) };
        let mut packet = Vec::new();
        let mut bytes = 0;
        for delta in changes {
            bytes += delta.weight();
            if bytes > PAGE && !packet.is_empty() {
                self.send(address, Body::Changes(std::mem::take(&mut packet)));
                bytes = delta.weight();
            }
            packet.push(delta);
        }
        self.send(address, Body::Changes(packet));
    }

    /// Gives pages of a snapshot of a view later than `after`: of the one that is given out already, as long as deltas lead on
    /// from there, else of a new one. Who wanted pages of another is given the first of this one instead.
    fn give(&mut self, now: Time, address: &str, after: u64, wanted: Option<(u64, Vec<u16>)>) {
        if self.view.number <= after {
            return;
        }
        let leads_on = |n: u64| n == self.view.number || self.deltas.since(n, usize::MAX).is_some();
        let kept = self.served.take().map(|(s, _)| s).filter(|s| s.number() > after && leads_on(s.number()));
        let Some(served) = kept.or_else(|| Served::of(&self.view)) else { return };
        let pages = wanted.filter(|(n, _)| *n == served.number()).map(|(_, pages)| pages);
        for page in served.pages(&pages.unwrap_or_default()) {
            self.send(address, Body::Page(page));
        }
        self.served = Some((served, now));
    }

    /// Takes a page of a snapshot.
    fn page(&mut self, now: Time, from: &str, page: Page) {
        if page.number <= self.view.number && !self.astray {
            return;
        }
        if self.fetch.as_ref().is_none_or(|f| f.over(now) || f.outdated(from, &page)) {
            self.fetch = Fetch::begin(now, from, &page);
        }
        let Some(fetch) = self.fetch.as_mut().filter(|f| f.wants(from, &page)) else { return };
        if let Some(view) = fetch.take(now, page) {
            self.fetch = None;
            self.adopt(now, view);
        }
    }

    /// Follows deltas as far as they lead on from here, and hands on what was new. Those that lead on from later views wait.
    fn changes(&mut self, now: Time, changes: &[Arc<Delta>], from: &str) {
        let mut new = Vec::new();
        let later = |d: &&Arc<Delta>| d.after >= self.view.number;
        self.early.extend(changes.iter().filter(later).map(|d| (d.after, d.clone())));
        while let Some(delta) = self.early.remove(&self.view.number) {
            if self.follow(now, &delta) {
                new.push(delta);
            }
        }
        while self.early.len() > MOST_EARLY {
            self.early.pop_last();
        }
        if !new.is_empty() && new.len() <= MOST_PUSHED {
            let near: Vec<String> = self.edges.near().filter(|a| *a != from).map(str::to_string).collect();
            near.iter().for_each(|to| self.send(to, Body::Changes(new.clone())));
        }
    }

    /// Takes the view that a delta leads to; says whether it did.
    fn follow(&mut self, now: Time, delta: &Arc<Delta>) -> bool {
        if delta.after != self.view.number || delta.origin != self.view.origin {
            return false;
        }
        match self.view.follow(delta) {
            Ok(view) => self.enter(now, view, Some(delta.clone())),
            Err(error) => {
                // Not what the others hold: it is asked for whole, from the next who tells of a later one.
                self.astray = true;
                self.out.push(Output::Log(format!("view {}: {error}", delta.number())));
                return false;
            }
        }
        true
    }

    /// Hands on to the leader what only it can do.
    fn forward(&mut self, address: &str, from: Name, life: u64, incarnation: u64, body: Body) {
        self.forward_against(self.view.number, address, from, life, incarnation, body);
    }

    /// Hands on to the leader what only it can do, and what was made against the view of that number.
    fn forward_against(
        &mut self,
        view: u64,
        address: &str,
        from: Name,
        life: u64,
        incarnation: u64,
        body: Body,
    ) {
        let Some(council) = self.council.as_ref().filter(|c| !c.leads()) else { return };
        let Some(to) = council.leader().and_then(|id| self.seat(id)) else { return };
        let address = address.to_string();
        let packet = Packet { from, address, life, incarnation, view, ..self.packet(body) };
        self.out.push(Output::Send(to, packet));
    }

    /// Takes a wish to be let in. It must know of the last that became of its name: one that was long on its way is of a former
    /// life.
    fn joins(&mut self, from: Name, address: String, life: u64, seen: u64, seat: Option<u64>) {
        let member = self.view.member(&from);
        let known = member.is_some_and(|m| m.life == life);
        let last = member.map(|m| m.incarnation).max(self.deltas.gone(&from));
        let traced = seen == self.view.number || self.deltas.since(seen, usize::MAX).is_some();
        if known || !traced || last.is_some_and(|last| seen < last) {
            return self.tell(&address, seen);
        }
        if !self.leads() {
            return self.forward(&address, from, life, 0, Body::Join(seen, seat));
        }
        if self.view.members.len() >= MOST_MEMBERS && self.view.member(&from).is_none() {
            // It asks again; nothing is proposed for its sake.
            return self
                .out
                .push(Output::Log(format!("not taken in: {from}; {MOST_MEMBERS} belong already")));
        }
        if self.joins.len() < MOST_JOINS || self.joins.contains_key(&from) {
            let member = Member { name: from.clone(), address, incarnation: 0, life };
            self.joins.insert(from, (member, seat));
        }
    }

    /// Takes a committed view, if it is later than what is known here and of the same founding.
    fn adopt(&mut self, now: Time, view: View) {
        let other = self.view.number > 0 && view.origin != self.view.origin;
        if !other && view.number > self.view.number {
            self.enter(now, view, None);
        }
    }

    /// The view that follows, by a delta or whole.
    fn enter(&mut self, now: Time, view: View, delta: Option<Arc<Delta>>) {
        let old = std::mem::replace(&mut self.view, Arc::new(view));
        match &delta {
            Some(delta) => self.deltas.push(delta.clone(), &self.view),
            None => self.deltas.clear(),
        }
        (self.behind, self.astray) = (None, false);
        self.early.retain(|after, _| *after >= self.view.number);
        match &delta {
            Some(delta) => self.drains.retain(|node, _| !delta.drains.iter().any(|(name, _)| name == node)),
            None => self.drains.clear(),
        }
        let decided = self.calls.apply(&self.view, delta.as_deref());
        self.decided(decided);
        if delta.as_ref().is_none_or(|d| d.seats.is_some()) {
            let seats = &self.view.seats;
            self.lease.ask_of(enough(seats.len(), usize::from(self.view.wanted)));
            self.pending.retain(|id, _| seats.iter().any(|s| s.id == *id));
        }
        if delta.as_ref().is_none_or(|d| d.moves()) {
            self.moved(now, &old, delta.as_deref());
        }
        // A seat is given up with the view that takes it, and to a later life of this name.
        let seated =
            |c: &Council| self.view.seats.is_empty() || self.view.seats.iter().any(|s| s.id == c.id());
        if self.phase == Phase::Replaced || !self.council.as_ref().is_none_or(seated) {
            self.council = None;
        }
        self.out.push(Output::View(self.view.clone(), delta));
        self.force();
    }

    /// Others belong than before.
    fn moved(&mut self, now: Time, old: &View, delta: Option<&Delta>) {
        let was = self.incarnation;
        let view = self.view.clone();
        self.rings = None;
        let gone: Vec<Member> = match delta {
            Some(d) => d.gone.iter().filter_map(|n| old.member(n).cloned()).collect(),
            None => old.members.iter().filter(|m| view.member(&m.name).is_none()).cloned().collect(),
        };
        self.departed.retain(|m| view.member(&m.name).is_none());
        self.departed.extend(gone);
        self.departed.drain(..self.departed.len().saturating_sub(MOST_DEPARTED));
        match delta {
            Some(d) => self.cut.forget(d.gone.iter().chain(d.joined.iter().map(|m| &m.name))),
            None => self.cut.clear(),
        }
        self.joins.retain(|name, (m, _)| view.member(name).is_none_or(|is| is.life != m.life));
        self.leaves.retain(|n, i| view.holds(n, *i));
        let own = self.view.member(&self.set.name).cloned();
        self.incarnation = own.as_ref().filter(|m| m.life == self.life).map_or(0, |m| m.incarnation);
        self.phase = match (self.phase, own) {
            (phase @ (Phase::Left | Phase::Replaced), _) => phase,
            (phase, Some(m)) if m.life == self.life => {
                if phase == Phase::Leaving {
                    phase
                } else {
                    Phase::Member
                }
            }
            (Phase::Leaving, _) => Phase::Left,
            // A later life has come. One that was there before is that which this one is to follow.
            (_, Some(m)) if was > 0 && m.incarnation > was => Phase::Replaced,
            _ => Phase::Joining,
        };
        if was != self.incarnation {
            let (phase, number) = (self.phase, self.view.number);
            let is = self.incarnation;
            self.out.push(Output::Log(format!("view {number}: {phase:?}, incarnation {was} -> {is}")));
        }
        let own = view.place(&self.set.name).filter(|i| view.members[*i].life == self.life);
        let subject = |(ring, i): (usize, usize)| {
            let m = &view.members[i];
            let (name, address) = (m.name.clone(), m.address.clone());
            Subject { name, incarnation: m.incarnation, address, near: ring < NEAR }
        };
        let subjects = own.map(|own| subjects(&view, own)).unwrap_or_default();
        self.edges.watch(now, subjects.into_iter().enumerate().map(subject));
        self.join = self.join.min(now);
    }

    /// Founders other than this one.
    fn others(&self) -> Vec<String> {
        let founders = &self.set.seeds[..self.set.founders()];
        founders.iter().filter(|a| **a != self.set.address).cloned().collect()
    }

    /// Takes another founder's word.
    fn founder(&mut self, address: String, from: Name, life: u64, founded: bool, roll: Roll) {
        let others = self.others();
        if !others.contains(&address) || roll.len() > others.len() + 1 {
            return;
        }
        self.founding.insert(address.clone(), (from, life, founded, roll));
        let Some(council) = self.council.as_mut().filter(|_| !founded) else { return };
        // It waits for this one's word. If all the others are empty none has ever voted: this one counts anew.
        let empty = others.iter().all(|a| self.founding.get(a).is_some_and(|f| !f.2));
        if empty && council.view().number == 0 {
            let own = council.roll().get_key_value(&self.set.address).map(|(a, n)| (a.clone(), n.clone()));
            let said = self.founding.iter().map(|(a, f)| (a.clone(), (f.0.clone(), f.1)));
            let counted: Roll = said.chain(own).collect();
            if counted != *council.roll() {
                council.set_roll(counted);
            }
        }
        let roll = council.roll().clone();
        self.send(&address, Body::Founder(true, roll));
    }

    /// Founds the cluster, once every other founder has said that it is empty too, or has counted on this life.
    fn found(&mut self) -> Result<(), CouncilError> {
        let founders = &self.set.seeds[..self.set.founders()];
        let Some(own) = founders.iter().position(|a| *a == self.set.address) else { return Ok(()) };
        if self.council.is_some() || self.view.number > 0 {
            return Ok(());
        }
        let (others, me) = (self.others(), (self.set.name.clone(), self.life));
        let word = |a: &String| self.founding.get(a);
        let counted = |a: &String| word(a).is_some_and(|f| !f.2 || f.3.get(&self.set.address) == Some(&me));
        if !others.iter().all(counted) {
            if !std::mem::replace(&mut self.promised, true) {
                self.out.push(Output::Keep(Council::promise(Some(self.life))?));
            }
            others.iter().for_each(|to| self.send(to, Body::Founder(false, Roll::new())));
            return Ok(());
        }
        let theirs = self.founding.values().find(|f| f.2).map(|f| f.3.clone());
        let roll = theirs.unwrap_or_else(|| {
            let said = self.founding.iter().map(|(a, f)| (a.clone(), (f.0.clone(), f.1)));
            said.chain([(self.set.address.clone(), me)]).collect()
        });
        self.council = Some(Council::found(own as u64 + 1, roll)?);
        self.out.push(Output::Log(format!("founds the cluster as voter {}", own + 1)));
        Ok(())
    }

    /// Lets time pass and gives what is to be done. To be called at least twice in each [`Settings::probe`].
    pub fn turn(&mut self, now: Time) -> Result<Vec<Output>, CouncilError> {
        let (probes, changed) = self.edges.turn(now);
        for to in probes {
            self.send(&to, Body::Probe(now));
        }
        if self.phase == Phase::Joining && now >= self.join {
            // Many that start at once do not ask at once for long.
            self.join = now + self.set.probe / 2 + (mix(&now.to_le_bytes(), self.life) % 250_000) as Time;
            let (seen, seat) = (self.view.number, self.council.as_ref().map(Council::id));
            let mut to: BTreeSet<String> = self.voters().into_iter().collect();
            to.extend(self.set.seeds.iter().cloned());
            to.into_iter().for_each(|to| self.send(&to, Body::Join(seen, seat)));
            if self.leads() {
                self.joins(self.set.name.clone(), self.set.address.clone(), self.life, seen, seat);
            }
            self.found()?;
        }
        let told = self.edges.down().next().is_some() && now >= self.repeat;
        if self.incarnation > 0 && (changed || told) {
            self.repeat = now + REPEAT;
            let down: Down = self.edges.down().map(|(n, i)| (n.clone(), i)).collect();
            let own = self.set.name.clone();
            self.cut.told(now, &own, down.clone());
            self.voters().into_iter().for_each(|to| self.send(&to, Body::Down(down.clone())));
        }
        if self.phase == Phase::Leaving && now >= self.join {
            self.join = now + self.set.probe / 2;
            self.leaves.insert(self.set.name.clone(), self.incarnation);
            self.voters().into_iter().for_each(|to| self.send(&to, Body::Leave));
        }
        // A learner's seat that was given to this very life, or a founder's that has not come to found.
        let seat = self.view.seats.iter().find(|s| s.name == self.set.name && s.life == self.life);
        match seat.filter(|_| self.council.is_none()) {
            Some(seat) => self.council = Some(Council::learn(seat.id)?),
            None if self.promised && self.council.is_none() && !self.view.seats.is_empty() => {
                self.promised = false;
                self.out.push(Output::Keep(Council::promise(None)?));
            }
            None => {}
        }
        if let Some((_, from)) = self.behind.take_if(|(at, _)| now >= *at) {
            self.send(&from, Body::Ask(self.view.number, self.astray));
        }
        self.fetch.take_if(|f| f.over(now));
        if let Some((from, number, pages)) = self.fetch.as_mut().and_then(|f| f.asks(now)) {
            self.send(&from, Body::Fetch(number, pages));
        }
        self.served.take_if(|(_, at)| now - *at > SERVED);
        // No lease rests any more on a word that was asked for so long ago.
        let mut less = false;
        self.pending.retain(|_, (at, nodes)| {
            let rests = now - *at <= self.set.lease;
            less |= !rests && !nodes.is_empty();
            rests
        });
        if less {
            self.force();
        }
        self.asks(now);
        self.vote(now)?;
        Ok(std::mem::take(&mut self.out))
    }

    fn vote(&mut self, now: Time) -> Result<(), CouncilError> {
        let Some(mut council) = self.council.take() else { return Ok(()) };
        let missed = (now - self.tick) / TICK;
        if missed > 0 {
            self.tick = now;
            // After a pause of its own it does not stand for election at once.
            (0..missed.min(2)).for_each(|_| council.tick());
        }
        if council.leads() != self.led {
            self.led = council.leads();
            self.cut.clear();
            self.joins.clear();
            self.unseated.clear();
            // Whoever made a call repeats it.
            self.drains.clear();
            self.next_request = now;
        }
        if council.leads() && council.view().number == self.view.number {
            self.lead(now, &mut council)?;
        }
        let turn = council.turn()?;
        if let Some(kept) = turn.keep {
            self.out.push(Output::Keep(kept));
        }
        self.council = Some(council);
        for message in turn.messages {
            if let (Some(to), Ok(bytes)) = (self.seat(message.to), message.write_to_bytes()) {
                self.send(&to, Body::Raft(bytes));
            }
        }
        let own = self.set.address.clone();
        for step in turn.views {
            match step {
                Step::Whole(view) => self.adopt(now, view),
                Step::Delta(delta) => {
                    // Who was let in and who has left is told at once; the others hear it from one another.
                    let left = |n: &&Name| self.leaves.contains_key(*n);
                    let left = delta.gone.iter().filter(left).filter_map(|n| self.view.member(n));
                    let told = delta.joined.iter().chain(left).map(|m| m.address.clone());
                    let told: Vec<String> = told.filter(|_| self.led).collect();
                    self.changes(now, std::slice::from_ref(&delta), &own);
                    told.iter().for_each(|to| self.tell(to, delta.after));
                }
            }
        }
        Ok(())
    }

    /// Puts the next view forward if there is reason to, and sees to the seats.
    fn lead(&mut self, now: Time, council: &mut Council) -> Result<(), CouncilError> {
        let mut out = BTreeSet::new();
        if now >= self.look && !self.cut.is_quiet() {
            self.look = now + LOOK;
            let rings = self.rings.get_or_insert_with(|| Rings::of(&self.view));
            let (settle, own) = (self.set.settle, &self.set.name);
            out = self.cut.judge(now, settle, own, &self.view, rings).unwrap_or_default();
        }
        out.extend(self.leaves.keys().cloned());
        let seats = self.seats(now, council);
        let nothing = self.drains.is_empty() && out.is_empty() && self.joins.is_empty() && seats.is_none();
        if nothing || !council.may_propose() {
            return Ok(());
        }
        // As many as one view may take in; the others wait for the next.
        let mut bytes = 0;
        let fits = |(_, (m, _)): &(&Name, &(Member, Option<u64>))| {
            bytes += weight(m);
            bytes <= MOST_JOINED
        };
        let first = self.joins.iter().take_while(fits).count();
        let rest = self.joins.keys().nth(first).cloned();
        let rest = rest.map(|name| self.joins.split_off(&name)).unwrap_or_default();
        let joins = std::mem::replace(&mut self.joins, rest);
        let mut next = self.view.next(&out, joins.values().map(|(m, _)| m.clone()));
        if self.view.number == 0 {
            next.wanted = self.set.founders() as u8;
            next.origin = mix(&postcard::to_stdvec(council.roll())?, 0);
        }
        next.seats = seats.unwrap_or(next.seats);
        let (log, wanted) = (&mut self.out, &mut next.drains);
        self.drains.retain(|node, out| {
            let full = *out && !wanted.contains(node) && wanted.len() >= MOST_DRAINS;
            match (full, *out) {
                // Kept, it would have a view proposed again and again.
                (true, _) => log
                    .push(Output::Log(format!("not taken out: {node}; {MOST_DRAINS} nodes are out already"))),
                (false, true) => drop(wanted.insert(node.clone())),
                (false, false) => drop(wanted.remove(node)),
            }
            !full
        });
        // A voter that is back with what it kept holds its seat again.
        for (member, id) in joins.values() {
            if let Some(seat) = next.seats.iter_mut().find(|s| Some(s.id) == *id && s.name == member.name) {
                seat.life = member.life;
                seat.address.clone_from(&member.address);
            }
        }
        council.propose_with_calls(next, &self.drains)
    }

    /// Moves the seats by one step: founders first, then a learner for each voter that is out for good, and
    /// the dead seat goes once there are enough without it. Gives the seats of the next view, if they change.
    fn seats(&mut self, now: Time, council: &mut Council) -> Option<Vec<Seat>> {
        let seats = &self.view.seats;
        if seats.is_empty() {
            let founders = &self.set.seeds[..self.set.founders()];
            let seat = |(i, a): (usize, &String)| {
                let (name, life) = council.roll().get(a).cloned().unwrap_or_default();
                Seat { id: i as u64 + 1, name, address: a.clone(), life }
            };
            return Some(founders.iter().enumerate().map(seat).collect());
        }
        let (voters, learners) = council.seats();
        let held = |s: &Seat| self.view.member(&s.name).is_some_and(|m| m.life == s.life);
        self.unseated.retain(|id, _| seats.iter().any(|s| s.id == *id && !held(s)));
        for seat in seats.iter().filter(|s| !held(s)) {
            self.unseated.entry(seat.id).or_insert(now);
        }
        let dead = |s: &Seat| self.unseated.get(&s.id).is_some_and(|at| now - at > self.set.replace);
        let known = |id: &u64| voters.contains(id) || learners.contains(id);
        if let Some(ready) = learners.iter().find(|id| council.caught_up(**id)) {
            council.reseat(ConfChangeType::AddNode, *ready);
        } else if let Some(gone) =
            voters.iter().chain(&learners).find(|id| seats.iter().all(|s| s.id != **id))
        {
            council.reseat(ConfChangeType::RemoveNode, *gone);
        } else if let Some(new) = seats.iter().find(|s| !known(&s.id)) {
            council.reseat(ConfChangeType::AddLearnerNode, new.id);
        }
        let wanted = usize::from(self.view.wanted);
        let lost = seats.iter().find(|s| dead(s))?;
        let alive = seats.iter().filter(|s| voters.contains(&s.id) && !dead(s)).count();
        // One at a time: those who grant leases must meet those who commit.
        let settled = voters.iter().chain(&learners).all(|id| seats.iter().any(|s| s.id == *id));
        if alive >= wanted && !settled {
            return None;
        }
        if alive >= wanted {
            return Some(seats.iter().filter(|s| s.id != lost.id).cloned().collect());
        }
        let learning = seats.iter().any(|s| !voters.contains(&s.id) && !dead(s));
        if learning || seats.len() >= wanted * SEATS_EACH {
            return None;
        }
        let free = |m: &&Member| seats.iter().all(|s| (&s.name, s.life) != (&m.name, m.life));
        // Machines that are set aside for voters stand among the seeds.
        let apart = |m: &Member| self.set.seeds.contains(&m.address);
        let m = self.view.members.iter().filter(free).min_by_key(|m| (!apart(m), m.incarnation))?;
        // Above the founders' numbers, and of one view: given once.
        let id = 1_000 + self.view.number + 1;
        let seat = Seat { id, name: m.name.clone(), address: m.address.clone(), life: m.life };
        Some(seats.iter().cloned().chain([seat]).collect())
    }
}
