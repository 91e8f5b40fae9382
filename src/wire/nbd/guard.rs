//! The interceptor that keeps the promise of exports with sums: client's requests for them are taken here, and the
//! planner is asked for what the keeper wants in their place. Requests for other exports pass through.

use super::server::{Catalogue, Export, Exports};
use super::{Nbd, Operation, Part, Request, Target};
use crate::interface::{Arrival, NodeState, RequestId, ShardId, Time};
use crate::state::integrity::{
    sums, Effect, Event, Facts, Keeper, Op, Outcome, State, Task, TaskId, VolumeId, BLOCK,
};
use crate::state::interceptor::Interceptor;
use crate::state::planner::{Answer, AnswerSender, ClientRequest, Input, ListedNode, OpenByShard};
use crate::state::scrub::{self, NodeStatus, ReadResult, Scrub};
use crate::wire::session::RequestIds;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A client's request that has no final answer.
struct Held {
    arrival: Arrival,
    request: Request,
    /// Where its answer goes; nowhere for reads of the scrubber.
    back: Option<AnswerSender<Vec<Part>>>,
    since: Time,
    /// What was read last for it.
    parts: Vec<Part>,
}

/// What a request to the planner is for.
enum What {
    /// The client's own.
    Data(RequestId),
    /// A read of the companion.
    Pages,
    /// A write or flush of the companion.
    Rest,
}

/// The interceptor.
pub struct Guard {
    keeper: Keeper,
    exports: Exports,
    /// The exports that the keeper was configured with last: its tasks are for these, whatever has come since.
    configured: Rc<Catalogue>,
    numbers: RequestIds,
    back: AnswerSender<Vec<Part>>,
    answers: UnboundedReceiver<(RequestId, Answer<Vec<Part>>)>,
    held: BTreeMap<RequestId, Held>,
    /// Requests to the planner: ended by their answers, of which the planner owes one each, or when they are
    /// dropped.
    asked: BTreeMap<RequestId, (TaskId, What)>,
    numbers_of: BTreeMap<TaskId, RequestId>,
    effects: Vec<Effect>,
    scrub: Scrub,
    /// From when on the node that holds a shard is warm; none of shards whose node takes no work.
    warm_from: BTreeMap<ShardId, Time>,
    /// Time in which a node that has started becomes warm.
    cold: Time,
    /// The scrubber reads no more.
    stopping: bool,
}

/// A request that took so long shows that its node stands still, or is near it.
const SLOW: Time = 40_000;

impl Guard {
    /// A guard for these exports that keeps so many pages of sums; nodes are warm after `cold`.
    pub fn new(exports: Exports, numbers: RequestIds, most_pages: usize, cold: Time) -> Self {
        let (back, answers) = unbounded_channel();
        Guard {
            keeper: Keeper::new(most_pages),
            exports,
            configured: Rc::default(),
            numbers,
            back,
            answers,
            held: BTreeMap::new(),
            asked: BTreeMap::new(),
            numbers_of: BTreeMap::new(),
            effects: Vec::new(),
            scrub: Scrub::default(),
            warm_from: BTreeMap::new(),
            cold,
            stopping: false,
        }
    }

    /// Takes the exports as they are now.
    fn configure(&mut self, now: Time) {
        let exports = self.exports.borrow().clone();
        self.configured = exports.clone();
        let kept =
            exports.0.iter().zip(0..).filter_map(|(e, place)| Some((place, e.as_ref()?.sums.clone()?)));
        let kept: Vec<(VolumeId, Facts)> = kept.collect();
        self.keeper.configure(now, &kept, &mut self.effects);
        self.scrub.retain(|volume| exports.get(volume).is_some_and(|e| e.scrub.is_some()));
    }

    /// Takes the nodes as they are now.
    fn nodes(&mut self, members: &[ListedNode]) {
        self.warm_from.clear();
        for entry in members.iter().map(|m| &m.entry).filter(|e| e.state == NodeState::Up) {
            let from = entry.started.map_or(Time::MIN, |started| started + self.cold);
            let known = self.warm_from.entry(entry.shard).or_insert(from);
            *known = from.max(*known);
        }
    }

