//! All decisions of the scheduler. The types of its events, actions and settings are in `src/interface.rs`.
//!
//! Path of a request: `accept` ranks it by the value per unit that it can still earn, and puts it into the
//! queue of its shard or the queue of new objects; a request with an ordered key first waits in its
//! `KeyQueue`. After all events of a turn are read, `dispatch` sends requests. A request for a shard goes to
//! the node that holds the shard, and a new object to the node of its key's group that is projected to be
//! free earliest (`choose_node`). The node must have capacity (`has_capacity`: load bound, cold start,
//! health) and the rules must allow the send (`may_send`: limit of the volume, effect of the class, retry
//! budget). `outcome` updates the node's book and time per unit, and then finishes, requeues or rejects the
//! request.

mod fleet;
mod node;
mod overload;
mod volumes;
mod waiting;

use crate::interface::*;
use fleet::{hash, Fleet};
use node::{Bucket, DecayingMean, Node, DECAY_TIME_US, SECOND, STRIKE_LIMIT};
use overload::Overload;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use volumes::{Volume, Volumes};
use waiting::{Rank, RankedQueue};

/// Fraction of the tightest aim that the units in flight at a node may take to serve. The rest is left for
/// the requests that other hosts have queued there, and for pauses of the node.
const AIM_FRACTION: f64 = 0.35;
/// Factor on the load bound for requests within the share: a node counts as fast enough for them if a request
/// of mean size fits within the bound times this factor.
const SHARE_BOUND_FACTOR: f64 = 1.5;
/// Minimum of the load bound, in requests of mean size: a lower bound would leave cores of a node idle.
const MIN_BOUND_REQUESTS: f64 = 4.0;
/// Maximum number of attempts in flight at one node, a ceiling that the design sets.
const MAX_IN_FLIGHT: usize = 32;
/// Time per unit, in microseconds, that is assumed until a node has served a request; the first answers
/// replace it.
const INITIAL_TIME_PER_UNIT_US: f64 = 20_000.0;
/// Interval between trial requests to an unhealthy node: its recovery is noticed after at most this time.
const TRIAL_INTERVAL: Time = 500_000;
/// Time before its deadline at which a waiting request is rejected: no node serves a request in less time.
const ANSWER_MARGIN: Time = 30_000;
/// Fraction of the time until its deadline after which a waiting request is rejected unless it is expected to
/// be served in time: a client that is rejected late has no time left to try again.
const RECHECK_FROM: f64 = 0.47;
/// Interval at which such a request is checked again, so that it is rejected soon after it can no longer be
/// served in time.
const RECHECK_INTERVAL: Time = 50_000;
/// Factor on the estimated wait at the first of these checks: requests of higher value still arrive and go
/// first.
const FIRST_CHECK_FACTOR: f64 = 1.5;
/// Weight, in requests of mean size, of the initial estimate of this host's part of a volume's traffic
/// against what nodes report about other hosts. It is small, since the traffic moves between hosts within
/// seconds.
const PRIOR_REQUESTS: f64 = 8.0;
/// Factor by which earlier served units of a volume decay at each answer.
const SERVED_DECAY: f64 = 0.96;
/// Fraction of one second's reserve that a class of no value must leave for the class of the highest value.
/// Requests take the reserve as they arrive, so a class of low value must not use it up first.
const RESERVE_HELD_BACK: f64 = 0.6;
/// Time after which volumes without requests and nodes that are gone are forgotten.
const RETENTION: Time = 60_000_000;
/// Maximum number of agenda entries that one turn processes, so that many entries do not delay other work.
const MAX_ENTRIES_PER_TURN: usize = 256;
/// Maximum number of queue heads that one turn inspects, in addition to the heads of changed queues.
const MAX_HEADS_PER_TURN: usize = 256;
/// Maximum number of queued requests that one turn sends or rejects.
const MAX_SENDS_PER_TURN: usize = 256;
/// Delay until the next turn when one turn could not inspect all queue heads.
const NEXT_HEADS_DELAY: Time = 5_000;
/// Delay before a request is retried that this host could not send for lack of a connection.
const RESEND_DELAY: Time = 10_000;
/// Delay until the next turn when one turn reached its maximum number of sends.
const NEXT_TURN_DELAY: Time = 500;
/// Advised delay for a request of a volume that finds no room among those that are kept, in microseconds.
const NO_ROOM_DELAY: Time = 100_000;
/// Number of entries that the arrivals within the window of the retry budget are counted in.
const ARRIVAL_SLOTS: Time = 256;
/// Margin, in units, on limit buckets and on the load of cold nodes, against rounding errors.
const MARGIN: f64 = 0.01;

/// The open requests of an ordered key, in order of arrival.
#[derive(Debug, Default)]
struct KeyQueue {
    ids: VecDeque<RequestId>,
    /// Number of attempts in flight.
    in_flight: u32,
    /// No request of the key is sent before this time.
    paused_until: Time,
}

/// A request that has no final answer yet.
#[derive(Debug, Default)]
struct Request {
    class: usize,
    key: Option<String>,
    due: Time,
    /// Time until which an answer earns the full value.
    aim: Time,
    volume: String,
    units: f64,
    shard: Option<ShardId>,
    value: f64,
    /// Fraction of its value that a request earns in time: 1 within the reserve, less within the share, least
    /// as spare.
    value_fraction: f64,
    attempts: u32,
    /// Number of attempts for which this host had no connection.
    unsent: u32,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Send time, node and index of the first attempt that may have run.
    may_have_run: Option<(Time, NodeId, u32)>,
    /// Rank in its queue while the request is queued.
    rank: Option<Rank>,
    /// Whether its units have been taken from the volume's limit.
    paid: bool,
    /// Whether the request waits until the volume's limit allows it.
    held: bool,
    /// Whether the request can no longer meet its aim.
    late: bool,
    /// Whether the request has passed the check of [`RECHECK_FROM`] once.
    rechecked: bool,
    /// Whether part of the body has been discarded, so that the request cannot be sent again.
    body_discarded: bool,
    /// Time of its [`AgendaEntry::Deadline`].
    check_at: Option<Time>,
    /// Time of its [`AgendaEntry::Requeue`].
    requeue_at: Option<Time>,
}

