//! The planner: owns the scheduler and all that is known of requests and attempts. It is fed what
//! happened, hands all of a turn to the scheduler in one batch, and gives back what is to be done on
//! sockets. It knows no wire: a request and a reply pass through it unread.

use super::deadlines::{Deadlines, Lateness};
use super::guard::{Guard, Repeats};
use super::pool::{ChannelKind, LinkId, LinkSettings, Pick, Pool, PoolLimits, Sharing, SUPERSEDED_LINKS};
use crate::interface::{
    Action, Arrival, Effect as Harm, Ending, Event, ListKind, NodeEntry, NodeId, NodeState,
};
use crate::interface::{Outcome, Reason, RequestId, Settings, SettingsError, ShardId, Time};
use crate::rules::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// What is spoken with clients and nodes. The planner only hands both types through.
pub trait Wire: 'static {
    /// A request as a node is to get it. Cloned for each attempt, so it should be cheap to clone.
    type Request: Clone + 'static;
    /// A node's reply as the client is to get it.
    type Reply: 'static;

    /// Whether several attempts may be out on one link.
    const SHARING: Sharing = Sharing::Multiplexed;

    /// Which of a node's links can carry a request.
    fn channel_kind(_: &Self::Request) -> ChannelKind {
        0
    }

    /// Whether the request's body comes while it is sent on: its time is then not known before all of it has come.
    fn streams_body(_: &Self::Request) -> bool {
        false
    }

    /// Whether some of such a body is gone, so that the request cannot be sent again.
    fn is_body_consumed(_: &Self::Request) -> bool {
        false
    }
}

/// The final answer of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer<R> {
    /// What a node replied.
    Served(R),
    /// Refused: trying again is harmless, best after this time (0: no advice).
    Refused(Time),
    /// Failed, with no promise about its effect.
    Failed,
}

/// Where a front takes its final answers.
pub type AnswerSender<R> = UnboundedSender<(RequestId, Answer<R>)>;

/// A request that a front has taken.
pub struct ClientRequest<W: Wire> {
    /// What the scheduler is told of it.
    pub arrival: Arrival,
    /// What a node is told.
    pub request: W::Request,
    /// Where the final answer goes.
    pub back: AnswerSender<W::Reply>,
    /// A session has taken it, and the guard knows of it.
    pub of_client: bool,
}

/// The times of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimes {
    /// It is not begun at this time or later.
    pub begin_by: Time,
    /// Its answer is no longer waited for from then on.
    pub until: Time,
}

/// An attempt: its request and its number.
pub type AttemptId = (RequestId, u32);

/// How an attempt ended, as its link saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd<R> {
    /// How it ended.
    pub ending: Ending,
    /// The node's reply, if it was served.
    pub reply: Option<R>,
    /// The figures on use that came along; see [`Outcome`].
    pub volume_use: Option<f64>,
    /// See [`Outcome::served_elsewhere`].
    pub served_elsewhere: f64,
    /// See [`Outcome::util`].
    pub util: Option<f64>,
}

impl<R> AttemptEnd<R> {
    /// An end without a reply or figures.
    pub fn without_reply(ending: Ending) -> Self {
        AttemptEnd { ending, reply: None, volume_use: None, served_elsewhere: 0.0, util: None }
    }
}

/// A node of a list with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedNode {
    /// What the scheduler is told.
    pub entry: NodeEntry,
    /// Where it listens.
    pub address: String,
}

/// How a link has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// It was up.
    Ended,
    /// It was up, and its node gave an answer that nothing had asked for: a second one to an earlier request.
    Repeated,
    /// It never came up.
    Never,
    /// This machine could not open it, which says nothing about the node.
    Here,
}