    /// Has the scrubber read what it may.
    fn scrub(&mut self, now: Time, open: &OpenByShard) {
        let exports = self.configured.clone();
        for (export, volume) in exports.0.iter().zip(0..) {
            let Some((export, (_, within))) = export.as_ref().and_then(|e| Some((e, e.scrub?))) else {
                continue;
            };
            if let Some(from) = self.keeper.scrubbed_to(volume) {
                let (blocks, shard) = (export.size / BLOCK, export.shard);
                self.scrub.add(now, volume, scrub::ExportInfo { blocks, shard, period: within }, from);
            }
        }
        let warm_from = &self.warm_from;
        let status = |shard| NodeStatus {
            open: open.get(&Some(shard)).copied().unwrap_or(0),
            ready: warm_from.get(&shard).is_some_and(|from| *from <= now),
        };
        for (volume, range) in self.scrub.poll(now, status) {
            let Some((export, (kind, _))) = exports.get(volume).and_then(|e| Some((e, e.scrub?))) else {
                self.scrub.read_ended(now, volume, ReadResult::Failed);
                continue;
            };
            let (id, due) = (self.numbers.next(), now + kind.deadline);
            let (offset, length) = (range.first * BLOCK, (range.count * BLOCK) as u32);
            let request = Request {
                place: volume,
                export: export.clone(),
                target: Target::Data,
                operation: Operation::Read,
                durable: false,
                offset,
                length,
                describe: None,
            };
            let arrival = arrival(id, export, kind.class, due);
            self.held.insert(id, Held { arrival, request, back: None, since: now, parts: Vec::new() });
            let op = Op::Scrub(range.first, range.count as u32);
            self.keeper.handle(now, Event::Ask { id, volume, due, op }, &mut self.effects);
        }
    }

    fn ask(&mut self, now: Time, ask: ClientRequest<Nbd>) {
        let ClientRequest { arrival, request, back, .. } = ask;
        let (id, volume, due) = (arrival.id, request.place, arrival.due);
        let first = request.offset / BLOCK;
        let op = match &request.operation {
            Operation::Read if request.describe.is_some() => {
                Op::Describe(first, request.length / BLOCK as u32, request.describe == Some(true))
            }
            Operation::Read => Op::Read(first, request.length / BLOCK as u32),
            Operation::Write(data) => {
                Op::Write { first, sums: sums([(Some(&data[..]), data.len())]), durable: request.durable }
            }
            Operation::Flush => Op::Flush,
        };
        self.held.insert(id, Held { arrival, request, back: Some(back), since: now, parts: Vec::new() });
        self.keeper.handle(now, Event::Ask { id, volume, due, op }, &mut self.effects);
    }