/// An entry of the agenda.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum AgendaEntry {
    /// Check whether a request can still be served before its deadline.
    Deadline(RequestId),
    /// Continue with the requests of an ordered key after its pause.
    Key(String),
    /// Requeue a request that waited for its volume's limit or for a connection.
    Requeue(RequestId),
    /// Run `dispatch` again.
    Dispatch,
    /// Subscribe to the node list again.
    Subscribe,
}

/// The rank of the first request of a queue, and the shard of the queue (`None`: new objects).
type Head = (Rank, Option<ShardId>);

/// The scheduler of one host.
#[derive(Debug, Default)]
pub struct Scheduler {
    settings: Settings,
    seed: u64,
    started: Time,
    fleet: Fleet,
    requests: BTreeMap<RequestId, Request>,
    /// Waiting requests by shard; `None` is the queue of new objects.
    queues: BTreeMap<Option<ShardId>, RankedQueue>,
    /// The head of each queue, in rank order.
    heads: BTreeSet<Head>,
    /// The head at which the next turn continues, if one turn could not inspect all heads.
    resume: Option<Head>,
    /// Queues that may have become sendable since the last turn.
    changed: BTreeSet<Option<ShardId>>,
    /// Shards whose first request found no capacity in this pass over the heads.
    blocked: BTreeSet<ShardId>,
    /// Whether sending to nodes is suspended.
    suspended: bool,
    overload: Overload,
    /// Number of agenda entries and queue heads inspected so far.
    inspections: u64,
    /// Number of requests refused because this host was overloaded.
    shed: u64,
    volumes: Volumes,
    /// Open requests by ordered key.
    key_queues: BTreeMap<String, KeyQueue>,
    /// Work to do at later times.
    agenda: BTreeSet<(Time, AgendaEntry)>,
    /// Time for which the last timer was requested.
    armed: Option<Time>,
    /// Arrivals within the window of the retry budget: when the first of a slot came, and their number.
    arrivals: VecDeque<(Time, u64)>,
    /// Number of `arrivals`.
    recent_arrivals: u64,
    /// Send times of retries within the window of the retry budget.
    retries: VecDeque<Time>,
    forget_at: Time,
    /// Longest time until the deadline that a request of each class had on arrival.
    longest: BTreeMap<usize, Time>,
    /// Units of the requests for shards within reserve or share accepted since the start.
    shard_units: f64,
    /// Time per unit over all nodes.
    unit_time: DecayingMean,
    /// Fraction of this host's limits that this process may spend.
    limit_share: f64,
    /// When `limit_share` was last set; limit buckets created later start empty as of then.
    limits_since: Time,
}

