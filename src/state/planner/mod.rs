//! The planner owns the scheduler and the state of all open requests and attempts. Its caller passes it
//! inputs (what happened); in each turn the planner hands them to the scheduler as one batch and returns
//! effects (what the caller must do on sockets). It is independent of the wire protocol: requests and
//! replies pass through it without being inspected.

mod bodies;
mod messages;
mod replies;

pub use messages::{
    Answer, AnswerSender, AttemptEnd, AttemptId, AttemptTimes, ClientRequest, Effect, Input, LinkEnd,
    ListedNode, RequestFilter, Wire,
};

use super::deadlines::{Deadlines, Lateness};
use super::guard::{Guard, Repeats};
use super::pool::{LinkId, Pick, Pool, PoolLimits, SUPERSEDED_LINKS};
use super::reply_clock::ReplyEnd;
use crate::interface::{
    Action, Arrival, Effect as RequestEffect, Ending, Event, ListKind, NodeId, NodeState,
};
use crate::interface::{Outcome, Reason, RequestId, Settings, SettingsError, ShardId, Time};
use crate::rules::Scheduler;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// The kinds of deadlines of a planner.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deadline {
    /// The scheduler's timer.
    Scheduler,
    /// An attempt times out.
    Attempt(AttemptId),
    /// The idle timeout of a link may have expired.
    Idle(LinkId),
    /// The node of a link may have been silent for too long inside a reply.
    PartialReply(LinkId),
}

/// The deadline of a request whose body is still arriving: the session ends it, see
/// [`BodyClock`](super::body_clock::BodyClock). Its own deadline counts from the last byte of the body.
const UNTIL_BODY_ENDS: Time = Time::MAX / 2;

/// A request that has no final answer yet.
struct OpenRequest<W: Wire> {
    request: W::Request,
    back: AnswerSender<W::Reply>,
    tries: u32,
    /// How the last attempt of this request ended.
    last: Option<Ending>,
    /// Whether the request may not be sent any more; see [`Input::Revoke`].
    revoked: bool,
    /// Whether its body is still arriving, so that its deadline is not known yet.
    awaits_body: bool,
    shard: Option<ShardId>,
}

/// An attempt that has no outcome yet.
struct Attempt {
    node: NodeId,
    link: Option<LinkId>,
    sent: Time,
    until: Time,
    /// Whether the body is still arriving from the client.
    receiving: bool,
}

/// Numbers of requests without a final answer by shard; the key is `None` for new objects, which have no shard yet.
pub type OpenByShard = BTreeMap<Option<ShardId>, usize>;

/// Counters of the events since they were last read.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Requests accepted.
    pub taken: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub gone: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Links opened.
    pub opened: u64,
    /// Attempts by how they ended, in the order of [`Ending`].
    pub endings: [u64; 9],
}

/// The planner of one broker for one fleet of nodes.
pub struct Planner<W: Wire> {
    scheduler: Scheduler,
    requests: BTreeMap<RequestId, OpenRequest<W>>,
    /// The number of `requests` by shard. A shard without requests has no entry.
    open_by_shard: OpenByShard,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The number of attempts whose body is still arriving, by node. A node without any has no entry.
    receiving: BTreeMap<NodeId, usize>,
    /// The `attempts` by the link that carries them. A link without attempts has no entry.
    attempts_on_link: BTreeMap<LinkId, BTreeSet<AttemptId>>,
    addresses: BTreeMap<NodeId, String>,
    pool: Pool<W::Channel>,
    guard: Guard,
    deadlines: Deadlines<Deadline>,
    /// Events for the scheduler: first the events of this turn's inputs, then those that result from carrying out the
    /// scheduler's actions.
    events: Vec<Event>,
    actions: Vec<Action>,
    counts: Counts,
    /// The time by which every request must have its answer, once the process is stopping.
    answer_by: Time,
    /// Channels to notify at the end of this turn; see [`Input::Barrier`].
    barriers: Vec<oneshot::Sender<()>>,
}

impl<W: Wire> Planner<W> {
    /// Creates a planner that starts at `now` without nodes or requests.
    pub fn new(settings: Settings, seed: u64, now: Time, limits: PoolLimits) -> Result<Self, SettingsError> {
        Ok(Planner {
            scheduler: Scheduler::new(settings, seed, now)?,
            requests: BTreeMap::new(),
            open_by_shard: OpenByShard::new(),
            attempts: BTreeMap::new(),
            receiving: BTreeMap::new(),
            attempts_on_link: BTreeMap::new(),
            addresses: BTreeMap::new(),
            pool: Pool::new(limits),
            guard: Guard::default(),
            deadlines: Deadlines::default(),
            events: Vec::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            answer_by: Time::MAX,
            barriers: Vec::new(),
        })
    }