    /// Carries out what the keeper wants.
    fn carry_out(&mut self, now: Time, on: &mut Vec<Input<Nbd>>) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Start(task, volume, what, due) => self.start(task, volume, what, due, on),
                    Effect::Drop(task) => {
                        if let Some(id) = self.numbers_of.remove(&task) {
                            self.asked.remove(&id);
                            on.push(Input::ClientGone(id));
                        }
                    }
                    Effect::Served(id) => self.answer(now, id, ReadResult::Valid, Answer::Served),
                    Effect::Described(id, states) => {
                        let answer = Answer::Served(vec![Part::Described(states)]);
                        self.answer(now, id, ReadResult::Failed, |_| answer);
                    }
                    Effect::Refused(id, wait) => {
                        self.answer(now, id, ReadResult::Failed, |_| Answer::Refused(wait));
                    }
                    Effect::Failed(id) => self.answer(now, id, ReadResult::Failed, |_| Answer::Failed),
                    Effect::Spoiled(id, block, _) => {
                        let answer = Answer::Served(vec![Part::Spoiled(block * BLOCK)]);
                        self.answer(now, id, ReadResult::Bad(block), |_| answer);
                    }
                }
            }
        }
    }

    /// Gives a request its final answer; the scrubber learns what was found.
    fn answer(
        &mut self,
        now: Time,
        id: RequestId,
        found: ReadResult,
        answer: impl FnOnce(Vec<Part>) -> Answer<Vec<Part>>,
    ) {
        let Some(held) = self.held.remove(&id) else { return };
        match held.back {
            Some(back) => {
                if let Some(shard) = held.arrival.shard.filter(|_| now - held.since > SLOW) {
                    self.scrub.slow_request(now, shard);
                }
                // A front that is gone needs no answer.
                let _ = back.send((id, answer(held.parts)));
            }
            None => {
                let volume = held.request.place;
                if let Some(at) = self.scrub.read_ended(now, volume, found) {
                    self.keeper.note_scrubbed(now, volume, at, &mut self.effects);
                }
            }
        }
    }

    /// Asks the planner for what a task needs.
    fn start(&mut self, task: TaskId, volume: VolumeId, what: Task, due: Time, on: &mut Vec<Input<Nbd>>) {
        // The keeper has no tasks for an export that it does not keep.
        let Some(export) = self.configured.get(volume).cloned() else { return };
        let id = self.numbers.next();
        let companion = |operation, durable, offset, length| Request {
            place: volume,
            export: export.clone(),
            target: Target::Sums,
            operation,
            durable,
            offset,
            length,
            describe: None,
        };
        let mut of_client = None;
        let (purpose, request) = match what {
            Task::Data(client) => {
                let Some(held) = self.held.get(&client) else { return };
                let mut request = held.request.clone();
                if request.describe.take().is_some() {
                    // Its first block tells.
                    request.length = BLOCK as u32;
                }
                of_client = Some(Arrival { id, ..held.arrival.clone() });
                (What::Data(client), request)
            }
            Task::Read(offset, length) => (What::Pages, companion(Operation::Read, false, offset, length)),
            Task::Write(offset, bytes, durable) => {
                let length = bytes.len() as u32;
                (What::Rest, companion(Operation::Write(bytes), durable, offset, length))
            }
            Task::Flush => (What::Rest, companion(Operation::Flush, false, 0, 0)),
        };
        let of_companion = || arrival(id, &export, companion_class(&export, &request.operation), due);
        let arrival = of_client.unwrap_or_else(of_companion);
        self.asked.insert(id, (task, purpose));
        self.numbers_of.insert(task, id);
        let back = self.back.clone();
        on.push(Input::Request(ClientRequest { arrival, request, back, of_client: false }));
    }

    /// The planner's answer to one of our requests.
    fn answered(&mut self, now: Time, id: RequestId, answer: Answer<Vec<Part>>) {
        let Some((task, what)) = self.asked.remove(&id) else { return };
        self.numbers_of.remove(&task);
        let outcome = match (answer, what) {
            (Answer::Refused(wait), _) => Outcome::Refused(wait),
            (Answer::Failed, _) => Outcome::Failed,
            (Answer::Served(parts), What::Pages) => Outcome::Pages(joined(parts)),
            (Answer::Served(_), What::Rest) => Outcome::Done,
            (Answer::Served(parts), What::Data(client)) => match self.held.get_mut(&client) {
                Some(held) if held.request.operation == Operation::Read => {
                    let sums = sums(parts.iter().map(text));
                    held.parts = match (held.request.describe, sums.first()) {
                        (Some(_), Some(sum)) => vec![Part::Described(vec![State::Sound(*sum)])],
                        _ => parts,
                    };
                    Outcome::Sums(sums)
                }
                _ => Outcome::Done,
            },
        };
        self.keeper.handle(now, Event::Done(task, outcome), &mut self.effects);
    }
}

/// The class of a request for the companion of an export: the one of the client's requests of that kind.
fn companion_class(export: &Export, operation: &Operation) -> usize {
    let [read, write, flush] = export.kinds;
    match operation {
        Operation::Read => read.class,
        Operation::Write(_) => write.class,
        Operation::Flush => flush.class,
    }
}

