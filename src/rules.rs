//! All decisions of the scheduler. The types of its events, actions and settings: `src/interface.rs`.
//!
//! Path of a request: `take` ranks it by worth still obtainable per unit and puts it into the queue of
//! its shard, or of the new objects; an ordered key first waits for its turn in `Line`. When all events
//! of a moment are read, `pump` looks at what may go. A request for a shard goes to the node that holds it,
//! a new object to the member of its key's group whose book frees earliest (`choose`), if the node has
//! room (`room`: bound, cold start, health) and the request may go (`gate`: limit of its volume, effects,
//! budget). `outcome` settles the book, learns the time per unit, and answers, queues again or gives up.

mod fleet;
mod node;
mod overload;
mod waiting;

use crate::interface::*;
use fleet::{hash, Fleet};
use node::{Bucket, Node, Pace, MEMORY, SECOND, STRIKES};
use overload::Overload;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use waiting::{Rank, Waiting};

/// Part of the tightest aim that units out at a node may take to serve: the rest is left to the queue
/// that other hosts build there, and to pauses.
const PART_OF_AIM: f64 = 0.35;
/// A node counts as quick for work within share up to this many times the bound's part of the aim.
const SHARE_EASE: f64 = 1.5;
/// Requests of mean size that the bound never goes below: fewer would leave cores of a node idle.
const FLOOR_REQUESTS: f64 = 4.0;
/// Most requests out at one node: the ceiling of the design.
const CEILING: usize = 32;
/// Time per unit taken for a node when nothing has been served yet anywhere, in microseconds: a guess
/// that the first answers replace.
const FIRST_GUESS: f64 = 20_000.0;
/// Time between the trials of an unwell node: recovery is seen this late.
const TRIAL: Time = 500_000;
/// A held request is answered this long before its client gives up: no node serves one in less.
const LAST_CALL: Time = 30_000;
/// Part of its time by which a held request is to be answered unless it can hope to be served: a client
/// that learns late that it was held for nothing has lost the time to try again.
const DECIDED_BY: f64 = 0.47;
/// How often it is looked at again from then on: what has lost its hope is told so, not held on to.
const LOOK_AGAIN: Time = 50_000;
/// How much longer than the queue before it says such a request is expected to wait: dearer ones come in.
const HOPE: f64 = 1.5;
/// Requests of mean size whose weight a first guess of this host's part of a volume has against what the
/// nodes tell of other hosts: the lead among hosts shifts within seconds.
const TRUST_UNITS: f64 = 8.0;
/// Part that the past keeps in the served units of a volume at each answer.
const KEEP_PART: f64 = 0.96;
/// Part of a second's reserve that the class of no worth would leave to the dearest: what is served
/// takes the best that is still due, so a cheap class must not use it up first.
const KEPT_FOR_DEARER: f64 = 0.6;
/// Volumes that nobody has asked for and nodes that have been gone for so long are forgotten.
const FORGOTTEN: Time = 60_000_000;
/// Entries of the agenda that one turn takes at most, so that no flood of them holds up what else is due.
const MOST_WAKES: usize = 256;
/// Heads of queues that one turn looks at, beside those that something has happened to.
const MOST_HEADS: usize = 256;
/// Requests that one turn sends or settles at most from its queues.
const MOST_SENDS: usize = 256;
/// How soon the next heads are looked at, where one turn does not look at all.
const NEXT_HEADS: Time = 5_000;
/// How soon a request is tried again that this host could not send, such as for want of a connection.
const SEND_AGAIN: Time = 10_000;
/// How soon a turn follows one that left something over to send.
const NEXT_TURN: Time = 500;
/// Safety margin on stores of limits and cold units, against rounding.
const MARGIN: f64 = 0.01;

/// What is known of a volume.
#[derive(Debug, Default)]
struct Volume {
    plan: usize,
    hosts: u32,
    limit: Bucket,
    /// Units of requests that wait for the limit.
    held: f64,
    reserve: Bucket,
    share: Bucket,
    /// Units served lately through this host, and through others at the nodes that answered.
    own: f64,
    other: f64,
    /// Units served through this host as waits.
    served: Pace,
}

/// The requests of an ordered key, and what of them is out.
#[derive(Debug, Default)]
struct Line {
    ids: VecDeque<RequestId>,
    out: u32,
    rest_until: Time,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
struct Request {
    class: usize,
    key: Option<String>,
    due: Time,
    aim: Time,
    volume: String,
    units: f64,
    shard: Option<ShardId>,
    value: f64,
    /// Part of its worth that it earns in time: all in the reserve, less in the share, least as spare.
    part: f64,
    tries: u32,
    /// Those of them for which this host had no connection.
    not_sent: u32,
    out: u32,
    /// Send, node and number of the first attempt that may have run.
    maybe: Option<(Time, NodeId, u32)>,
    rank: Option<Rank>,
    /// It has taken its units from its volume's limit.
    paid: bool,
    /// It waits until they are there.
    held: bool,
    late: bool,
    /// Half of its time is over, and it had hope.
    looked: bool,
    /// Some of its body is gone: it cannot be sent again.
    spent: bool,
}

/// What the agenda can hold.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Due(RequestId),
    Key(String),
    Limit(RequestId),
    Pump,
    List,
}