/// What happened.
pub enum Input<W: Wire> {
    /// A front took a request.
    Request(ClientRequest<W>),
    /// A client is gone; nobody waits for this request any more.
    ClientGone(RequestId),
    /// An attempt on a link ended.
    AttemptEnded(LinkId, AttemptId, AttemptEnd<W::Reply>),
    /// The reply to an attempt on a link has begun and is passed on while it comes; the link is not free yet.
    ReplyBegun(LinkId, AttemptId, AttemptEnd<W::Reply>),
    /// Such a reply has come to its end.
    ReplyFinished(LinkId),
    /// All of a request's body has come; when its client gives up.
    BodyComplete(RequestId, Time),
    /// The connection of a link is up.
    LinkUp(LinkId),
    /// Something has come on a link that belongs to what is not whole yet: for how long the next of it may be waited
    /// for. Nothing, if all is whole or the link does not wait for its node.
    PartialReply(LinkId, Option<Time>),
    /// A link is over; all its attempts have ended before.
    LinkDown(LinkId, LinkEnd),
    /// News of the nodes.
    Nodes(ListKind, Vec<ListedNode>),
    /// A probe ended.
    Probed(NodeId, Ending, Option<f64>),
    /// New settings; see [`Event::Settings`].
    Settings(Box<Settings>, LinkSettings),
    /// The part of all limits that is this process's; see [`Event::LimitShare`].
    LimitShare(f64),
    /// Nothing may be sent to any node, or it may again.
    Suspended(bool),
    /// The process ends: whatever it has taken is to have its answer by this time.
    AnswerAllBy(Time),
    /// So late the process runs, in microseconds.
    HostLateness(Time),
    /// So many links there may be from now on; if nothing, few more than there are.
    LinkLimit(Option<usize>),
    /// Whoever holds the other end is told once the turn is over that took all before this.
    Barrier(oneshot::Sender<()>),
}

/// What is to be done, in this order.
#[derive(Debug)]
pub enum Effect<W: Wire> {
    /// Open a link to a node.
    Open(LinkId, NodeId, ChannelKind, String),
    /// Send an attempt on a link, within these times.
    Send(LinkId, AttemptId, AttemptTimes, W::Request),
    /// Nobody wants an attempt on a link any more: it is not to begin.
    Withdraw(LinkId, AttemptId),
    /// A link's node takes nothing more: what has not begun there is to be given back.
    Bar(LinkId),
    /// Close a link without a word.
    Close(LinkId),
    /// Probe a node.
    Probe(NodeId, String),
}

/// What the deadlines of a planner stand for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deadline {
    /// The scheduler wants a turn.
    Scheduler,
    /// An attempt is not waited for any longer.
    Attempt(AttemptId),
    /// A link may have been idle for too long.
    Idle(LinkId),
    /// A reply that began on a link should be whole by now.
    Whole(LinkId),
}

/// How long nothing may come of a reply that is passed on once its client's time is over: the client, and those whose answers
/// stand behind, must see its end before they count as lost.
const LATE_REPLY_REST: Time = 300_000;

/// How long a body may take to come while it is sent on. Its time counts from its last byte.
const BODY: Time = 10_000_000;

/// A request that has no final answer yet.
struct Open<W: Wire> {
    request: W::Request,
    back: AnswerSender<W::Reply>,
    tries: u32,
    /// How its last attempt ended.
    last: Option<Ending>,
    shard: Option<ShardId>,
}

/// An attempt that has no outcome yet.
struct Attempt {
    node: NodeId,
    link: Option<LinkId>,
    sent: Time,
    until: Time,
}

/// Requests without a final answer by the shard that they are for; none for new objects.
pub type OpenByShard = BTreeMap<Option<ShardId>, usize>;

/// What has happened since the last count.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client left.
    pub gone: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Links opened.
    pub opened: u64,
    /// Attempts by ending, in the order of [`Ending`].
    pub endings: [u64; 9],
}

/// The planner of one broker and one fleet of nodes.
pub struct Planner<W: Wire> {
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, Open<W>>,
    /// How many of them there are by shard; none for new objects. A shard without any has no entry.
    open_by_shard: OpenByShard,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The same by the link they are on. A link without any has no entry.
    on_link: BTreeMap<LinkId, BTreeSet<AttemptId>>,
    addresses: BTreeMap<NodeId, String>,
    pool: Pool,
    guard: Guard,
    deadlines: Deadlines<Deadline>,
    /// Events for the scheduler: those of this turn, then those that carrying out its actions brought.
    events: Vec<Event>,
    actions: Vec<Action>,
    counts: Counts,
    /// Who wants to know that this turn is over.
    reached: Vec<oneshot::Sender<()>>,
}