/// What the scheduler is told of a request of the broker's own: a unit for the volume of an export.
fn arrival(id: RequestId, export: &Export, class: usize, due: Time) -> Arrival {
    Arrival {
        id,
        class,
        plan: export.plan,
        key: None,
        due,
        volume: export.name.to_string(),
        units: 1.0,
        shard: Some(export.shard),
        volume_hosts: export.hosts,
        repeat: false,
    }
}

/// A part as bytes, or as so many zeroes.
fn text(part: &Part) -> (Option<&[u8]>, usize) {
    match part {
        Part::Data(_, data) => (Some(data), data.len()),
        Part::Hole(_, length) => (None, *length as usize),
        Part::Spoiled(_) | Part::Described(_) => (None, 0),
    }
}

/// All that was read in a row; copied only where it came in pieces.
fn joined(mut parts: Vec<Part>) -> Bytes {
    if let [Part::Data(..)] = &parts[..] {
        if let Some(Part::Data(_, data)) = parts.pop() {
            return data;
        }
    }
    let mut all = BytesMut::new();
    for (bytes, length) in parts.iter().map(text) {
        match bytes {
            Some(bytes) => all.extend_from_slice(bytes),
            None => all.resize(all.len() + length, 0),
        }
    }
    all.freeze()
}

impl Interceptor<Nbd> for Guard {
    fn take(&mut self, now: Time, input: Input<Nbd>, on: &mut Vec<Input<Nbd>>) {
        match input {
            Input::Request(ask) if self.keeper.has(ask.request.place) => self.ask(now, ask),
            // Its export had sums when the client asked.
            Input::Request(ask) if ask.request.describe.is_some() => {
                // A front that is gone needs no answer.
                let _ = ask.back.send((ask.arrival.id, Answer::Failed));
            }
            Input::ClientGone(id) if self.held.contains_key(&id) => {
                self.keeper.handle(now, Event::Gone(id), &mut self.effects);
            }
            Input::AnswerAllBy(at) => {
                self.keeper.answer_all_by(at);
                on.push(input);
            }
            Input::Nodes(_, ref members) => {
                self.nodes(members);
                on.push(input);
                self.configure(now);
            }
            _ => return on.push(input),
        }
        self.carry_out(now, on);
    }

    fn collect_answers(&mut self, now: Time, on: &mut Vec<Input<Nbd>>) {
        while let Ok((id, answer)) = self.answers.try_recv() {
            self.answered(now, id, answer);
        }
        self.carry_out(now, on);
    }

    fn sweep(&mut self, now: Time, open: &OpenByShard, on: &mut Vec<Input<Nbd>>) {
        self.keeper.sweep(now, &mut self.effects);
        if !self.stopping {
            self.scrub(now, open);
        }
        self.carry_out(now, on);
    }

    fn next_deadline(&self) -> Option<Time> {
        let scrub = self.scrub.next_deadline().filter(|_| !self.stopping);
        self.keeper.next_deadline().into_iter().chain(scrub).min()
    }

    fn stop(&mut self, now: Time, on: &mut Vec<Input<Nbd>>) {
        self.stopping = true;
        self.keeper.stop(now, &mut self.effects);
        self.carry_out(now, on);
    }

    fn is_stopped(&self) -> bool {
        self.keeper.is_stopped()
    }

    fn report(&mut self, now: Time) {
        let (asks, tasks, pages) = self.keeper.load();
        let counts = self.keeper.take_counts();
        if asks > 0 || counts != Default::default() {
            tracing::info!(asks, tasks, pages, ?counts, "integrity");
        }
        let counts = self.scrub.take_counts();
        if counts != Default::default() {
            tracing::info!(?counts, "scrub");
        }
        for (volume, behind) in self.scrub.behind(now) {
            let export = self.configured.get(volume).map(|e| e.name.as_str());
            tracing::warn!(export, behind_s = behind / 1_000_000, "scrub is behind: live work comes first");
        }
    }
}