/// The first request of a queue, and which queue that is.
type Head = (Rank, Option<ShardId>);

/// The scheduler of one host.
#[derive(Debug, Default)]
pub struct Scheduler {
    set: Settings,
    seed: u64,
    started: Time,
    fleet: Fleet,
    requests: BTreeMap<RequestId, Request>,
    queues: BTreeMap<Option<ShardId>, Waiting>,
    /// The first of each queue, dearest first.
    heads: BTreeSet<Head>,
    /// The head at which the next turn goes on, where there are more than one turn looks at.
    resume: Option<Head>,
    /// Queues that something has happened to since the last turn.
    touched: BTreeSet<Option<ShardId>>,
    /// Shards whose best request found no room in this round of the heads.
    kept: BTreeSet<ShardId>,
    /// Nothing may be sent to any node.
    suspended: bool,
    overload: Overload,
    /// Entries of the agenda and heads of queues that were looked at.
    looks: u64,
    /// Requests refused because this host ran late.
    shed: u64,
    volumes: BTreeMap<String, Volume>,
    lines: BTreeMap<String, Line>,
    agenda: BTreeSet<(Time, Wake)>,
    armed: Option<Time>,
    taken: VecDeque<Time>,
    extra: VecDeque<Time>,
    forget_at: Time,
    /// The longest that a client of each class was ready to wait.
    longest: BTreeMap<usize, Time>,
    /// Units of reads within reserve or share taken since the start.
    asked: f64,
    /// Learned over all nodes.
    pace: Pace,
    /// This process's part of this host's limits, and since when: its stores began empty then.
    part: f64,
    limits_since: Time,
}