impl Scheduler {
    /// Creates a scheduler at `now` that knows no nodes or volumes.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        settings.validate()?;
        let initial = DecayingMean { sum: INITIAL_TIME_PER_UNIT_US * 1e-9, weight: 1e-9, at: now };
        let forget_at = now + RETENTION;
        let fresh = Scheduler { settings, seed, started: now, limits_since: now, ..Scheduler::default() };
        Ok(Scheduler { forget_at, unit_time: initial, limit_share: 1.0, ..fresh })
    }

    /// Limits the number of volumes that state is kept of.
    pub fn set_volume_limit(&mut self, most: usize) {
        self.volumes.set_limit(most);
    }

    /// Returns the number of known nodes and volumes.
    pub fn known(&self) -> (usize, usize) {
        (self.fleet.len(), self.volumes.len())
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(RankedQueue::len).sum()
    }

    /// Returns the effect of running a request of this class again, or `None` if there is no such class.
    pub fn effect(&self, class: usize) -> Option<Effect> {
        self.settings.classes.get(class).map(|class| class.effect)
    }

    /// Returns the number of requests refused since the start because this host was overloaded.
    pub fn shed(&self) -> u64 {
        self.shed
    }

    /// Returns the number of inspections since the start, of nodes, ring points, agenda entries and queue
    /// heads. It is a machine-independent measure of work, which grows with the number of events and not with
    /// the number of nodes.
    pub fn work(&self) -> u64 {
        self.fleet.inspections() + self.inspections
    }

    /// Processes all events that are known at `now`, in order, and appends the resulting actions. Requests
    /// are only sent after all events are read: after a stall of this host the answers of a whole second
    /// arrive at once.
    pub fn handle(&mut self, now: Time, events: impl IntoIterator<Item = Event>, acts: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Nodes(kind, list) => self.update_nodes(now, kind, list, acts),
                Event::Request(arrival) => self.accept(now, arrival, acts),
                Event::Outcome(outcome) => self.outcome(now, outcome, acts),
                Event::ClientGone(id) => self.finish(now, id, acts),
                Event::BodyProgress(id, due, spent) => {
                    let _ = self.requests.entry(id).and_modify(|r| (r.due, r.body_discarded) = (due, spent));
                    self.check_no_later(id, due - ANSWER_MARGIN);
                }
                Event::Receiving(node, attempt, receiving) => {
                    let average = self.average();
                    if let Some(node) = self.fleet.get_mut(node) {
                        node.set_receiving(now, attempt, receiving, average);
                        self.changed.insert(Some(node.entry.shard));
                    }
                }
                Event::LimitShare(part) => {
                    self.refill_limits(now);
                    (self.limit_share, self.limits_since) = (part.clamp(1e-6, 1.0), now);
                }
                Event::Settings(set) => {
                    self.refill_limits(now);
                    // An index that another class now has must not inherit the longest time of the old class.
                    self.longest
                        .retain(|index, _| self.settings.classes.get(*index) == set.classes.get(*index));
                    self.settings = *set;
                }
                Event::Suspended(suspended) => self.suspended = suspended,
                Event::AnswerAllBy(at) => self.shorten_deadlines(at),
                Event::HostLateness(late) => self.overload.record(now, late),
                Event::Timer | Event::Probed(..) => {} // The agenda holds what is due.
            }
        }
        self.run_agenda(now, acts);
        self.dispatch(now, acts);
        if now >= self.forget_at {
            self.forget_at = now + RETENTION;
            self.drop_stale(now);
        }
        if let Some((at, _)) = self.agenda.first() {
            if self.armed.is_none_or(|armed| *at < armed || armed <= now) {
                self.armed = Some(*at);
                acts.push(Action::Timer((*at - now).max(1)));
            }
        }
    }

    /// Shortens all deadlines to at most `at`.
    fn shorten_deadlines(&mut self, at: Time) {
        let late: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| request.due > at).map(|(id, _)| *id).collect();
        for id in late {
            self.requests.entry(id).and_modify(|request| request.due = at);
            self.check_no_later(id, at - ANSWER_MARGIN);
        }
    }

    /// Schedules the next check of a request's deadline, in place of the one that was scheduled before.
    fn check_at(&mut self, id: RequestId, at: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(before) = request.check_at.replace(at) {
            self.agenda.remove(&(before, AgendaEntry::Deadline(id)));
        }
        self.agenda.insert((at, AgendaEntry::Deadline(id)));
    }

    /// Schedules a check of a request's deadline unless one is scheduled that comes earlier.
    fn check_no_later(&mut self, id: RequestId, at: Time) {
        let before = self.requests.get(&id).and_then(|request| request.check_at);
        if before.is_none_or(|before| before > at) {
            self.check_at(id, at);
        }
    }

    /// Queues a request again at a later time.
    fn requeue_at(&mut self, id: RequestId, at: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(before) = request.requeue_at.replace(at) {
            self.agenda.remove(&(before, AgendaEntry::Requeue(id)));
        }
        self.agenda.insert((at, AgendaEntry::Requeue(id)));
    }

    /// Refills the limit buckets of all volumes up to `now`; required before their refill rate changes.
    fn refill_limits(&mut self, now: Time) {
        for v in self.volumes.values_mut() {
            let (limit, hosts) = (self.settings.plans[v.plan].limit, f64::from(v.hosts) / self.limit_share);
            let _ = limit.map(|l| v.limit.refill(now, l.rate / hosts, l.burst / hosts - MARGIN));
        }
    }

    /// Drops volumes and nodes that have been unused for a long time. A volume whose limit bucket is not full
    /// is kept, since a new bucket would be full.
    fn drop_stale(&mut self, now: Time) {
        self.refill_limits(now);
        let (plans, part) = (&self.settings.plans, self.limit_share);
        self.volumes.drop_unused(now - RETENTION + 1, |volume| {
            volume.open == 0 && may_drop_volume(now, plans, part, volume)
        });
        let tried: BTreeSet<NodeId> =
            self.requests.values().filter_map(|r| r.may_have_run).map(|m| m.1).collect();
        self.fleet.retain(|n| {
            let gone = n.entry.state == NodeState::Gone && now - n.last_listed >= RETENTION;
            !gone || !n.bookings.is_empty() || tried.contains(&n.entry.node)
        });
    }

    /// Returns a random wait, uniform between 3/4 and 5/4 of `wait`, so that hosts do not act at the same
    /// time.
    fn jitter(&mut self, wait: Time) -> Time {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        wait * 3 / 4 + ((self.seed >> 33) as Time) % (wait / 2).max(1)
    }

    /// Processes agenda entries that are due, up to [`MAX_ENTRIES_PER_TURN`].
    fn run_agenda(&mut self, now: Time, acts: &mut Vec<Action>) {
        for _ in 0..MAX_ENTRIES_PER_TURN {
            if self.agenda.first().is_none_or(|(at, _)| *at > now) {
                return;
            }
            let Some((_, entry)) = self.agenda.pop_first() else { return };
            self.inspections += 1;
            match entry {
                AgendaEntry::Deadline(id) => {
                    let _ = self.requests.entry(id).and_modify(|request| request.check_at = None);
                    self.check_deadline(now, id, acts);
                }
                AgendaEntry::Key(key) => self.advance_key(now, &key),
                AgendaEntry::Requeue(id) => {
                    let _ = self.requests.entry(id).and_modify(|request| request.requeue_at = None);
                    self.stop_holding(id);
                    self.enqueue(id);
                }
                AgendaEntry::Subscribe => acts.push(Action::Subscribe),
                AgendaEntry::Dispatch => {}
            }
        }
    }

    // ---- Node list.

    /// Processes a node list.
    fn update_nodes(&mut self, now: Time, kind: ListKind, list: Vec<NodeEntry>, acts: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let wait = self.jitter(SECOND); // All hosts query the same discovery service.
            self.agenda.insert((now + wait, AgendaEntry::Subscribe));
            return;
        }
        acts.extend((kind == ListKind::Saved && self.settings.list_on_request).then_some(Action::Subscribe));
        if kind != ListKind::Changes {
            let named: BTreeSet<NodeId> = list.iter().map(|e| e.node).collect();
            for missing in self.fleet.missing(&named) {
                self.update_node(now, NodeEntry { state: NodeState::Gone, ..missing });
            }
        }
        let cold = |e: &NodeEntry| e.started.is_some_and(|started| now - started < self.settings.warmup_time);
        let (named, cold) = (list.len(), list.iter().filter(|e| cold(e)).count());
        acts.extend((cold > 0).then(|| Action::Log(format!("{cold} nodes of {named} in a list are cold"))));
        for entry in list {
            self.update_node(now, entry);
        }
    }

    /// Stores the entry of one node from a list.
    fn update_node(&mut self, now: Time, entry: NodeEntry) {
        self.changed.insert(Some(entry.shard));
        let fresh = || Node { free_at: now, last_answer: now, ..Node::default() };
        let (node, before) = self.fleet.upsert(entry, fresh);
        node.last_listed = now;
        let Some(before) = before else { return };
        if node.entry.started != before.started {
            node.next_turn = 0.0;
        }
        if (node.entry.started, node.entry.state) != (before.started, before.state) {
            (node.strikes, node.last_answer, node.free_at) = (0, now, now); // Its health is assessed anew.
        }
    }

    /// Returns the shortest aim of all classes.
    fn tightest_aim(&self) -> Time {
        self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(SECOND)
    }

    // ---- Accepting a request.

    /// Accepts a request, or refuses it if this host is overloaded.
    fn accept(&mut self, now: Time, a: Arrival, acts: &mut Vec<Action>) {
        self.count_arrival(now);
        if a.class >= self.settings.classes.len()
            || a.plan >= self.settings.plans.len()
            || self.requests.contains_key(&a.id)
        {
            return; // Not expected: callers use valid class and plan indices, and each id once.
        }
        if let Some(wait) = self.overload.retry_after(now, self.tightest_aim()) {
            // Nothing has been sent yet, so refusing is harmless now; later the request may have run.
            self.shed += 1;
            acts.push(Action::Refuse(a.id, wait.clamp(0, self.settings.max_retry_after), Reason::HostLate));
            return;
        }
        let (plans, part) = (&self.settings.plans, self.limit_share);
        if !self.volumes.make_room(&a.volume, |volume| may_drop_volume(now, plans, part, volume)) {
            let wait = NO_ROOM_DELAY.min(self.settings.max_retry_after);
            acts.push(Action::Refuse(a.id, wait, Reason::OverLimit));
            return;
        }
        let class = &self.settings.classes[a.class];
        // A request may arrive from a backlog or as a client's retry. The longest time that requests of the
        // class have left on arrival shows when this one was first made. A request with less time than the
        // aim is taken as new, with a short timeout.
        let left = a.due - now;
        let longest = self.longest.entry(a.class).or_insert(left);
        *longest = left.max(*longest);
        let aim = if left <= class.aim { now + class.aim } else { a.due - *longest + class.aim };
        let value = class.value * self.settings.plans[a.plan].price;
        let value_fraction = self.value_fraction(now, &a);
        let request = Request {
            class: a.class,
            key: a.key,
            due: a.due,
            aim,
            volume: a.volume,
            units: a.units.max(0.0),
            shard: a.shard,
            value: value * value_fraction,
            value_fraction,
            late: aim <= now,
            ..Request::default()
        };
        if request.shard.is_some() && value_fraction > self.settings.spare_value {
            self.shard_units += request.units;
        }
        let ordered_key = request.key.clone().filter(|_| self.settings.classes[a.class].ordered);
        let check_at = now + (left as f64 * RECHECK_FROM) as Time;
        self.requests.insert(a.id, request);
        self.check_at(a.id, check_at.min(a.due - ANSWER_MARGIN).max(now));
        match ordered_key {
            Some(key) => {
                self.key_queues.entry(key.clone()).or_default().ids.push_back(a.id);
                self.advance_key(now, &key);
            }
            None => self.enqueue(a.id),
        }
    }

    /// Returns the fraction of its value that a request earns if served in time, which depends on whether it
    /// is within the volume's reserve, within its share, or spare. This host's part of reserve and share is
    /// its part of the units served recently for the volume. Without reports from nodes about other hosts it
    /// is estimated between an even part and everything.
    fn value_fraction(&mut self, now: Time, a: &Arrival) -> f64 {
        let plan = &self.settings.plans[a.plan];
        let hosts = a.volume_hosts.clamp(1, self.settings.hosts.max(1));
        let size: f64 = self.settings.plans.iter().map(|p| p.rate).sum();
        let weights: f64 = self.settings.plans.iter().map(|p| p.weight).sum();
        let prior = PRIOR_REQUESTS * self.settings.mean_units;
        let (own, other) = self.volumes.get(&a.volume).map_or((0.0, 0.0), |v| (v.own, v.other));
        let part = (own + prior) / (own + other + prior * f64::from(hosts).sqrt());
        let (reserve, share) = (plan.reserve * part, plan.weight * size / weights.max(1e-9) * part);
        let since = self.limits_since;
        let slack = plan.limit.filter(|_| since == self.started).map_or(0.0, |l| l.slack);
        let volume = self.volumes.used(now, &a.volume, || Volume {
            plan: a.plan,
            hosts,
            limit: Bucket { level: slack / f64::from(hosts), at: since },
            reserve: Bucket { level: reserve, at: now },
            share: Bucket { level: share, at: now },
            ..Volume::default()
        });
        (volume.plan, volume.hosts) = (a.plan, volume.hosts.max(hosts));
        volume.open += 1;
        let most = self.settings.max_units;
        let best = self.settings.classes.iter().map(|c| c.value).fold(1e-9, f64::max);
        let left = (1.0 - self.settings.classes[a.class].value / best) * RESERVE_HELD_BACK;
        if volume.reserve.refill(now, reserve, reserve + most) >= a.units + left * reserve && reserve > 0.0 {
            volume.reserve.level -= a.units;
            1.0
        } else if volume.share.refill(now, share, share + most) >= a.units {
            volume.share.level -= a.units;
            self.settings.share_value
        } else {
            self.settings.spare_value
        }
    }

    /// Queues the first request of an ordered key if no earlier request of the key is unfinished.
    fn advance_key(&mut self, now: Time, key: &str) {
        let Some(queue) = self.key_queues.get(key) else { return };
        let head = queue.ids.front().copied();
        let started = |id| self.requests.get(&id).is_some_and(|r| r.attempts > 0 || r.rank.is_some());
        if queue.in_flight > 0 || head.is_some_and(started) {
            return;
        }
        if queue.paused_until > now {
            self.agenda.insert((queue.paused_until, AgendaEntry::Key(key.to_string())));
            return;
        }
        match head {
            Some(head) => self.enqueue(head),
            None => drop(self.key_queues.remove(key)),
        }
    }

    /// Adds a request to the queue of its shard, or to the queue of new objects.
    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.held) else { return };
        let late_factor = if request.late { self.settings.classes[request.class].late_value } else { 1.0 };
        let by = if request.late { request.due } else { request.aim };
        let rank = (Reverse((request.value * late_factor * 1e6).max(0.0) as u64), by, id);
        request.rank = Some(rank);
        let (shard, units) = (request.shard, request.units);
        let queue = self.queues.entry(shard).or_default();
        let before = queue.first();
        queue.insert(rank, units);
        let after = queue.first();
        self.update_head(shard, before, after);
    }

    /// Updates the set of heads after a queue has changed, given its first rank before and after.
    fn update_head(&mut self, shard: Option<ShardId>, before: Option<Rank>, after: Option<Rank>) {
        self.changed.insert(shard);
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
        self.update_head(shard, before, after);
    }

    // ---- Sending.

    /// Sends all requests that may be sent, highest value first across all queues. If the best request of a
    /// shard finds no capacity at its node, requests of lower value do not get that capacity either. As a
    /// drawback, requests that wait for a slow node keep new objects away from it.
    fn dispatch(&mut self, now: Time, acts: &mut Vec<Action>) {
        let mut heads = self.next_heads();
        if self.suspended {
            return;
        }
        let mut sent = 0;
        while let Some((_, shard)) = heads.pop_first() {
            self.inspections += 1;
            if sent == MAX_SENDS_PER_TURN {
                // The rest is sent in the next turn, so that other due work runs first.
                self.changed.insert(shard);
                self.agenda.insert((now + NEXT_TURN_DELAY, AgendaEntry::Dispatch));
                return;
            }
            match self.send_head(now, shard, acts) {
                true => {
                    sent += 1;
                    heads.extend(self.head(shard));
                }
                false => self.blocked.extend(shard),
            }
        }
        // The next turn inspects the remaining heads.
        if self.resume.is_some() {
            self.agenda.insert((now + NEXT_HEADS_DELAY, AgendaEntry::Dispatch));
        }
    }

    fn head(&self, shard: Option<ShardId>) -> Option<Head> {
        Some((self.queues.get(&shard)?.first()?, shard))
    }

    /// Returns the heads to inspect in this turn: all heads if they are few, else the heads of changed queues
    /// and the next [`MAX_HEADS_PER_TURN`] of a pass over all heads.
    fn next_heads(&mut self) -> BTreeSet<Head> {
        let changed = std::mem::take(&mut self.changed);
        let begin = self.resume.take();
        if begin.is_none() {
            self.blocked.clear();
        }
        let mut rest = match begin {
            Some(head) => self.heads.range(head..),
            None => self.heads.range(..),
        };
        let mut heads: BTreeSet<Head> = rest.by_ref().take(MAX_HEADS_PER_TURN).copied().collect();
        self.resume = rest.next().copied();
        heads.extend(changed.into_iter().chain([None]).filter_map(|shard| self.head(shard)));
        heads
    }

    /// Chooses the node for a new object: of the nodes in the key's group that have capacity, the one that is
    /// projected to finish the request earliest. Ties go to the key's preferred node, so that keys are spread
    /// over nodes even if most books are empty.
    fn choose_node(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) -> Option<NodeId> {
        let group = self.fleet.group(self.requests.get(&id)?.key.as_deref().unwrap_or(""));
        for node in &group {
            self.update_health(now, *node, acts);
        }
        let (average, request) = (self.average(), self.requests.get(&id)?);
        group
            .iter()
            .filter_map(|node| self.fleet.get(*node))
            .filter(|n| {
                !n.unhealthy && !self.blocked.contains(&n.entry.shard) && self.has_capacity(now, n, request)
            })
            .min_by_key(|n| {
                let own = request.units * n.time_per_unit(now, average);
                (n.error_prone(now), n.projected_free(now, average) + own as Time)
            })
            .map(|n| n.entry.node)
    }

    /// Sends, reranks or rejects the first request of a queue; returns false if no node has capacity for it.
    fn send_head(&mut self, now: Time, shard: Option<ShardId>, acts: &mut Vec<Action>) -> bool {
        let Some((_, _, id)) = self.queues.get(&shard).and_then(RankedQueue::first) else { return false };
        let node = match shard {
            Some(shard) => self.fleet.holder(shard),
            None => self.choose_node(now, id, acts),
        };
        let Some(node) = node else { return false };
        self.update_health(now, node, acts);
        if !self.rerank_or_reject(now, id, node, acts) {
            let (Some(at), Some(request)) = (self.fleet.get(node), self.requests.get(&id)) else {
                return false;
            };
            if !self.has_capacity(now, at, request) {
                return false;
            }
            if self.may_send(now, id, node, acts) {
                self.send(now, id, node, acts);
            }
        }
        true
    }

    /// Reranks a request that can no longer meet its aim at this node, and rejects one that would not be
    /// served before its deadline, since sending it would only delay others. Returns whether it did either.
    fn rerank_or_reject(&mut self, now: Time, id: RequestId, node: NodeId, acts: &mut Vec<Action>) -> bool {
        let average = self.average();
        let Some(node) = self.fleet.get(node).filter(|n| !n.unhealthy) else { return false };
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let done =
            now + (node.time_per_unit(now, average) * (node.units_in_flight * 0.5 + request.units)) as Time;
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

    /// Whether a node has capacity for a request now. Requests of lower value need a faster node: on a slow
    /// node, requests within the share, and even more so spare and late requests, do not get the minimum load
    /// bound. Late requests are not sent to an idle node either, since better requests of other hosts would
    /// wait behind them. This prevents congestion that all hosts cause together. As a drawback, an outdated
    /// time per unit can make requests wait.
    fn has_capacity(&self, now: Time, node: &Node, request: &Request) -> bool {
        let (set, units) = (&self.settings, request.units);
        if !self.has_cold_capacity(now, node, request) {
            return false;
        }
        if node.unhealthy {
            return now >= node.next_trial && node.in_flight() < MAX_IN_FLIGHT;
        }
        let aim = self.tightest_aim() as f64;
        let low_value = request.late || request.value_fraction <= set.spare_value;
        let bound = aim * AIM_FRACTION / node.time_per_unit(now, self.average());
        let eased = bound * if low_value { 1.0 } else { SHARE_BOUND_FACTOR };
        let below = |bound: f64| node.in_flight() < MAX_IN_FLIGHT && node.units_in_flight + units <= bound;
        let fast = !request.late && eased >= set.mean_units;
        if !low_value && (fast || request.value_fraction >= 1.0) {
            return node.in_flight() == 0 || below(bound.max(MIN_BOUND_REQUESTS * set.mean_units));
        }
        let no_recent_answer = low_value && now - node.last_answer > SECOND * Time::from(set.hosts);
        (node.in_flight() == 0 && (fast || no_recent_answer)) || below(eased)
    }

    /// Whether a request is within this host's even part of what a cold node can take in a window. For one
    /// window after its own start this host sends nothing to a node that started before it, since this host
    /// may have used up its part before it restarted. If the part is less than a request of mean size, hosts
    /// take turns, and a turn may only be used for a request for a shard that is neither late nor spare. As a
    /// drawback, a host without such a request leaves its turn unused.
    fn has_cold_capacity(&self, now: Time, node: &Node, request: &Request) -> bool {
        let Some(started) = node.entry.started else { return true };
        let (set, age) = (&self.settings, now - started);
        let warm = age >= set.warmup_time + set.cold_window;
        if warm || (started <= self.started && now - self.started <= set.cold_window) {
            return warm;
        }
        let part = self.cold_capacity(now, node).0 / f64::from(set.hosts);
        if part < set.mean_units {
            let best = request.shard.is_some() && !request.late && request.value_fraction > set.spare_value;
            return best && self.cold_turn(now, node) > node.next_turn;
        }
        let sent: f64 =
            node.recent_sends.iter().filter(|(t, _)| *t >= now - set.cold_window).map(|(_, u)| u).sum();
        sent + request.units <= part - MARGIN
    }

    /// Returns the units that a cold node can take in a window, and the number of requests of mean size
    /// (turns) that this allows since the start of the node. The capacity starts at the configured units for
    /// the smallest node, scaled by size, and grows at the slowest rate that the settings allow.
    fn cold_capacity(&self, now: Time, node: &Node) -> (f64, f64) {
        let (set, age) = (&self.settings, (now - node.entry.started.unwrap_or(now)).max(0));
        let (window, cold) = (set.cold_window.max(1) as f64, set.warmup_time.max(1) as f64);
        let grows = 1.0 / set.cold_fraction.clamp(0.001, 1.0) - 1.0;
        let proven = ((age - set.cold_window).max(0) as f64 / cold).min(1.0);
        let least = self.fleet.min_size();
        let units = set.cold_units * f64::from(node.entry.size.max(least)) / f64::from(least);
        let windows = (age as f64 + grows * proven * proven * cold / 2.0) / window;
        (units * (1.0 + grows * proven), units * windows / set.mean_units)
    }

    /// Returns this host's latest turn at a cold node, or a negative number if the turn has expired. Hosts
    /// take turns in the order of their indices. At most `N + 2 sqrt(N) + 2` sends occur in a window that has
    /// N turns of its own. Only where hosts send too few requests to use their turns does a turn stay valid
    /// for longer, until two in three turns would be used.
    fn cold_turn(&self, now: Time, node: &Node) -> f64 {
        let ((units, turns), set) = (self.cold_capacity(now, node), &self.settings);
        let (turns_per_window, hosts) = (units / set.mean_units, f64::from(set.hosts));
        let offset = hash("", node.entry.node).wrapping_add(u64::from(set.number)) % u64::from(set.hosts);
        let turn = 1.0 + offset as f64 + ((turns - 1.0 - offset as f64) / hosts).floor() * hosts;
        let windows = ((now - self.started) as f64 / set.cold_window.max(1) as f64).max(0.1);
        let usual = (self.shard_units / set.mean_units / self.fleet.len().max(1) as f64 + 1.0) / windows;
        let valid_for = (turns_per_window / usual).max(2.0 * turns_per_window.sqrt() + 1.0);
        if turns - turn <= valid_for {
            turn
        } else {
            -1.0
        }
    }

    /// Whether the rules allow a request to be sent to a node now. If not, the request is rejected or is held
    /// until its volume's limit allows it.
    fn may_send(&mut self, now: Time, id: RequestId, node: NodeId, acts: &mut Vec<Action>) -> bool {
        let within_budget = self.within_retry_budget(now);
        let Some(request) = self.requests.get(&id) else { return false };
        if request.attempts > 0 && !(within_budget && self.may_retry(now, request, node)) {
            let reason = if within_budget { Reason::NotRepeatable } else { Reason::RetriesSpent };
            self.give_up(now, id, reason, acts);
            return false;
        }
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return true };
        let unpaid = !request.paid;
        let Some(limit) = self.settings.plans[volume.plan].limit.filter(|_| unpaid) else { return true };
        let hosts = f64::from(volume.hosts) / self.limit_share;
        let level = volume.limit.refill(now, limit.rate / hosts, limit.burst / hosts - MARGIN);
        if level >= request.units {
            volume.limit.level -= request.units;
            if let Some(request) = self.requests.get_mut(&id) {
                request.paid = true;
            }
            return true;
        }
        let missing = volume.held_units + request.units - level;
        let wait = ((missing / limit.rate * hosts * SECOND as f64) as Time).max(1000);
        // The request waits for the bucket if it can still meet its aim, and is refused with a retry-after
        // time otherwise.
        if now + wait > request.aim || request.units > limit.burst / hosts - MARGIN {
            self.reject(now, id, wait, Reason::OverLimit, acts);
            return false;
        }
        volume.held_units += request.units;
        if let Some(request) = self.requests.get_mut(&id) {
            request.held = true;
        }
        self.dequeue(id);
        self.requeue_at(id, now + wait);
        false
    }

    /// Ends the wait of a request for its volume's limit.
    fn stop_holding(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.held) else { return };
        request.held = false;
        if let Some(volume) = self.volumes.get_mut(&request.volume) {
            volume.held_units = (volume.held_units - request.units).max(0.0);
        }
    }

    /// Whether another attempt of a request may be sent to a node, as far as its class allows it.
    fn may_retry(&self, now: Time, request: &Request, node: NodeId) -> bool {
        let class = &self.settings.classes[request.class];
        if request.body_discarded
            || request.attempts - request.unsent >= class.attempts
            || request.in_flight > 0
        {
            return false;
        }
        let Some((sent, first, _)) = request.may_have_run else { return true };
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

    /// Counts an arrival for the retry budget.
    fn count_arrival(&mut self, now: Time) {
        let Some(span) = self.settings.budget.map(|budget| budget.span) else { return };
        self.forget_arrivals(now, span);
        self.recent_arrivals += 1;
        match self.arrivals.back_mut() {
            Some((first, count)) if now - *first < span / ARRIVAL_SLOTS => *count += 1,
            _ => self.arrivals.push_back((now, 1)),
        }
    }

    fn forget_arrivals(&mut self, now: Time, span: Time) {
        while let Some((_, count)) = self.arrivals.front().filter(|(first, _)| *first <= now - span) {
            self.recent_arrivals -= count;
            self.arrivals.pop_front();
        }
    }

    /// Whether the retry budget allows one more retry.
    fn within_retry_budget(&mut self, now: Time) -> bool {
        let span = self.settings.budget.map_or(0, |b| b.span);
        self.forget_arrivals(now, span);
        while self.retries.front().is_some_and(|t| *t < now - span) {
            self.retries.pop_front();
        }
        let (retries, arrivals) = (self.retries.len() as f64, self.recent_arrivals as f64);
        self.settings.budget.is_none_or(|b| retries + 1.0 <= b.free + b.share * arrivals)
    }

    /// Sends an attempt of a request to a node and records it in the node's book.
    fn send(&mut self, now: Time, id: RequestId, to: NodeId, acts: &mut Vec<Action>) {
        self.dequeue(id);
        let average = self.average();
        let turn = self.fleet.get(to).map_or(0.0, |node| self.cold_turn(now, node));
        let (Some(request), Some(node)) = (self.requests.get_mut(&id), self.fleet.get_mut(to)) else {
            return;
        };
        // A large request uses up further turns.
        let more_turns = (request.units / self.settings.mean_units).round().max(1.0) - 1.0;
        node.next_turn = node.next_turn.max(turn + 0.5 + more_turns * f64::from(self.settings.hosts));
        let attempt = request.attempts;
        if attempt > 0 {
            self.retries.push_back(now);
        }
        request.attempts += 1;
        request.in_flight += 1;
        // A retry of a keyed request must be sent within the window of the first attempt that may have run.
        let class = &self.settings.classes[request.class];
        let keyed = request.may_have_run.filter(|_| matches!(class.effect, Effect::Keyed(_)));
        let begin_by = keyed.map_or(request.due, |(first, ..)| first + class.window);
        request.may_have_run = request.may_have_run.or(Some((now, to, attempt)));
        let ordered_key = request.key.clone().filter(|_| self.settings.classes[request.class].ordered);
        if let Some(queue) = ordered_key.as_ref().and_then(|k| self.key_queues.get_mut(k)) {
            queue.in_flight += 1;
        }
        node.add_booking(now, (id, attempt), request.units, ordered_key, average);
        let window = self.settings.cold_window;
        node.recent_sends.push_back((now, request.units));
        while node.recent_sends.front().is_some_and(|(t, _)| *t < now - window) {
            node.recent_sends.pop_front();
        }
        if node.unhealthy {
            node.next_trial = now + TRIAL_INTERVAL;
            self.agenda.insert((node.next_trial, AgendaEntry::Dispatch));
        }
        acts.push(Action::Send { id, node: to, begin_by, until: request.due });
    }

    // ---- Outcomes and answers.

    /// Processes the end of an attempt; see the module documentation.
    fn outcome(&mut self, now: Time, o: Outcome, acts: &mut Vec<Action>) {
        let average = self.average();
        let mut key = None;
        if let Some(node) = self.fleet.get_mut(o.node) {
            self.changed.insert(Some(node.entry.shard));
            let Some(booking) = node.remove_booking(now, (o.id, o.attempt)) else { return };
            node.record_outcome(now, &o, &booking, average, &mut self.unit_time);
            key = booking.key;
        }
        if let Some(queue) = key.as_ref().and_then(|k| self.key_queues.get_mut(k)) {
            queue.in_flight = queue.in_flight.saturating_sub(1);
            if matches!(o.ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
                queue.paused_until = now + self.settings.key_cooldown;
            }
        }
        self.update_health(now, o.node, acts);
        let never_ran = {
            use Ending::*;
            matches!(o.ending, Full | Unreachable | NotSent | NoLink)
        };
        if let Some(request) = self.requests.get_mut(&o.id) {
            request.in_flight = request.in_flight.saturating_sub(1);
            request.unsent += u32::from(o.ending == Ending::NoLink);
            let own = if o.ending == Ending::Served { request.units } else { 0.0 };
            let set = &self.settings;
            let reported = |_: &&mut Volume| set.reports_elsewhere || o.volume_use.is_some();
            if let Some(volume) = self.volumes.get_mut(&request.volume).filter(reported) {
                volume.served.add(now, own, 1.0);
                let mut other = o.served_elsewhere.max(0.0);
                if !set.reports_elsewhere {
                    // Nodes report only the total of all hosts: the units of other hosts are what exceeds
                    // this host's own.
                    let rate = volume.served.decayed(now).0 / DECAY_TIME_US * SECOND as f64;
                    let all = o.volume_use.unwrap_or(0.0) * set.plans[volume.plan].rate;
                    other = own * (all / rate.max(1e-9) - 1.0).max(0.0);
                }
                volume.own = volume.own * SERVED_DECAY + own;
                volume.other = volume.other * SERVED_DECAY + other;
            }
            // No earlier attempt ran either, or it would be the one recorded here.
            if never_ran && request.may_have_run.is_some_and(|m| m.2 == o.attempt) {
                request.may_have_run = None;
            }
            if o.closed {
                self.finish(now, o.id, acts);
            } else if now + ANSWER_MARGIN >= self.requests[&o.id].due {
                self.give_up(now, o.id, Reason::OutOfTime, acts);
            } else {
                // `may_send` checks again when a node has capacity.
                match self.may_retry(now, &self.requests[&o.id], o.node) {
                    // An immediate retry would find no connection either.
                    true if o.ending == Ending::NoLink => {
                        self.requeue_at(o.id, now + RESEND_DELAY);
                    }
                    true => self.enqueue(o.id),
                    false => self.give_up(now, o.id, Reason::NotRepeatable, acts),
                }
            }
        }
        if let Some(key) = key {
            self.advance_key(now, &key);
        }
    }

    /// Rejects a waiting request as soon as it can no longer be served in time, from [`RECHECK_FROM`] of its
    /// time on, and a request with an attempt in flight at its deadline.
    fn check_deadline(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let last = request.due - ANSWER_MARGIN;
        if now < last && (request.in_flight > 0 || self.can_be_served(now, request)) {
            self.requests.entry(id).and_modify(|r| r.rechecked = true);
            // The more requests are open, the less often each is checked.
            let interval = RECHECK_INTERVAL * (1 + (self.requests.len() / MAX_ENTRIES_PER_TURN) as Time);
            self.check_at(id, last.min(now + interval));
        } else if request.in_flight > 0 && now < request.due {
            let due = request.due;
            self.check_at(id, due);
        } else {
            self.give_up(now, id, Reason::OutOfTime, acts);
        }
    }

    /// Whether a queued request would still be served in time at the best node for it, given the requests
    /// ahead.
    fn can_be_served(&self, now: Time, request: &Request) -> bool {
        let (Some(rank), Some(queue)) = (request.rank, self.queues.get(&request.shard)) else { return true };
        if self.suspended {
            return false;
        }
        let (group, total) = match request.shard {
            Some(shard) => (self.fleet.holder(shard).into_iter().collect(), 1),
            None => (self.fleet.group(request.key.as_deref().unwrap_or("")), self.fleet.up()),
        };
        // If hosts outnumber nodes, a node where this host has nothing in flight and finds no capacity does
        // not count: without an answer from it, the estimate of this host does not change while the request
        // waits.
        let enough_nodes = self.fleet.up() >= self.settings.hosts as usize;
        let answers = |n: &&Node| enough_nodes || n.in_flight() > 0 || self.has_capacity(now, n, request);
        let usable = |n: &&Node| !n.unhealthy && self.has_cold_capacity(now, n, request) && answers(n);
        let nodes: Vec<&Node> = group.iter().filter_map(|id| self.fleet.get(*id)).filter(usable).collect();
        // The group is a sample of all nodes, which together serve the requests ahead of this one.
        let serving = (nodes.len() * total) as f64 / group.len().max(1) as f64;
        let units = queue.units_before(&rank) / serving.max(1.0) + request.units;
        let (average, factor) = (self.average(), if request.rechecked { 1.0 } else { FIRST_CHECK_FACTOR });
        let done =
            |n: &&Node| now + (n.time_per_unit(now, average) * (n.units_in_flight + units) * factor) as Time;
        nodes.iter().any(|n| done(n) <= request.due)
    }

    /// Rejects a request, with the estimated time to serve its whole queue as the retry-after time.
    fn give_up(&mut self, now: Time, id: RequestId, reason: Reason, acts: &mut Vec<Action>) {
        let shard = self.requests.get(&id).and_then(|r| r.shard);
        let queued = self.queues.get(&shard).map_or(0, RankedQueue::len) as f64 * self.settings.mean_units;
        let node = shard.and_then(|s| self.fleet.holder(s)).and_then(|n| self.fleet.get(n));
        let time_per_unit = node.map_or(self.average(), |n| n.time_per_unit(now, self.average()));
        self.reject(now, id, (queued * time_per_unit) as Time, reason, acts);
    }

    /// Gives a request that will not be served its final answer: refused if a retry by the client is
    /// harmless, else failed.
    fn reject(&mut self, now: Time, id: RequestId, wait: Time, reason: Reason, acts: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let effect = self.settings.classes[request.class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
        acts.push(match harmless || request.may_have_run.is_none() {
            true => Action::Refuse(id, wait.clamp(0, self.settings.max_retry_after), reason),
            false => Action::Fail(id, reason),
        });
        self.finish(now, id, acts);
    }

    /// Removes a request that has its final answer or whose client is gone, and cancels its attempts in
    /// flight.
    fn finish(&mut self, now: Time, id: RequestId, acts: &mut Vec<Action>) {
        self.dequeue(id);
        self.stop_holding(id);
        let Some(request) = self.requests.remove(&id) else { return };
        // What a request has scheduled goes with it: requests may come and go faster than their deadlines.
        let _ = request.check_at.map(|at| self.agenda.remove(&(at, AgendaEntry::Deadline(id))));
        let _ = request.requeue_at.map(|at| self.agenda.remove(&(at, AgendaEntry::Requeue(id))));
        if let Some(volume) = self.volumes.get_mut(&request.volume) {
            volume.open = volume.open.saturating_sub(1);
        }
        if request.in_flight > 0 && self.settings.cancel {
            acts.extend((0..request.attempts).map(|attempt| Action::Cancel(id, attempt)));
        }
        let Some(key) = request.key.filter(|_| self.settings.classes[request.class].ordered) else { return };
        if let Some(queue) = self.key_queues.get_mut(&key) {
            queue.ids.retain(|i| *i != id);
        }
        self.advance_key(now, &key);
    }

    // ---- Health.

    /// Returns the mean time per unit over all nodes.
    fn average(&self) -> f64 {
        self.unit_time.sum / self.unit_time.weight
    }

    /// Updates the health of a node. An unhealthy node, one that hangs or cannot be reached, gets no new
    /// objects and one trial request per [`TRIAL_INTERVAL`] until it answers again. A node that returns
    /// errors stays healthy: no other node holds its shard, an error is cheap and immediate, and the next
    /// request may be served.
    fn update_health(&mut self, now: Time, id: NodeId, acts: &mut Vec<Action>) {
        let average = self.average();
        let Some(node) = self.fleet.get_mut(id) else { return };
        let silent = node.is_silent(now, average);
        let unhealthy = silent || node.strikes >= STRIKE_LIMIT;
        if unhealthy == node.unhealthy {
            return;
        }
        node.unhealthy = unhealthy;
        if unhealthy {
            node.next_trial = now + TRIAL_INTERVAL;
            self.agenda.insert((node.next_trial, AgendaEntry::Dispatch));
        }
        let state =
            ["well again", "unwell: failing", "unwell: silent"][usize::from(unhealthy) + usize::from(silent)];
        acts.push(Action::Log(format!("node {id} {state}, {} out", node.bookings.len())));
    }
}

/// Whether a volume may be dropped without a loss but of its statistics: a new one begins with a full limit
/// bucket, so that of this one must be full, and none of its requests may still be charged to it.
fn may_drop_volume(now: Time, plans: &[Plan], limit_share: f64, volume: &mut Volume) -> bool {
    let Some(limit) = plans[volume.plan].limit else { return true };
    let hosts = f64::from(volume.hosts) / limit_share;
    let most = limit.burst / hosts - MARGIN;
    volume.open == 0 && volume.limit.refill(now, limit.rate / hosts, most) >= most - MARGIN
}