    /// Limits the number of volumes that the scheduler keeps state of.
    pub fn set_volume_limit(&mut self, most: usize) {
        self.scheduler.set_volume_limit(most);
    }

    /// Records how late this process has run recently, in microseconds.
    pub fn note_lateness(&mut self, late: Time) {
        self.pool.note_lateness(late);
    }

    /// Returns the guard that the planner shares with its sessions and links.
    pub fn guard(&self) -> &Guard {
        &self.guard
    }

    /// Returns the time of the next deadline, at which a turn must take place, or `None` if no deadline is set.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first()
    }

    /// Returns by how much deadlines were processed late since the last call.
    pub fn take_lateness(&mut self) -> Lateness {
        self.deadlines.take_lateness()
    }

    /// Returns the counters and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the numbers of requests without a final answer, of attempts without an outcome, and of links.
    pub fn load(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.attempts.len(), self.pool.len())
    }

    /// Returns the numbers of requests without a final answer by shard, both those with an attempt in flight and those
    /// that the scheduler holds back.
    pub fn open_by_shard(&self) -> &OpenByShard {
        &self.open_by_shard
    }

    /// Removes a request from the table of open requests and from the guard.
    fn close_request(&mut self, id: RequestId) -> Option<OpenRequest<W>> {
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

    /// Returns the scheduler's work counter since the start; see [`Scheduler::work`].
    pub fn work(&self) -> u64 {
        self.scheduler.work()
    }

    /// Returns the number of requests that wait for a node.
    pub fn waiting(&self) -> usize {
        self.scheduler.waiting()
    }

    /// Returns the number of requests refused since the start because this process ran late.
    pub fn shed(&self) -> u64 {
        self.scheduler.shed()
    }

    /// Returns the number of nodes with a known address and the number of nodes that the scheduler keeps a book for.
    pub fn known(&self) -> (usize, usize) {
        (self.addresses.len(), self.scheduler.known().0)
    }

    /// Runs one turn: applies all inputs, processes the deadlines that are due, lets the scheduler decide on all
    /// resulting events as one batch, and appends the effects.
    pub fn turn(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input<W>>,
        effects: &mut Vec<Effect<W>>,
    ) {
        self.guard.sweep(now);
        for input in inputs {
            self.apply_input(now, input, effects);
        }
        while let Some((_, deadline)) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Scheduler => self.events.push(Event::Timer),
                Deadline::Attempt(attempt_id) => {
                    self.give_up_attempt(now, attempt_id, Ending::TimedOut, effects)
                }
                Deadline::Idle(link) => match self.pool.idle_expires_at(link) {
                    Some(at) if at > now => self.deadlines.insert(at, Deadline::Idle(link)),
                    Some(_) => self.close_link(now, link, effects),
                    None => {}
                },
                Deadline::PartialReply(link) => self.check_reply(now, link, effects),
            }
        }
        // Carrying out an action can produce an outcome immediately, when no link is available; the scheduler
        // gets that outcome in the same turn. The loop ends because each round uses up attempts, and the number
        // of attempts per request is limited.
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(now, events, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, effects);
            }
            self.actions = actions;
        }
        for barrier in self.barriers.drain(..) {
            // The send fails only if the receiver has stopped waiting, and then no notification is needed.
            let _ = barrier.send(());
        }
    }

    fn apply_input(&mut self, now: Time, input: Input<W>, effects: &mut Vec<Effect<W>>) {
        match input {
            Input::Request(ask) => {
                let Arrival { id, class, due, shard, .. } = ask.arrival;
                // The deadline of a request with a streamed body is unknown until the whole body has arrived, so the
                // guard must not count it as late before.
                let due = if W::streams_body(&ask.request) { Time::MAX } else { due };
                if !self.guard.admit(id, due, self.repeats(class), !ask.of_client) {
                    tracing::debug!(id, reason = "its client has gone", "not taken");
                    return;
                }
                let open = OpenRequest {
                    awaits_body: W::streams_body(&ask.request),
                    request: ask.request,
                    back: ask.back,
                    tries: 0,
                    last: None,
                    revoked: false,
                    shard,
                };
                self.close_request(ask.arrival.id);
                self.requests.insert(ask.arrival.id, open);
                *self.open_by_shard.entry(shard).or_default() += 1;
                self.counts.taken += 1;
                let Arrival { id, class, plan, shard, units, due, .. } = &ask.arrival;
                tracing::debug!(id, class, plan, shard, units, left = due - now, "taken");
                self.events.push(Event::Request(ask.arrival));
            }
            Input::ClientGone(id) => {
                if self.close_request(id).is_some() {
                    self.counts.gone += 1;
                    // Attempts that have not begun are withdrawn even if the settings forbid cancelling: the node has
                    // received nothing of them.
                    self.withdraw_attempts(id, effects);
                    self.events.push(Event::ClientGone(id));
                }
            }
            Input::Revoke(matches) => self.revoke(&*matches, effects),
            Input::AttemptEnded(link, attempt_id, end) => {
                if let Some(at) = self.pool.answered(now, link) {
                    self.deadlines.insert(at, Deadline::Idle(link));
                }
                self.settle_attempt(now, attempt_id, end);
            }
            Input::ReplyBegun(link, attempt_id, end) => {
                self.pool.set_streaming(link, Some(attempt_id));
                self.settle_attempt(now, attempt_id, end);
            }
            Input::ReplyFinished(link) => {
                self.pool.set_streaming(link, None);
                if let Some(at) = self.pool.answered(now, link) {
                    self.deadlines.insert(at, Deadline::Idle(link));
                }
            }
            Input::BodyComplete(id, due) => self.set_due(now, id, due, true),
            Input::BodyEnded(id, end) => self.end_body(now, id, end, effects),
            Input::LinkUp(link) => self.pool.note_up(link),
            Input::PartialReply(link, arrival) => self.note_partial_reply(link, arrival),
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
                    // Only the links know which attempts they have begun to write, so each link with attempts gives
                    // back the ones that have not begun.
                    effects.extend(self.pool.busy().map(Effect::Bar));
                }
                self.events.push(Event::Suspended(suspended));
            }
            Input::AnswerAllBy(at) => self.answer_all_by(at),
            Input::HostLateness(late) => self.events.push(Event::HostLateness(late)),
            Input::Nodes(kind, members) => self.update_nodes(now, kind, members, effects),
            Input::Probed(node, ending, util) => self.events.push(Event::Probed(node, ending, util)),
            Input::Settings(settings, terms) => {
                self.pool.set_link_settings(terms);
                self.events.push(Event::Settings(settings));
            }
            Input::LinkLimit(most) => {
                for link in self.pool.set_link_limit(most.unwrap_or(self.pool.len() + SUPERSEDED_LINKS)) {
                    self.close_link(now, link, effects);
                }
            }
            Input::LimitShare(part) => self.events.push(Event::LimitShare(part)),
            Input::Barrier(barrier) => self.barriers.push(barrier),
        }
    }

    /// Takes an update of the node list. A node that a full list leaves out ends as one that is listed as gone.
    fn update_nodes(
        &mut self,
        now: Time,
        kind: ListKind,
        members: Vec<ListedNode>,
        effects: &mut Vec<Effect<W>>,
    ) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let listed: BTreeSet<NodeId> = members.iter().map(|member| member.entry.node).collect();
            let left_out = self.addresses.keys().filter(|node| !listed.contains(node)).copied();
            for node in left_out.collect::<Vec<NodeId>>() {
                self.stop_sending(now, node, effects);
                self.addresses.remove(&node);
            }
        }
        let mut entries = Vec::with_capacity(members.len());
        for ListedNode { entry, address } in members {
            if entry.state != NodeState::Up {
                self.stop_sending(now, entry.node, effects);
            }
            match entry.state {
                NodeState::Gone => drop(self.addresses.remove(&entry.node)),
                NodeState::Up | NodeState::Draining => drop(self.addresses.insert(entry.node, address)),
            }
            entries.push(entry);
        }
        self.events.push(Event::Nodes(kind, entries));
    }

    /// Closes the idle links of a node that accepts no work any more, and has the others give back what waits on them.
    fn stop_sending(&mut self, now: Time, node: NodeId, effects: &mut Vec<Effect<W>>) {
        for link in self.pool.idle_of(node) {
            self.close_link(now, link, effects);
        }
        // Attempts that wait on such a link, for its connection or behind another attempt, would reach the node after it
        // stopped accepting work. Only the link knows which attempts it has already begun to write, so it gives back the
        // others.
        effects.extend(self.pool.busy_of(node).into_iter().map(Effect::Bar));
    }

    /// Closes a link that carries no attempt.
    fn close_link(&mut self, now: Time, link: LinkId, effects: &mut Vec<Effect<W>>) {
        self.pool.remove(now, link, false);
        effects.push(Effect::Close(link));
    }

    /// Has the links give back all attempts of a request that have not begun. Returns whether there are attempts.
    fn withdraw_attempts(&self, id: RequestId, effects: &mut Vec<Effect<W>>) -> bool {
        let mut attempts = self.attempts.range((id, 0)..=(id, u32::MAX)).peekable();
        let any = attempts.peek().is_some();
        effects.extend(attempts.filter_map(|(attempt_id, a)| Some(Effect::Withdraw(a.link?, *attempt_id))));
        any
    }

    /// Refuses the requests that match, except those with an attempt in flight: only its link knows whether that has
    /// begun, and it is refused when the link gives it back.
    fn revoke(&mut self, matches: &dyn Fn(&W::Request) -> bool, effects: &mut Vec<Effect<W>>) {
        let revoked = self.requests.iter_mut().filter(|(_, open)| matches(&open.request));
        let revoked = revoked.map(|(id, open)| {
            open.revoked = true;
            *id
        });
        for id in revoked.collect::<Vec<RequestId>>() {
            if !self.withdraw_attempts(id, effects) {
                self.refuse_revoked(id);
                self.events.push(Event::ClientGone(id));
            }
        }
    }

    /// Answers a revoked request that is not with any node: it never ran, or running it again is harmless, since the
    /// scheduler would have sent it again.
    fn refuse_revoked(&mut self, id: RequestId) {
        let Some(open) = self.close_request(id) else { return };
        tracing::debug!(id, tries = open.tries, "revoked");
        self.counts.refused += 1;
        // The send fails only if the front has gone, and then no answer is needed.
        let _ = open.back.send((id, Answer::Refused(0)));
    }

    /// Moves the timeout of every attempt that would time out after `at` to `at`, and passes `at` to the scheduler.
    fn answer_all_by(&mut self, at: Time) {
        self.answer_by = at;
        for (attempt_id, attempt) in self.attempts.iter_mut().filter(|(_, attempt)| attempt.until > at) {
            self.deadlines.remove(attempt.until, Deadline::Attempt(*attempt_id));
            self.deadlines.insert(at, Deadline::Attempt(*attempt_id));
            attempt.until = at;
        }
        self.events.push(Event::AnswerAllBy(at));
    }

    /// Returns whether requests of a class may run twice without harm. An unknown class counts as harmful.
    fn repeats(&self, class: usize) -> Repeats {
        match self.scheduler.effect(class) {
            Some(RequestEffect::Unsafe) | None => Repeats::Harmful,
            Some(RequestEffect::Safe | RequestEffect::Keyed(_)) => Repeats::Harmless,
        }
    }

    /// Records the end of an attempt. A further report on an attempt that has already ended is ignored.
    fn settle_attempt(&mut self, now: Time, attempt_id: AttemptId, end: AttemptEnd<W::Reply>) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        if attempt.receiving {
            self.note_received(attempt.node);
        }
        self.leave_link(attempt.link, attempt_id);
        self.deadlines.remove(attempt.until, Deadline::Attempt(attempt_id));
        self.counts.endings[end.ending as usize] += 1;
        let (id, number) = attempt_id;
        self.guard.ended(attempt_id, end.ending);
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
            if let Some(open) = self.close_request(id) {
                self.counts.served += 1;
                // The send fails only if the front has gone, and then no answer is needed.
                let _ = open.back.send((id, Answer::Served(reply)));
            }
        }
        // The node has received nothing of it, and it is not to be sent again.
        if end.ending == Ending::NotSent && self.requests.get(&id).is_some_and(|open| open.revoked) {
            self.refuse_revoked(id);
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

    /// Abandons an attempt and closes its link, which makes the node stop working on it. The link stays open if other
    /// attempts share it and the request itself is over, since closing it would break them for nothing. If the request
    /// goes on, the link is closed in any case: a further attempt while this one is still open at the node would be a
    /// second copy of the request.
    fn give_up_attempt(
        &mut self,
        now: Time,
        attempt_id: AttemptId,
        ending: Ending,
        effects: &mut Vec<Effect<W>>,
    ) {
        let Some(attempt) = self.attempts.get(&attempt_id) else { return };
        let link = attempt.link;
        if let Some(link) = link.filter(|_| ending == Ending::TimedOut) {
            self.log_reply_end(now, link, attempt_id, ReplyEnd::OutOfTime);
        }
        self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(ending));
        let Some(link) = link else { return };
        effects.push(Effect::Withdraw(link, attempt_id));
        if self.pool.streamed_reply(link).is_some() {
            // An earlier reply is still being streamed on this link, so the link stays open. The abandoned request gets
            // no further attempt, since its deadline has passed.
            return;
        }
        let shared = self.attempts_on_link.contains_key(&link);
        if shared && !self.requests.contains_key(&attempt_id.0) {
            return;
        }
        self.break_link(now, link, Ending::Reset, effects);
    }

    /// Closes a link and ends all attempts on it with `ending`.
    fn break_link(&mut self, now: Time, link: LinkId, ending: Ending, effects: &mut Vec<Effect<W>>) {
        if self.pool.remove(now, link, false) {
            effects.push(Effect::Close(link));
            for attempt_id in self.attempts_on_link.remove(&link).unwrap_or_default() {
                self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(ending));
            }
        }
    }

    /// Removes an attempt from the table of attempts by link.
    fn leave_link(&mut self, link: Option<LinkId>, attempt_id: AttemptId) {
        let Some(link) = link else { return };
        let Some(attempt_ids) = self.attempts_on_link.get_mut(&link) else { return };
        attempt_ids.remove(&attempt_id);
        if attempt_ids.is_empty() {
            self.attempts_on_link.remove(&link);
        }
    }

    fn carry_out(&mut self, now: Time, action: Action, effects: &mut Vec<Effect<W>>) {
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
            // The owner of this planner keeps the node list up to date by itself (`state/told.rs`).
            Action::Subscribe => {}
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn send(
        &mut self,
        now: Time,
        id: RequestId,
        node: NodeId,
        times: AttemptTimes,
        effects: &mut Vec<Effect<W>>,
    ) {
        let until = times.until;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt_id = (id, open.tries);
        open.tries += 1;
        if let Some(after) = open.last {
            tracing::debug!(id, attempt = attempt_id.1, node, ?after, "retry");
        }
        self.counts.sent += 1;
        let (request, revoked, awaits_body) = (open.request.clone(), open.revoked, open.awaits_body);
        let channel = W::channel(&request);
        let mut attempt = Attempt { node, link: None, sent: now, until, receiving: false };
        if awaits_body && !self.may_receive(node) {
            self.attempts.insert(attempt_id, attempt);
            self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(Ending::NoLink));
            return;
        }
        if revoked {
            self.attempts.insert(attempt_id, attempt);
            self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(Ending::NotSent));
            return;
        }
        let Some(address) = self.addresses.get(&node) else {
            self.attempts.insert(attempt_id, attempt);
            self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(Ending::Unreachable));
            return;
        };
        let pick = self.pool.pick(now, node, &channel, W::SHARING);
        if let Pick::Replace(_, over) = pick {
            effects.push(Effect::Close(over));
        }
        let link = match pick {
            Pick::Use(link) => link,
            Pick::Open(link) | Pick::Replace(link, _) => {
                self.counts.opened += 1;
                effects.push(Effect::Open(link, node, channel, address.clone()));
                link
            }
            Pick::Full => {
                // The link limit of this process is reached, which says nothing about the node.
                self.attempts.insert(attempt_id, attempt);
                self.settle_attempt(now, attempt_id, AttemptEnd::without_reply(Ending::NoLink));
                return;
            }
        };
        attempt.link = Some(link);
        attempt.receiving = awaits_body;
        self.attempts.insert(attempt_id, attempt);
        self.attempts_on_link.entry(link).or_default().insert(attempt_id);
        self.deadlines.insert(until, Deadline::Attempt(attempt_id));
        effects.push(Effect::Send(link, attempt_id, times, request));
        if awaits_body {
            *self.receiving.entry(node).or_default() += 1;
            self.events.push(Event::Receiving(node, attempt_id, true));
            self.set_due(now, id, UNTIL_BODY_ENDS, false);
        }
    }

    fn answer(&mut self, id: RequestId, reason: Reason, answer: Answer<W::Reply>) {
        let Some(open) = self.close_request(id) else { return };
        let refused = matches!(answer, Answer::Refused(_));
        tracing::debug!(id, ?reason, tries = open.tries, refused, "given up");
        match answer {
            Answer::Refused(_) => self.counts.refused += 1,
            _ => self.counts.failed += 1,
        }
        // The send fails only if the front has gone, and then no answer is needed.
        let _ = open.back.send((id, answer));
    }
}