impl Scheduler {
    /// A scheduler that starts at `now` with nothing remembered.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.validate()?;
        let guess = Pace { waits: FIRST_GUESS * 1e-9, depths: 1e-9, at: now };
        let forget_at = now + FORGOTTEN;
        let fresh =
            Scheduler { set: settings, seed, started: now, limits_since: now, ..Scheduler::default() };
        Ok(Scheduler { forget_at, pace: guess, part: 1.0, ..fresh })
    }

    /// How many nodes and volumes it remembers.
    pub fn known(&self) -> (usize, usize) {
        (self.fleet.len(), self.volumes.len())
    }

    /// How many requests wait for a node.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Waiting::len).sum()
    }

    /// What a second run of a request of this class does, if there is such a class.
    pub fn effect(&self, class: usize) -> Option<Effect> {
        self.set.classes.get(class).map(|class| class.effect)
    }

    /// How many requests were refused since the start because this host ran late.
    pub fn shed(&self) -> u64 {
        self.shed
    }

    /// What was looked at since the start: nodes, places of the ring, entries of the agenda and heads of
    /// queues. It grows with what happens, not with the fleet, and is the same on any machine.
    pub fn work(&self) -> u64 {
        self.fleet.looks() + self.looks
    }

    /// Takes all events that are known at `now`, in their order, and appends what is to be done. Nothing is
    /// judged or sent before all are read: after a stall of this host the answers of a second come at once.
    pub fn handle(&mut self, now: Time, events: impl IntoIterator<Item = Event>, acts: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Nodes(kind, list) => self.list(now, kind, list, acts),
                Event::Request(arrival) => self.take(now, arrival, acts),
                Event::Outcome(outcome) => self.outcome(now, outcome, acts),
                Event::ClientGone(id) => self.finish(now, id, acts),
                Event::BodyProgress(id, due, spent) => {
                    let _ = self.requests.entry(id).and_modify(|r| (r.due, r.spent) = (due, spent));
                }
                Event::LimitShare(part) => {
                    self.refill(now);
                    (self.part, self.limits_since) = (part.clamp(1e-6, 1.0), now);
                }
                Event::Settings(set) => {
                    self.refill(now);
                    // A place that is given away knows nothing of what stood there before.
                    self.longest.retain(|place, _| self.set.classes.get(*place) == set.classes.get(*place));
                    self.set = *set;
                }
                Event::Suspended(suspended) => self.suspended = suspended,
                Event::AnswerAllBy(at) => self.end_by(at),
                Event::HostLateness(late) => self.overload.note(now, late),
                Event::Timer | Event::Probed(..) => {} // What is due stands in the agenda.
            }
        }
        self.run_agenda(now, acts);
        self.pump(now, acts);
        if now >= self.forget_at {
            self.forget_at = now + FORGOTTEN;
            self.forget(now);
        }
        if let Some((at, _)) = self.agenda.first() {
            if self.armed.is_none_or(|armed| *at < armed || armed <= now) {
                self.armed = Some(*at);
                acts.push(Action::Timer((*at - now).max(1)));
            }
        }
    }

    /// Whatever waits for longer than this is answered by then.
    fn end_by(&mut self, at: Time) {
        let late: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| request.due > at).map(|(id, _)| *id).collect();
        for id in late {
            self.requests.entry(id).and_modify(|request| request.due = at);
            self.agenda.insert((at - LAST_CALL, Wake::Due(id)));
        }
    }

    /// Brings every limit's store up to now, before the rate at which it fills changes.
    fn refill(&mut self, now: Time) {
        for v in self.volumes.values_mut() {
            let (limit, hosts) = (self.set.plans[v.plan].limit, f64::from(v.hosts) / self.part);
            let _ = limit.map(|l| v.limit.fill(now, l.rate / hosts, l.burst / hosts - MARGIN));
        }
    }

    /// Drops what is long past. Of a limit's store only a full one goes: it would be full anew.
    fn forget(&mut self, now: Time) {
        self.refill(now);
        let open: BTreeSet<&String> = self.requests.values().map(|r| &r.volume).collect();
        let (plans, part) = (&self.set.plans, self.part);
        self.volumes.retain(|name, v| {
            let most = plans[v.plan].limit.map_or(0.0, |l| l.burst * part / f64::from(v.hosts));
            now - v.reserve.at < FORGOTTEN || open.contains(name) || v.limit.level < most - 2.0 * MARGIN
        });
        let tried: BTreeSet<NodeId> = self.requests.values().filter_map(|r| r.maybe).map(|m| m.1).collect();
        self.fleet.retain(|n| {
            let gone = n.entry.state == NodeState::Gone && now - n.listed >= FORGOTTEN;
            !gone || !n.slots.is_empty() || tried.contains(&n.entry.node)
        });
    }

    /// A wait drawn evenly from three quarters to five quarters, so that hosts don't move in step.
    fn spread(&mut self, wait: Time) -> Time {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        wait * 3 / 4 + ((self.seed >> 33) as Time) % (wait / 2).max(1)
    }

    fn run_agenda(&mut self, now: Time, acts: &mut Vec<Action>) {
        for _ in 0..MOST_WAKES {
            if self.agenda.first().is_none_or(|(at, _)| *at > now) {
                return;
            }
            let Some((_, wake)) = self.agenda.pop_first() else { return };
            self.looks += 1;
            match wake {
                Wake::Due(id) => self.last_call(now, id, acts),
                Wake::Key(key) => self.advance(now, &key),
                Wake::Limit(id) => {
                    self.release(id);
                    self.enqueue(id);
                }
                Wake::List => acts.push(Action::Subscribe),
                Wake::Pump => {}
            }
        }
    }

    // ---- The list of nodes.

    fn list(&mut self, now: Time, kind: ListKind, list: Vec<NodeEntry>, acts: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let wait = self.spread(SECOND); // All hosts ask one discovery in turn.
            self.agenda.insert((now + wait, Wake::List));
            return;
        }
        acts.extend((kind == ListKind::Saved && self.set.list_on_request).then_some(Action::Subscribe));
        if kind != ListKind::Changes {
            let named: BTreeSet<NodeId> = list.iter().map(|e| e.node).collect();
            for missing in self.fleet.missing(&named) {
                self.enter(now, NodeEntry { state: NodeState::Gone, ..missing });
            }
        }
        let cold = |e: &NodeEntry| e.started.is_some_and(|started| now - started < self.set.warmup_time);
        let (named, cold) = (list.len(), list.iter().filter(|e| cold(e)).count());
        acts.extend((cold > 0).then(|| Action::Log(format!("{cold} nodes of {named} in a list are cold"))));
        for entry in list {
            self.enter(now, entry);
        }
    }

    /// Takes what a list says of one node.
    fn enter(&mut self, now: Time, entry: NodeEntry) {
        self.touched.insert(Some(entry.shard));
        let fresh = || Node { free_at: now, last_answer: now, ..Node::default() };
        let (node, before) = self.fleet.enter(entry, fresh);
        node.listed = now;
        let Some(before) = before else { return };
        if node.entry.started != before.started {
            node.turns = 0.0;
        }
        if (node.entry.started, node.entry.state) != (before.started, before.state) {
            (node.strikes, node.last_answer, node.free_at) = (0, now, now); // It is judged anew.
        }
    }

    /// The shortest time within which any class is wanted.
    fn tightest_aim(&self) -> Time {
        self.set.classes.iter().map(|c| c.aim).min().unwrap_or(SECOND)
    }

    // ---- Taking a request.

    fn take(&mut self, now: Time, a: Arrival, acts: &mut Vec<Action>) {
        self.taken.push_back(now);
        if a.class >= self.set.classes.len()
            || a.plan >= self.set.plans.len()
            || self.requests.contains_key(&a.id)
        {
            return; // The adapter names only classes and plans of the settings, and each number once.
        }
        if let Some(wait) = self.overload.refuses(now, self.tightest_aim()) {
            // Nothing has been sent of it yet: refusing is harmless now, and may not be later.
            self.shed += 1;
            acts.push(Action::Refuse(a.id, wait.clamp(0, self.set.max_retry_after), Reason::HostLate));
            return;
        }
        let class = &self.set.classes[a.class];
        // The longest time that clients of a class leave tells when this one first asked: it may come from
        // a backlog, or again. One that leaves less than the aim is in a hurry.
        let left = a.due - now;
        let longest = self.longest.entry(a.class).or_insert(left);
        *longest = left.max(*longest);
        let aim = if left <= class.aim { now + class.aim } else { a.due - *longest + class.aim };
        let worth = class.value * self.set.plans[a.plan].price;
        let part = self.due_part(now, &a);
        let request = Request {
            class: a.class,
            key: a.key,
            due: a.due,
            aim,
            volume: a.volume,
            units: a.units.max(0.0),
            shard: a.shard,
            value: worth * part,
            part,
            late: aim <= now,
            ..Request::default()
        };
        if request.shard.is_some() && part > self.set.spare_value {
            self.asked += request.units;
        }
        let line = request.key.clone().filter(|_| self.set.classes[a.class].ordered);
        let half = now + (left as f64 * DECIDED_BY) as Time;
        self.agenda.insert((half.min(a.due - LAST_CALL).max(now), Wake::Due(a.id)));
        self.requests.insert(a.id, request);
        match line {
            Some(key) => {
                self.lines.entry(key.clone()).or_default().ids.push_back(a.id);
                self.advance(now, &key);
            }
            None => self.enqueue(a.id),
        }
    }

    /// Part of its worth that a request earns if served in time: inside the volume's reserve, inside its
    /// share, or spare. This host's part of both is what it served of the volume lately, where nodes tell
    /// what they serve through others; else a guess between an even part and all of it.
    fn due_part(&mut self, now: Time, a: &Arrival) -> f64 {
        let plan = &self.set.plans[a.plan];
        let hosts = a.volume_hosts.clamp(1, self.set.hosts.max(1));
        let size: f64 = self.set.plans.iter().map(|p| p.rate).sum();
        let weights: f64 = self.set.plans.iter().map(|p| p.weight).sum();
        let prior = TRUST_UNITS * self.set.mean_units;
        let (own, other) = self.volumes.get(&a.volume).map_or((0.0, 0.0), |v| (v.own, v.other));
        let part = (own + prior) / (own + other + prior * f64::from(hosts).sqrt());
        let (reserve, share) = (plan.reserve * part, plan.weight * size / weights.max(1e-9) * part);
        let since = self.limits_since;
        let slack = plan.limit.filter(|_| since == self.started).map_or(0.0, |l| l.slack);
        let volume = self.volumes.entry(a.volume.clone()).or_insert_with(|| Volume {
            plan: a.plan,
            hosts,
            limit: Bucket { level: slack / f64::from(hosts), at: since },
            reserve: Bucket { level: reserve, at: now },
            share: Bucket { level: share, at: now },
            ..Volume::default()
        });
        (volume.plan, volume.hosts) = (a.plan, volume.hosts.max(hosts));
        let most = self.set.max_units;
        let best = self.set.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        let left = (1.0 - self.set.classes[a.class].value / best) * KEPT_FOR_DEARER;
        if volume.reserve.fill(now, reserve, reserve + most) >= a.units + left * reserve && reserve > 0.0 {
            volume.reserve.level -= a.units;
            1.0
        } else if volume.share.fill(now, share, share + most) >= a.units {
            volume.share.level -= a.units;
            self.set.share_value
        } else {
            self.set.spare_value
        }
    }

    /// Lets the first request of an ordered key into its queue when nothing before it is unfinished.
    fn advance(&mut self, now: Time, key: &str) {
        let Some(line) = self.lines.get(key) else { return };
        let head = line.ids.front().copied();
        let started = |id| self.requests.get(&id).is_some_and(|r| r.tries > 0 || r.rank.is_some());
        if line.out > 0 || head.is_some_and(started) {
            return;
        }
        if line.rest_until > now {
            self.agenda.insert((line.rest_until, Wake::Key(key.to_string())));
            return;
        }
        match head {
            Some(head) => self.enqueue(head),
            None => drop(self.lines.remove(key)),
        }
    }

    /// Puts a request into the queue of its shard or of the new objects.
    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.held) else { return };
        let late = if request.late { self.set.classes[request.class].late_value } else { 1.0 };
        let by = if request.late { request.due } else { request.aim };
        let rank = (Reverse((request.value * late * 1e6).max(0.0) as u64), by, id);
        request.rank = Some(rank);
        let (shard, units) = (request.shard, request.units);
        let queue = self.queues.entry(shard).or_default();
        let before = queue.first();
        queue.insert(rank, units);
        let after = queue.first();
        self.moved(shard, before, after);
    }

    /// Keeps the heads as the queues have them, after the first of a queue has changed.
    fn moved(&mut self, shard: Option<ShardId>, before: Option<Rank>, after: Option<Rank>) {
        self.touched.insert(shard);
        if before == after {
            return;
        }
        let _ = before.is_some_and(|rank| self.heads.remove(&(rank, shard)));
        let _ = after.is_some_and(|rank| self.heads.insert((rank, shard)));
    }

    fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let shard = request.shard;
        let (Some(rank), Some(queue)) = (request.rank.take(), self.queues.get_mut(&shard)) else { return };
        let before = queue.first();
        queue.remove(&rank);
        let after = queue.first();
        if queue.is_empty() {
            self.queues.remove(&shard);
        }
        self.moved(shard, before, after);
    }

    // ---- Sending.

    /// Sends what may go, dearest first whether new or read. The room of a node whose best read finds none is
    /// not for what is worth less. Harm: reads that wait for a slow node keep new objects away from it.
    fn pump(&mut self, now: Time, acts: &mut Vec<Action>) {
        let mut heads = self.round();
        if self.suspended {
            return;
        }
        let mut sent = 0;
        while let Some((_, shard)) = heads.pop_first() {
            self.looks += 1;
            if sent == MOST_SENDS {
                // The rest goes in the next turn, after whatever else is due.
                self.touched.insert(shard);
                self.agenda.insert((now + NEXT_TURN, Wake::Pump));
                return;
            }
            match self.send_head(now, shard, acts) {
                true => {
                    sent += 1;
                    heads.extend(self.head(shard));
                }
                false => self.kept.extend(shard),
            }
        }
        // What one turn could not look at goes on in the next one.
        if self.resume.is_some() {
            self.agenda.insert((now + NEXT_HEADS, Wake::Pump));
        }
    }

    fn head(&self, shard: Option<ShardId>) -> Option<Head> {
        Some((self.queues.get(&shard)?.first()?, shard))
    }

    /// The heads that this turn looks at: all where they are few; else those that something has happened
    /// to, and the next of a round over all.
    fn round(&mut self) -> BTreeSet<Head> {
        let touched = std::mem::take(&mut self.touched);
        let begin = self.resume.take();
        if begin.is_none() {
            self.kept.clear();
        }
        let mut rest = match begin {
            Some(head) => self.heads.range(head..),
            None => self.heads.range(..),
        };
        let mut heads: BTreeSet<Head> = rest.by_ref().take(MOST_HEADS).copied().collect();
        self.resume = rest.next().copied();
        heads.extend(touched.into_iter().chain([None]).filter_map(|shard| self.head(shard)));
        heads
    }

    /// The design: of the key's group, the member whose book frees earliest among those with room; of equals
    /// the first by the key, so that keys spread though most books are empty.
    fn choose(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) -> Option<NodeId> {
        let group = self.fleet.group(self.requests.get(&id)?.key.as_deref().unwrap_or(""));
        for node in &group {
            self.judge(now, *node, acts);
        }
        let (average, request) = (self.average(), self.requests.get(&id)?);
        group
            .iter()
            .filter_map(|node| self.fleet.get(*node))
            .filter(|n| !n.unwell && !self.kept.contains(&n.entry.shard) && self.room(now, n, request))
            .min_by_key(|n| {
                let own = request.units * n.per_unit(now, average);
                (n.faulty(now), n.frees(now, average) + own as Time)
            })
            .map(|n| n.entry.node)
    }

    /// Sends the first request that waits for a shard, or of the new objects; false when it finds no room.
    fn send_head(&mut self, now: Time, shard: Option<ShardId>, acts: &mut Vec<Action>) -> bool {
        let Some((_, _, id)) = self.queues.get(&shard).and_then(Waiting::first) else { return false };
        let node = match shard {
            Some(shard) => self.fleet.holder(shard),
            None => self.choose(now, id, acts),
        };
        let Some(node) = node else { return false };
        self.judge(now, node, acts);
        if !self.turned_late(now, id, node, acts) {
            let (Some(at), Some(request)) = (self.fleet.get(node), self.requests.get(&id)) else {
                return false;
            };
            if !self.room(now, at, request) {
                return false;
            }
            if self.gate(now, id, node, acts) {
                self.send(now, id, node, acts);
            }
        }
        true
    }

    /// Ranks a request anew that can no longer make its aim at this node, and answers one that would not be
    /// served before its client gives up: sent all the same, it would only take the place of others.
    fn turned_late(&mut self, now: Time, id: RequestId, node: NodeId, acts: &mut Vec<Action>) -> bool {
        let average = self.average();
        let Some(node) = self.fleet.get(node).filter(|n| !n.unwell) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let done = now + (node.per_unit(now, average) * (node.units_out * 0.5 + request.units)) as Time;
        if done > request.due {
            self.give_up(now, id, Reason::OutOfTime, acts);
            return true;
        }
        if request.late || done <= request.aim {
            return false;
        }
        request.late = true;
        self.dequeue(id);
        self.enqueue(id);
        true
    }

    /// Whether a request may go to a node now. What is worth less needs a quicker node: work in its volume's
    /// share, and more so spare and late work, goes without the floor where the node is slow, and late work
    /// is no reason to use an idle one, since other hosts' better work would wait behind it. Guards against
    /// jams made by all hosts together; stale learning could make it wait.
    fn room(&self, now: Time, node: &Node, request: &Request) -> bool {
        let (set, units) = (&self.set, request.units);
        if !self.cold_room(now, node, request) {
            return false;
        }
        if node.unwell {
            return now >= node.next_trial && node.slots.len() < CEILING;
        }
        let aim = self.tightest_aim() as f64;
        let poor = request.late || request.part <= set.spare_value;
        let bound = aim * PART_OF_AIM / node.per_unit(now, self.average());
        let eased = bound * if poor { 1.0 } else { SHARE_EASE };
        let below = |bound: f64| node.slots.len() < CEILING && node.units_out + units <= bound;
        let quick = !request.late && eased >= set.mean_units;
        if !poor && (quick || request.part >= 1.0) {
            return node.slots.is_empty() || below(bound.max(FLOOR_REQUESTS * set.mean_units));
        }
        let unheard = poor && now - node.last_answer > SECOND * Time::from(set.hosts);
        (node.slots.is_empty() && (quick || unheard)) || below(eased)
    }

    /// This host's even part of what a node that has just started bears in a window; a former life may have
    /// used that of the first. Below a mean request the best work goes by turns. Harm: a turn goes unused.
    fn cold_room(&self, now: Time, node: &Node, request: &Request) -> bool {
        let Some(started) = node.entry.started else { return true };
        let (set, age) = (&self.set, now - started);
        let warm = age >= set.warmup_time + set.cold_window;
        if warm || (started <= self.started && now - self.started <= set.cold_window) {
            return warm;
        }
        let part = self.borne(now, node).0 / f64::from(set.hosts);
        if part < set.mean_units {
            let best = request.shard.is_some() && !request.late && request.part > set.spare_value;
            return best && self.turn(now, node) > node.turns;
        }
        let sent: f64 = node.recent.iter().filter(|(t, _)| *t >= now - set.cold_window).map(|(_, u)| u).sum();
        sent + request.units <= part - MARGIN
    }

    /// Units that a cold node bears in a window: what is told for the smallest, more by size, growing as
    /// slowly as the settings let it warm up; and the turns of a mean request that makes since its start.
    fn borne(&self, now: Time, node: &Node) -> (f64, f64) {
        let (set, age) = (&self.set, (now - node.entry.started.unwrap_or(now)).max(0));
        let (window, cold) = (set.cold_window.max(1) as f64, set.warmup_time.max(1) as f64);
        let grows = 1.0 / set.cold_fraction.clamp(0.001, 1.0) - 1.0;
        let proven = ((age - set.cold_window).max(0) as f64 / cold).min(1.0);
        let least = self.fleet.least_size();
        let units = set.cold_units * f64::from(node.entry.size.max(least)) / f64::from(least);
        let windows = (age as f64 + grows * proven * proven * cold / 2.0) / window;
        (units * (1.0 + grows * proven), units * windows / set.mean_units)
    }

    /// The last turn of this host at a cold node, which hosts take by their numbers; below 0 if it is no
    /// longer good. A window with N turns of its own sees N + 2 sqrt N + 2 at most; only where hosts ask too
    /// little to use theirs is a turn good for longer, until two in three would have been used.
    fn turn(&self, now: Time, node: &Node) -> f64 {
        let ((units, given), set) = (self.borne(now, node), &self.set);
        let (calls, hosts) = (units / set.mean_units, f64::from(set.hosts));
        let place = hash("", node.entry.node).wrapping_add(u64::from(set.number)) % u64::from(set.hosts);
        let turn = 1.0 + place as f64 + ((given - 1.0 - place as f64) / hosts).floor() * hosts;
        let windows = ((now - self.started) as f64 / set.cold_window.max(1) as f64).max(0.1);
        let usual = (self.asked / set.mean_units / self.fleet.len().max(1) as f64 + 1.0) / windows;
        let good = (calls / usual).max(2.0 * calls.sqrt() + 1.0);
        if given - turn <= good {
            turn
        } else {
            -1.0
        }
    }

    /// Whether the rules let a request go to a node now; if not, it leaves the queue for where it waits.
    fn gate(&mut self, now: Time, id: RequestId, node: NodeId, acts: &mut Vec<Action>) -> bool {
        let within_budget = self.budget(now);
        let Some(request) = self.requests.get(&id) else { return false };
        if request.tries > 0 && !(within_budget && self.may_repeat(now, request, node)) {
            let reason = if within_budget { Reason::NotRepeatable } else { Reason::RetriesSpent };
            self.give_up(now, id, reason, acts);
            return false;
        }
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return true };
        let unpaid = !request.paid;
        let Some(limit) = self.set.plans[volume.plan].limit.filter(|_| unpaid) else { return true };
        let hosts = f64::from(volume.hosts) / self.part;
        let level = volume.limit.fill(now, limit.rate / hosts, limit.burst / hosts - MARGIN);
        if level >= request.units {
            volume.limit.level -= request.units;
            if let Some(request) = self.requests.get_mut(&id) {
                request.paid = true;
            }
            return true;
        }
        let short = volume.held + request.units - level;
        let wait = ((short / limit.rate * hosts * SECOND as f64) as Time).max(1000);
        // Beyond the limit nothing is earned: wait for the store, or be told when to come back.
        if now + wait > request.aim || request.units > limit.burst / hosts - MARGIN {
            self.answer(now, id, wait, Reason::OverLimit, acts);
            return false;
        }
        volume.held += request.units;
        if let Some(request) = self.requests.get_mut(&id) {
            request.held = true;
        }
        self.dequeue(id);
        self.agenda.insert((now + wait, Wake::Limit(id)));
        false
    }

    /// Ends the wait of a request for its volume's limit.
    fn release(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.held) else { return };
        request.held = false;
        if let Some(volume) = self.volumes.get_mut(&request.volume) {
            volume.held = (volume.held - request.units).max(0.0);
        }
    }

    fn may_repeat(&self, now: Time, request: &Request, node: NodeId) -> bool {
        let class = &self.set.classes[request.class];
        if request.spent || request.tries - request.not_sent >= class.attempts || request.out > 0 {
            return false;
        }
        let Some((sent, first, _)) = request.maybe else { return true };
        let (Some(a), Some(b)) = (self.fleet.get(first), self.fleet.get(node)) else { return false };
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(_) if now >= sent + class.window => false,
            Effect::Keyed(Group::All) => true,
            Effect::Keyed(Group::Zone) => a.entry.zone == b.entry.zone,
            Effect::Keyed(Group::Shard) => a.entry.shard == b.entry.shard,
        }
    }

    /// Whether the budget allows one more attempt beyond a first one.
    fn budget(&mut self, now: Time) -> bool {
        let span = self.set.budget.map_or(0, |b| b.span);
        while self.taken.front().is_some_and(|t| *t <= now - span) {
            self.taken.pop_front();
        }
        while self.extra.front().is_some_and(|t| *t < now - span) {
            self.extra.pop_front();
        }
        let (extra, taken) = (self.extra.len() as f64, self.taken.len() as f64);
        self.set.budget.is_none_or(|b| extra + 1.0 <= b.free + b.share * taken)
    }

    fn send(&mut self, now: Time, id: RequestId, to: NodeId, acts: &mut Vec<Action>) {
        self.dequeue(id);
        let average = self.average();
        let turn = self.fleet.get(to).map_or(0.0, |node| self.turn(now, node));
        let (Some(request), Some(node)) = (self.requests.get_mut(&id), self.fleet.get_mut(to)) else {
            return;
        };
        // A dear one uses up further turns.
        let more = (request.units / self.set.mean_units).round().max(1.0) - 1.0;
        node.turns = node.turns.max(turn + 0.5 + more * f64::from(self.set.hosts));
        let attempt = request.tries;
        if attempt > 0 {
            self.extra.push_back(now);
        }
        request.tries += 1;
        request.out += 1;
        // Within the window of the first that may have run.
        let class = &self.set.classes[request.class];
        let keyed = request.maybe.filter(|_| matches!(class.effect, Effect::Keyed(_)));
        let begin_by = keyed.map_or(request.due, |(first, ..)| first + class.window);
        request.maybe = request.maybe.or(Some((now, to, attempt)));
        let ordered_key = request.key.clone().filter(|_| self.set.classes[request.class].ordered);
        if let Some(line) = ordered_key.as_ref().and_then(|k| self.lines.get_mut(k)) {
            line.out += 1;
        }
        node.book(now, (id, attempt), request.units, ordered_key, average);
        let window = self.set.cold_window;
        node.recent.push_back((now, request.units));
        while node.recent.front().is_some_and(|(t, _)| *t < now - window) {
            node.recent.pop_front();
        }
        if node.unwell {
            node.next_trial = now + TRIAL;
            self.agenda.insert((node.next_trial, Wake::Pump));
        }
        acts.push(Action::Send { id, node: to, begin_by, until: request.due });
    }

    // ---- Outcomes and answers.

    fn outcome(&mut self, now: Time, o: Outcome, acts: &mut Vec<Action>) {
        let average = self.average();
        let mut key = None;
        if let Some(node) = self.fleet.get_mut(o.node) {
            self.touched.insert(Some(node.entry.shard));
            let Some(slot) = node.settle(now, (o.id, o.attempt)) else { return };
            node.learn(now, &o, &slot, average, &mut self.pace);
            key = slot.key;
        }
        if let Some(line) = key.as_ref().and_then(|k| self.lines.get_mut(k)) {
            line.out = line.out.saturating_sub(1);
            if matches!(o.ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
                line.rest_until = now + self.set.key_cooldown;
            }
        }
        self.judge(now, o.node, acts);
        let never_ran = {
            use Ending::*;
            matches!(o.ending, Full | Unreachable | NotSent | NoLink)
        };
        if let Some(request) = self.requests.get_mut(&o.id) {
            request.out = request.out.saturating_sub(1);
            request.not_sent += u32::from(o.ending == Ending::NoLink);
            let own = if o.ending == Ending::Served { request.units } else { 0.0 };
            let set = &self.set;
            let told = |_: &&mut Volume| set.reports_elsewhere || o.volume_use.is_some();
            if let Some(volume) = self.volumes.get_mut(&request.volume).filter(told) {
                volume.served.add(now, own, 1.0);
                let mut other = o.served_elsewhere.max(0.0);
                if !set.reports_elsewhere {
                    // Only what all hosts together were served is told: what goes beyond this one's own.
                    let rate = volume.served.faded(now).0 / MEMORY * SECOND as f64;
                    let all = o.volume_use.unwrap_or(0.0) * set.plans[volume.plan].rate;
                    other = own * (all / rate.max(1e-9) - 1.0).max(0.0);
                }
                volume.own = volume.own * KEEP_PART + own;
                volume.other = volume.other * KEEP_PART + other;
            }
            // Whatever went before it never ran either, or that would be the first that may have.
            if never_ran && request.maybe.is_some_and(|m| m.2 == o.attempt) {
                request.maybe = None;
            }
            if o.closed {
                self.finish(now, o.id, acts);
            } else if now + LAST_CALL >= self.requests[&o.id].due {
                self.give_up(now, o.id, Reason::OutOfTime, acts);
            } else {
                // The gate asks again when there is room.
                match self.may_repeat(now, &self.requests[&o.id], o.node) {
                    // It would meet the same at once.
                    true if o.ending == Ending::NoLink => {
                        self.agenda.insert((now + SEND_AGAIN, Wake::Limit(o.id)));
                    }
                    true => self.enqueue(o.id),
                    false => self.give_up(now, o.id, Reason::NotRepeatable, acts),
                }
            }
        }
        if let Some(key) = key {
            self.advance(now, &key);
        }
    }

    /// Answers a held request as soon as it has no hope left, from half of its time on, and any other when
    /// its client gives up.
    fn last_call(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let last = request.due - LAST_CALL;
        if now < last && (request.out > 0 || self.hopeful(now, request)) {
            self.requests.entry(id).and_modify(|r| r.looked = true);
            // The more wait, the more seldom each is looked at.
            let rest = LOOK_AGAIN * (1 + (self.requests.len() / MOST_WAKES) as Time);
            self.agenda.insert((last.min(now + rest), Wake::Due(id)));
        } else if request.out > 0 && now < request.due {
            self.agenda.insert((request.due, Wake::Due(id)));
        } else {
            self.give_up(now, id, Reason::OutOfTime, acts);
        }
    }

    /// Whether a held request would still be served in time if it waited its turn at the best node for it.
    fn hopeful(&self, now: Time, request: &Request) -> bool {
        let (Some(rank), Some(queue)) = (request.rank, self.queues.get(&request.shard)) else { return true };
        if self.suspended {
            return false;
        }
        let (group, of) = match request.shard {
            Some(shard) => (self.fleet.holder(shard).into_iter().collect(), 1),
            None => (self.fleet.group(request.key.as_deref().unwrap_or("")), self.fleet.up()),
        };
        // Where hosts outnumber nodes, waiting for one that nothing of this host is out at brings no news.
        let few = self.fleet.up() >= self.set.hosts as usize;
        let idle = |n: &&Node| few || !n.slots.is_empty() || self.room(now, n, request);
        let fit = |n: &&Node| !n.unwell && self.cold_room(now, n, request) && idle(n);
        let nodes: Vec<&Node> = group.iter().filter_map(|id| self.fleet.get(*id)).filter(fit).collect();
        // The group stands for all nodes, which share what waits before this one.
        let serving = (nodes.len() * of) as f64 / group.len().max(1) as f64;
        let units = queue.units_before(&rank) / serving.max(1.0) + request.units;
        let (average, hope) = (self.average(), if request.looked { 1.0 } else { HOPE });
        let done = |n: &&Node| now + (n.per_unit(now, average) * (n.units_out + units) * hope) as Time;
        nodes.iter().any(|n| done(n) <= request.due)
    }

    /// Answers a request that would come too late, with the wait for what is queued before it as advice.
    fn give_up(&mut self, now: Time, id: RequestId, reason: Reason, acts: &mut Vec<Action>) {
        let shard = self.requests.get(&id).and_then(|r| r.shard);
        let queued = self.queues.get(&shard).map_or(0, Waiting::len) as f64 * self.set.mean_units;
        let node = shard.and_then(|s| self.fleet.holder(s)).and_then(|n| self.fleet.get(n));
        let per_unit = node.map_or(self.average(), |n| n.per_unit(now, self.average()));
        self.answer(now, id, (queued * per_unit) as Time, reason, acts);
    }

    /// The final answer of a request that will not be served: refused where that is true, else failed.
    fn answer(&mut self, now: Time, id: RequestId, wait: Time, reason: Reason, acts: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let effect = self.set.classes[request.class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
        acts.push(match harmless || request.maybe.is_none() {
            true => Action::Refuse(id, wait.clamp(0, self.set.max_retry_after), reason),
            false => Action::Fail(id, reason),
        });
        self.finish(now, id, acts);
    }

    /// Forgets a request that has its final answer, and withdraws what nobody waits for any more.
    fn finish(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        self.dequeue(id);
        self.release(id);
        let Some(request) = self.requests.remove(&id) else { return };
        if request.out > 0 && self.set.cancel {
            acts.extend((0..request.tries).map(|attempt| Action::Cancel(id, attempt)));
        }
        let Some(key) = request.key.filter(|_| self.set.classes[request.class].ordered) else { return };
        if let Some(line) = self.lines.get_mut(&key) {
            line.ids.retain(|i| *i != id);
        }
        self.advance(now, &key);
    }

    // ---- Health.

    /// Mean time per unit over all nodes.
    fn average(&self) -> f64 {
        self.pace.waits / self.pace.depths
    }

    /// Judges a node by its answers. Guards against hangs and cut links: an unwell node gets no new objects
    /// and one trial at a time, until it answers again. One that returns errors is not shut out like that:
    /// nobody else holds its shard, an error costs little and comes at once, and the next may be served.
    fn judge(&mut self, now: Time, id: NodeId, acts: &mut Vec<Action>) {
        let average = self.average();
        let Some(node) = self.fleet.get_mut(id) else { return };
        let silent = node.silent(now, average);
        let unwell = silent || node.strikes >= STRIKES;
        if unwell == node.unwell {
            return;
        }
        node.unwell = unwell;
        if unwell {
            node.next_trial = now + TRIAL;
            self.agenda.insert((node.next_trial, Wake::Pump));
        }
        let state =
            ["well again", "unwell: failing", "unwell: silent"][usize::from(unwell) + usize::from(silent)];
        acts.push(Action::Log(format!("node {id} {state}, {} out", node.slots.len())));
    }
}