impl<W: Wire> Planner<W> {
    /// A planner that starts at `now` and knows nothing.
    pub fn new(settings: Settings, seed: u64, now: Time, limits: PoolLimits) -> Result<Self, SettingsError> {
        Ok(Planner {
            scheduler: Scheduler::new(settings, seed, now)?,
            requests: BTreeMap::new(),
            open_by_shard: OpenByShard::new(),
            attempts: BTreeMap::new(),
            on_link: BTreeMap::new(),
            addresses: BTreeMap::new(),
            pool: Pool::new(limits),
            guard: Guard::default(),
            deadlines: Deadlines::default(),
            events: Vec::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            reached: Vec::new(),
        })
    }

    /// Takes note of how late this process has run lately, in microseconds.
    pub fn note_lateness(&mut self, late: Time) {
        self.pool.note_lateness(late);
    }

    /// The guard that its sessions and links ask.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// When the next turn is due at the latest.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first()
    }

    /// How late deadlines were swept since the last call.
    pub fn take_lateness(&mut self) -> Lateness {
        self.deadlines.take_lateness()
    }

    /// What has happened since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Requests without a final answer, attempts without an outcome, and links.
    pub fn load(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.attempts.len(), self.pool.len())
    }

    /// Requests without a final answer, out and held, by shard.
    pub fn open_by_shard(&self) -> &OpenByShard {
        &self.open_by_shard
    }

    /// Takes a request off the books.
    fn close(&mut self, id: RequestId) -> Option<Open<W>> {
        let open = self.requests.remove(&id)?;
        self.guard.settle(id);
        if let Some(count) = self.open_by_shard.get_mut(&open.shard) {
            *count -= 1;
            if *count == 0 {
                self.open_by_shard.remove(&open.shard);
            }
        }
        Some(open)
    }

    /// What the scheduler has looked at since the start; see [`Scheduler::work`].
    pub fn work(&self) -> u64 {
        self.scheduler.work()
    }

    /// Requests that wait for a node.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Requests refused since the start because this process ran late.
    pub fn shed(&self) -> u64 {
        self.scheduler.shed()
    }

    /// Nodes that have an address here, and nodes that the scheduler keeps a book of.
    pub fn known(&self) -> (usize, usize) {
        (self.addresses.len(), self.scheduler.known().0)
    }

    /// One turn: takes all that has happened, sweeps the deadlines, lets the scheduler decide on everything
    /// at once, and appends what is to be done.
    pub fn turn(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input<W>>,
        effects: &mut Vec<Effect<W>>,
    ) {
        self.guard.sweep(now);
        for input in inputs {
            self.input(now, input, effects);
        }
        while let Some((_, deadline)) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Scheduler => self.events.push(Event::Timer),
                Deadline::Attempt(tag) => self.give_up_attempt(now, tag, Ending::TimedOut, effects),
                Deadline::Idle(link) => match self.pool.idle_expires_at(link) {
                    Some(at) if at > now => self.deadlines.insert(at, Deadline::Idle(link)),
                    Some(_) => {
                        self.pool.remove(now, link, false);
                        effects.push(Effect::Close(link));
                    }
                    None => {}
                },
                Deadline::Whole(link) => {
                    if self.pool.is_stalled(now, link) {
                        self.break_link(now, link, Ending::Reset, effects);
                    }
                }
            }
        }
        // Carrying out an action can bring an outcome at once, when there is no link to be had: the
        // scheduler is told in the same turn. Each round uses up attempts, of which a request has few.
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(now, events, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, effects);
            }
            self.actions = actions;
        }
        for waiting in self.reached.drain(..) {
            // Whoever has stopped waiting need not be told.
            let _ = waiting.send(());
        }
    }

    fn input(&mut self, now: Time, input: Input<W>, effects: &mut Vec<Effect<W>>) {
        match input {
            Input::Request(ask) => {
                let Arrival { id, class, due, shard, .. } = ask.arrival;
                // One whose time is not known before all of its body has come is not late before.
                let due = if W::streams_body(&ask.request) { Time::MAX } else { due };
                if !self.guard.admit(id, due, self.repeats(class), !ask.of_client) {
                    tracing::debug!(id, reason = "its client has gone", "not taken");
                    return;
                }
                let open = Open { request: ask.request, back: ask.back, tries: 0, last: None, shard };
                self.close(ask.arrival.id);
                self.requests.insert(ask.arrival.id, open);
                *self.open_by_shard.entry(shard).or_default() += 1;
                self.counts.taken += 1;
                let Arrival { id, class, plan, shard, units, due, .. } = &ask.arrival;
                tracing::debug!(id, class, plan, shard, units, left = due - now, "taken");
                self.events.push(Event::Request(ask.arrival));
            }
            Input::ClientGone(id) => {
                if self.close(id).is_some() {
                    self.counts.gone += 1;
                    // What has not begun is withdrawn whether or not the settings allow to cancel: nobody will know of it.
                    let out = self.attempts.range((id, 0)..=(id, u32::MAX));
                    effects.extend(out.filter_map(|(tag, a)| Some(Effect::Withdraw(a.link?, *tag))));
                    self.events.push(Event::ClientGone(id));
                }
            }
            Input::AttemptEnded(link, tag, end) => {
                if let Some(at) = self.pool.answered(now, link) {
                    self.deadlines.insert(at, Deadline::Idle(link));
                }
                self.ended(now, tag, end);
            }
            Input::ReplyBegun(link, tag, end) => {
                let until = self.attempts.get(&tag).map_or(now, |attempt| attempt.until);
                self.pool.set_streaming(link, Some(until));
                self.ended(now, tag, end);
            }
            Input::ReplyFinished(link) => {
                self.pool.set_streaming(link, None);
                if let Some(at) = self.pool.answered(now, link) {
                    self.deadlines.insert(at, Deadline::Idle(link));
                }
            }
            Input::BodyComplete(id, due) => self.retime(now, id, due, true),
            Input::LinkUp(link) => self.pool.note_up(link),
            Input::PartialReply(link, patience) => {
                let until = patience.map(|patience| self.rest_of_reply_by(now, link, patience));
                self.pool.set_partial(link, until);
                if let Some(until) = until {
                    self.deadlines.insert(until, Deadline::Whole(link));
                }
            }
            Input::LinkDown(link, down) => {
                self.pool.remove(now, link, down == LinkEnd::Never);
                match down {
                    LinkEnd::Here => self.pool.note_open_failed(now),
                    LinkEnd::Repeated => self.pool.note_repeated_answer(now),
                    LinkEnd::Ended | LinkEnd::Never => {}
                }
            }
            Input::Suspended(suspended) => {
                if suspended {
                    // What has not begun is given back; only the links know what they have written.
                    effects.extend(self.pool.busy().map(Effect::Bar));
                }
                self.events.push(Event::Suspended(suspended));
            }
            Input::AnswerAllBy(at) => self.end_by(at),
            Input::HostLateness(late) => self.events.push(Event::HostLateness(late)),
            Input::Nodes(kind, members) => {
                let mut entries = Vec::with_capacity(members.len());
                if matches!(kind, ListKind::Full | ListKind::Saved) {
                    self.addresses.clear();
                }
                for member in members {
                    if member.entry.state != NodeState::Up {
                        for link in self.pool.idle_of(member.entry.node) {
                            self.pool.remove(now, link, false);
                            effects.push(Effect::Close(link));
                        }
                        // What waits there, for a connection or behind something else, would be written late: nothing
                        // new may go there. Only the link knows what it has written by now.
                        let busy = self.pool.busy_of(member.entry.node).into_iter();
                        effects.extend(busy.map(Effect::Bar));
                    }
                    match member.entry.state {
                        NodeState::Gone => drop(self.addresses.remove(&member.entry.node)),
                        _ => drop(self.addresses.insert(member.entry.node, member.address)),
                    }
                    entries.push(member.entry);
                }
                self.events.push(Event::Nodes(kind, entries));
            }
            Input::Probed(node, ending, util) => self.events.push(Event::Probed(node, ending, util)),
            Input::Settings(settings, terms) => {
                self.pool.set_link_settings(terms);
                self.events.push(Event::Settings(settings));
            }
            Input::LinkLimit(most) => {
                for link in self.pool.set_link_limit(most.unwrap_or(self.pool.len() + SUPERSEDED_LINKS)) {
                    self.pool.remove(now, link, false);
                    effects.push(Effect::Close(link));
                }
            }
            Input::LimitShare(part) => self.events.push(Event::LimitShare(part)),
            Input::Barrier(waiting) => self.reached.push(waiting),
        }
    }

    /// Until when the next part of a reply is waited for on a link whose node may be silent for this long. Once the client's time
    /// is over a value that is passed on must not stand still for longer than a short one may.
    fn rest_of_reply_by(&self, now: Time, link: LinkId, patience: Time) -> Time {
        let end = self.pool.streams_until(link).map_or(Time::MAX, |due| due.max(now) + LATE_REPLY_REST);
        end.min(now + patience)
    }

    /// No attempt is waited for beyond this time.
    fn end_by(&mut self, at: Time) {
        for (tag, attempt) in self.attempts.iter_mut().filter(|(_, attempt)| attempt.until > at) {
            self.deadlines.remove(attempt.until, Deadline::Attempt(*tag));
            self.deadlines.insert(at, Deadline::Attempt(*tag));
            attempt.until = at;
        }
        self.events.push(Event::AnswerAllBy(at));
    }

    /// What repeats of a class do.
    fn repeats(&self, class: usize) -> Repeats {
        match self.scheduler.effect(class) {
            Some(Harm::Unsafe) | None => Repeats::Harmful,
            Some(Harm::Safe | Harm::Keyed(_)) => Repeats::Harmless,
        }
    }

    /// Settles an attempt. What a link reports of one that is settled already is dropped.
    fn ended(&mut self, now: Time, tag: AttemptId, end: AttemptEnd<W::Reply>) {
        let Some(attempt) = self.attempts.remove(&tag) else { return };
        self.leave_link(attempt.link, tag);
        self.deadlines.remove(attempt.until, Deadline::Attempt(tag));
        self.counts.endings[end.ending as usize] += 1;
        let (id, number) = tag;
        self.guard.ended(tag, end.ending);
        let (waited, link) = (now - attempt.sent, attempt.link);
        tracing::debug!(id, number, node = attempt.node, link, ending = ?end.ending, waited, "attempt");
        if let Some(open) = self.requests.get_mut(&id) {
            open.last = Some(end.ending);
            if W::is_body_consumed(&open.request) {
                debug_assert!(W::streams_body(&open.request));
                self.events.push(Event::BodyProgress(id, attempt.until, true));
            }
        }
        // The first served attempt is the final answer.
        if let Some(reply) = end.reply.filter(|_| end.ending == Ending::Served) {
            if let Some(open) = self.close(id) {
                self.counts.served += 1;
                // A front that is gone needs no answer.
                let _ = open.back.send((id, Answer::Served(reply)));
            }
        }
        self.events.push(Event::Outcome(Outcome {
            id,
            attempt: number,
            ending: end.ending,
            closed: !self.requests.contains_key(&id),
            node: attempt.node,
            elapsed: now - attempt.sent,
            served_elsewhere: end.served_elsewhere,
            volume_use: end.volume_use,
            util: end.util,
        }));
    }

    /// Stops waiting for an attempt. Its link is closed, which tells the node; but not while others share
    /// it and nobody waits for the request any more, since they would be broken for nothing. Where the
    /// request goes on, the link goes in any case: a further attempt beside one on an open connection would
    /// be a second copy.
    fn give_up_attempt(&mut self, now: Time, tag: AttemptId, ending: Ending, effects: &mut Vec<Effect<W>>) {
        let Some(attempt) = self.attempts.get(&tag) else { return };
        let link = attempt.link;
        self.ended(now, tag, AttemptEnd::without_reply(ending));
        let Some(link) = link else { return };
        effects.push(Effect::Withdraw(link, tag));
        if self.pool.streams_until(link).is_some() {
            // A reply before it is still passed on. Its request has no further attempt: its time is over.
            return;
        }
        let shared = self.on_link.contains_key(&link);
        if shared && !self.requests.contains_key(&tag.0) {
            return;
        }
        self.break_link(now, link, Ending::Reset, effects);
    }

    /// Closes a link under whatever is out on it.
    fn break_link(&mut self, now: Time, link: LinkId, ending: Ending, effects: &mut Vec<Effect<W>>) {
        if self.pool.remove(now, link, false) {
            effects.push(Effect::Close(link));
            for tag in self.on_link.remove(&link).unwrap_or_default() {
                self.ended(now, tag, AttemptEnd::without_reply(ending));
            }
        }
    }

    /// An attempt is on its link no longer.
    fn leave_link(&mut self, link: Option<LinkId>, tag: AttemptId) {
        let Some(link) = link else { return };
        let Some(tags) = self.on_link.get_mut(&link) else { return };
        tags.remove(&tag);
        if tags.is_empty() {
            self.on_link.remove(&link);
        }
    }

    fn act(&mut self, now: Time, action: Action, effects: &mut Vec<Effect<W>>) {
        match action {
            Action::Send { id, node, begin_by, until } => {
                self.send(now, id, node, AttemptTimes { begin_by, until }, effects)
            }
            Action::Refuse(id, after, reason) => self.answer(id, reason, Answer::Refused(after)),
            Action::Fail(id, reason) => self.answer(id, reason, Answer::Failed),
            Action::Cancel(id, attempt) => {
                self.give_up_attempt(now, (id, attempt), Ending::Cancelled, effects)
            }
            Action::Probe(node) => match self.addresses.get(&node) {
                Some(address) => effects.push(Effect::Probe(node, address.clone())),
                None => self.events.push(Event::Probed(node, Ending::Unreachable, None)),
            },
            Action::Timer(after) => self.deadlines.insert(now + after, Deadline::Scheduler),
            // Whoever drives this planner keeps the list up to date by an account of its own (`state/told.rs`).
            Action::Subscribe => {}
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        node: NodeId,
        span: AttemptTimes,
        effects: &mut Vec<Effect<W>>,
    ) {
        let until = span.until;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let tag = (id, open.tries);
        open.tries += 1;
        if let Some(after) = open.last {
            tracing::debug!(id, attempt = tag.1, node, ?after, "retry");
        }
        self.counts.sent += 1;
        let request = open.request.clone();
        let lane = W::channel_kind(&request);
        let mut attempt = Attempt { node, link: None, sent: now, until };
        let Some(address) = self.addresses.get(&node) else {
            self.attempts.insert(tag, attempt);
            self.ended(now, tag, AttemptEnd::without_reply(Ending::Unreachable));
            return;
        };
        let pick = self.pool.pick(now, node, lane, W::SHARING);
        if let Pick::Replace(_, over) = pick {
            effects.push(Effect::Close(over));
        }
        let link = match pick {
            Pick::Use(link) => link,
            Pick::Open(link) | Pick::Replace(link, _) => {
                self.counts.opened += 1;
                effects.push(Effect::Open(link, node, lane, address.clone()));
                link
            }
            Pick::Full => {
                // All that this process may open are in use: that says nothing about the node.
                self.attempts.insert(tag, attempt);
                self.ended(now, tag, AttemptEnd::without_reply(Ending::NoLink));
                return;
            }
        };
        attempt.link = Some(link);
        self.attempts.insert(tag, attempt);
        self.on_link.entry(link).or_default().insert(tag);
        self.deadlines.insert(until, Deadline::Attempt(tag));
        let flows = W::streams_body(&request);
        effects.push(Effect::Send(link, tag, span, request));
        if flows {
            self.retime(now, id, until.max(now + BODY), false);
        }
    }

    /// Moves the end of a request whose body is sent on while it comes, and of its attempt. What it waits for its
    /// node counts from the body's last byte: only then does the node begin.
    fn retime(&mut self, now: Time, id: RequestId, due: Time, whole: bool) {
        let Some(open) = self.requests.get(&id) else { return };
        self.events.push(Event::BodyProgress(id, due, W::is_body_consumed(&open.request)));
        for (tag, attempt) in self.attempts.range_mut((id, 0)..=(id, u32::MAX)) {
            self.deadlines.remove(attempt.until, Deadline::Attempt(*tag));
            self.deadlines.insert(due, Deadline::Attempt(*tag));
            attempt.until = due;
            if whole {
                attempt.sent = now;
            }
        }
    }

    fn answer(&mut self, id: RequestId, reason: Reason, answer: Answer<W::Reply>) {
        let Some(open) = self.close(id) else { return };
        let refused = matches!(answer, Answer::Refused(_));
        tracing::debug!(id, ?reason, tries = open.tries, refused, "given up");
        match answer {
            Answer::Refused(_) => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        // A front that is gone needs no answer.
        let _ = open.back.send((id, answer));
    }
}
