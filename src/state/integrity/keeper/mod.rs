//! The keeper: takes clients' requests for exports with sums, says what is to be read and written on their
//! behalf and in which order, and when each has its final answer.

mod opening;
mod pages;
mod reads;
mod writes;

use super::entry::{Entry, Seal, Slot, MOST_BROKERS};
use super::front::Front;
use super::geometry::{Geometry, GROUP, PAGE};
use super::page::{decode, Page, Waiting};
use super::verdict::{is_bad, judge, stamp, state, State, Verdict};
use crate::interface::{RequestId, ShardId, Time};
use crate::state::deadlines::Deadlines;
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};

/// Number of an export with sums.
pub type VolumeId = u32;
/// Number of something that is to be done, never used twice.
pub type TaskId = u64;

/// Rounds in which a read that does not match is looked at again before it is sent back to its client.
const MOST_ROUNDS: u8 = 4;
/// Requests that wait here are answered so long before their clients give up.
const BEFORE_DUE: Time = 5_000;
/// How long after that an answer of the planner may come.
const AFTER_DUE: Time = 50_000;
/// When to come back for a block that another broker is writing.
const SOON: Time = 100_000;
/// Wait before a companion is tried again that could not be opened.
const OPEN_AGAIN: Time = 250_000;
/// How long opening may take.
const OPEN_WITHIN: Time = 1_000_000;
/// Least wait before a page is written again that was turned away.
const PAGE_AGAIN: Time = 5_000;
/// Fewest pages that are kept: one request needs up to five at once.
const LEAST_PAGES: usize = 16;
/// Reads of pages that hold something damaged: what goes wrong on the way is right the next time.
const MOST_TRIES: u8 = 3;
/// The one that has pages sealed waits like a request, under a number that no request has.
const SEALER: RequestId = 0;
/// The same for notes of bad blocks.
const MARKER: RequestId = RequestId::MAX;
/// Wait between two pages that are sealed, and where so many requests are open or a node failed.
const SEAL_EVERY: Time = 1_000;
const SEAL_LATER: Time = 25_000;
const SEAL_BESIDE: usize = 8;
/// Pages after which it is written down how far the sealing has come.
const SEAL_NOTED: u64 = 512;
/// How often it is looked how far other brokers have come with theirs.
const FRONTS_EVERY: Time = 1_000_000;
/// How long the write of a page may take.
const PAGE_WITHIN: Time = 2_000_000;
/// Requests that wait for a companion to be opened; further ones are told to come back.
const MOST_OPENING: usize = 256;

/// What the keeper is told of an export.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Facts {
    /// Its name: entries are bound to it.
    pub name: String,
    /// The shard whose node holds it and its companion.
    pub shard: ShardId,
    /// Its shape.
    pub shape: Geometry,
    /// Which of its brokers this one is, from 0.
    pub broker: u8,
    /// How long after it was given up a node may yet carry out a write.
    pub late: Time,
}

/// What a client asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// So many blocks from the first on.
    Read(u64, u32),
    /// Blocks from the first on, with the sums of their new data.
    Write {
        /// The first block.
        first: u64,
        /// A sum for each block.
        sums: Vec<u32>,
        /// Whether the write must be durable when it is answered.
        durable: bool,
    },
    /// All that was acknowledged becomes durable.
    Flush,
    /// The same for the scrubber: blocks that have no sum get that of what is found there.
    Scrub(u64, u32),
    /// What can be said of so many blocks from the first on; whether of the first its sum is wanted in any case.
    Describe(u64, u32, bool),
}

/// How something ended that was to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A client's read was done; the sums of the blocks that came.
    Sums(Vec<u32>),
    /// A read of the companion was done.
    Pages(Bytes),
    /// A write or flush was done.
    Done,
    /// It never ran, or it was a read; best tried again after this time.
    Refused(Time),
    /// It may have run.
    Failed,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A client asks.
    Ask {
        /// Number of the request.
        id: RequestId,
        /// The export.
        volume: VolumeId,
        /// When the client gives up.
        due: Time,
        /// What for.
        op: Op,
    },
    /// A client is gone.
    Gone(RequestId),
    /// Something that was to be done has ended.
    Done(TaskId, Outcome),
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Task {
    /// The client's request, as it stands. A write is started once only.
    Data(RequestId),
    /// A read of the companion: offset and length.
    Read(u64, u32),
    /// A write to the companion: offset, bytes, and whether it must be durable.
    Write(u64, Bytes, bool),
    /// A flush of the companion.
    Flush,
}

/// What the keeper wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Do this for the export, by that time.
    Start(TaskId, VolumeId, Task, Time),
    /// Nobody waits for this any more.
    Drop(TaskId),
    /// Final answer: what the last data task of the request brought.
    Served(RequestId),
    /// Final answer: it never ran; best tried again after this time.
    Refused(RequestId, Time),
    /// Final answer: nothing is promised.
    Failed(RequestId),
    /// Final answer: what can be said of the blocks.
    Described(RequestId, Vec<State>),
    /// Final answer: this block is not what was written there.
    Spoiled(RequestId, u64, Verdict),
}

/// What has happened since the last count.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Blocks whose sums were right.
    pub good: u64,
    /// Blocks served that have no sum.
    pub unsummed: u64,
    /// Blocks that got the sum of what was found there.
    pub adopted: u64,
    /// Reads that did not match at first.
    pub mismatches: u64,
    /// Reads that were answered with an error for what came.
    pub spoiled: u64,
    /// Reads of pages of sums.
    pub looks: u64,
    /// Writes of pages of sums.
    pub pages: u64,
    /// Writes refused since an earlier one may yet run.
    pub held_off: u64,
}

/// What the deadlines stand for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Ask(RequestId),
    Page(VolumeId, u64),
    Open(VolumeId),
    Seal(VolumeId),
    Fronts(VolumeId),
}

/// How far an export has come.
#[derive(Debug)]
enum Opening {
    /// Its front pages are to be read.
    Closed,
    /// They are being read.
    Looking,
    /// This broker's own is being written: writes wait until then.
    Entering(Time),
    /// It serves; writes wait until then.
    Open(Time),
    /// It can't be used.
    Shut,
}

#[derive(Debug)]
struct Volume {
    facts: Facts,
    seal: Seal,
    opening: Opening,
    /// What this broker's front page says.
    front: Front,
    /// Of each broker, how many groups from the first on have its page for certain.
    sealed: Vec<u64>,
    /// When it is looked next how far the others have come.
    fronts_at: Time,
    /// Requests that wait for it to be opened.
    early: VecDeque<RequestId>,
    /// This broker's pages by group; those that are not spare stay, others make room for new ones.
    pages: BTreeMap<u64, Page>,
    /// Writes under way in a group.
    pins: BTreeMap<u64, u32>,
    /// Reads of groups that several requests wait for.
    looks: BTreeMap<u64, TaskId>,
    /// Ranges of blocks that are being written: their ends and requests by their first blocks.
    active: BTreeMap<u64, (u64, RequestId)>,
    /// Writes that wait for those, in their order.
    queue: VecDeque<RequestId>,
}

/// Where a read is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadStep {
    /// Data and pages come side by side.
    First,
    /// It did not match: the pages come first.
    Before,
    /// Then the data.
    Data,
    /// Then the pages again.
    After,
}

/// Where a write is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteStep {
    /// It waits for others that overlap it.
    Queued,
    /// Pages come.
    Looking,
    /// The new sums are being put beside the old ones.
    Intending,
    /// The data is being written.
    Writing,
    /// The old sums are being dropped.
    Settling,
}

/// What a write has begun with: what was seen of others, for each block.
type Seen = ([u32; MOST_BROKERS as usize - 1], u8);

#[derive(Debug)]
enum Work {
    Read {
        step: ReadStep,
        round: u8,
        sums: Option<Vec<u32>>,
        before: Vec<u64>,
        /// The block that did not match last, and its sum.
        wrong: Option<(u64, u32)>,
        /// Blocks that have no sum get one.
        adopts: bool,
    },
    Write {
        step: WriteStep,
        sums: Vec<u32>,
        durable: bool,
        numbers: Vec<u32>,
        seen: Vec<Seen>,
    },
    Flush {
        left: u8,
    },
    Describe {
        sum: bool,
    },
}

impl Work {
    fn read(adopts: bool) -> Self {
        let step = ReadStep::First;
        Work::Read { step, round: 0, sums: None, before: Vec::new(), wrong: None, adopts }
    }
}

#[derive(Debug)]
struct Ask {
    volume: VolumeId,
    due: Time,
    first: u64,
    count: u64,
    work: Work,
    /// Pages that are still to come, or to be written.
    missing: usize,
    /// What other brokers say, by group: their pages in a row, this broker's own place left empty.
    others: BTreeMap<u64, Vec<Vec<Slot>>>,
    /// The task that carries the client's own request.
    data: Option<TaskId>,
}

impl Ask {
    fn groups(&self) -> std::ops::RangeInclusive<u64> {
        self.first / GROUP..=(self.first + self.count.max(1) - 1) / GROUP
    }
}

/// What a task was started for.
#[derive(Debug)]
enum Duty {
    Data(RequestId),
    Look(VolumeId, u64, Vec<RequestId>, u8),
    Page(VolumeId, u64),
    Flush(RequestId),
    OpenLook(VolumeId, u8),
    OpenWrite(VolumeId),
    Seal(VolumeId),
    Fronts(VolumeId),
    Note(VolumeId),
}

impl Duty {
    /// The export that it is for, unless that is known by its request alone.
    fn volume(&self) -> Option<VolumeId> {
        match self {
            Duty::Look(volume, ..)
            | Duty::Page(volume, _)
            | Duty::OpenLook(volume, _)
            | Duty::OpenWrite(volume)
            | Duty::Seal(volume)
            | Duty::Note(volume)
            | Duty::Fronts(volume) => Some(*volume),
            Duty::Data(_) | Duty::Flush(_) => None,
        }
    }
}

/// The keeper of all exports with sums of one front.
#[derive(Debug)]
pub struct Keeper {
    volumes: BTreeMap<VolumeId, Volume>,
    /// Requests without a final answer.
    asks: BTreeMap<RequestId, Ask>,
    /// Tasks that are out.
    tasks: BTreeMap<TaskId, Duty>,
    next: TaskId,
    deadlines: Deadlines<Wake>,
    /// Pages in memory by the step in which they were last of use.
    used: BTreeMap<u64, (VolumeId, u64)>,
    step: u64,
    most_pages: usize,
    /// Exports in which a write has ended, so that others may begin.
    freed: Vec<VolumeId>,
    closing: Closing,
    counts: Counts,
}

/// Whether it goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closing {
    /// It does.
    No,
    /// Nothing new is begun; what is out is waited for.
    Begun,
    /// Nothing was out, and that is being written down.
    Noted,
}

impl Keeper {
    /// A keeper that holds so many pages at most, beside those that are in use.
    pub fn new(most_pages: usize) -> Self {
        Keeper {
            volumes: BTreeMap::new(),
            asks: BTreeMap::new(),
            tasks: BTreeMap::new(),
            next: 0,
            deadlines: Deadlines::default(),
            used: BTreeMap::new(),
            step: 0,
            most_pages: most_pages.max(LEAST_PAGES),
            freed: Vec::new(),
            closing: Closing::No,
            counts: Counts::default(),
        }
    }

    /// When it must be woken at the latest.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first()
    }

    /// What has happened since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Requests without an answer, tasks that are out, and pages in memory.
    pub fn load(&self) -> (usize, usize, usize) {
        (self.asks.len(), self.tasks.len(), self.used.len())
    }

    /// Whether an export is kept here.
    pub fn has(&self, volume: VolumeId) -> bool {
        self.volumes.contains_key(&volume)
    }

    /// Takes the exports that are to be kept from now on. One that stays as it was goes on; requests for
    /// others end.
    pub fn configure(&mut self, now: Time, new: &[(VolumeId, Facts)], out: &mut Vec<Effect>) {
        let stays = |id: &VolumeId, v: &Volume| new.iter().any(|(i, f)| i == id && *f == v.facts);
        let gone: Vec<VolumeId> =
            self.volumes.iter().filter(|(id, v)| !stays(id, v)).map(|(id, _)| *id).collect();
        for id in gone {
            let asks: Vec<RequestId> =
                self.asks.iter().filter(|(_, a)| a.volume == id).map(|(id, _)| *id).collect();
            asks.into_iter().for_each(|ask| self.give_up(now, ask, 0, out));
            self.drop_tasks_of(id, out);
            if let Some(volume) = self.volumes.remove(&id) {
                for page in volume.pages.values() {
                    self.used.remove(&page.used);
                }
            }
        }
        for (id, facts) in new {
            if self.has(*id) {
                continue;
            }
            let volume = Volume {
                seal: Seal::of(&facts.name),
                facts: facts.clone(),
                opening: Opening::Closed,
                front: Front { shape: facts.shape, life: 0, clean: false, sealed: 0, scrubbed: 0 },
                sealed: vec![0; usize::from(facts.shape.brokers)],
                fronts_at: 0,
                early: VecDeque::new(),
                pages: BTreeMap::new(),
                pins: BTreeMap::new(),
                looks: BTreeMap::new(),
                active: BTreeMap::new(),
                queue: VecDeque::new(),
            };
            self.volumes.insert(*id, volume);
            self.open(now, *id, out);
        }
    }

    /// Drops the tasks that are out for an export: what comes of them would be taken for something of the export that is
    /// kept in its place next.
    fn drop_tasks_of(&mut self, volume: VolumeId, out: &mut Vec<Effect>) {
        let dropped: Vec<TaskId> =
            self.tasks.iter().filter(|(_, duty)| duty.volume() == Some(volume)).map(|(id, _)| *id).collect();
        for task in dropped {
            self.tasks.remove(&task);
            out.push(Effect::Drop(task));
        }
    }

    /// Has all requests answered by `at`, whatever their own deadlines are.
    pub fn answer_all_by(&mut self, at: Time) {
        for (id, ask) in self.asks.iter_mut().filter(|(_, ask)| ask.due > at) {
            self.deadlines.remove(ask.due - BEFORE_DUE, Wake::Ask(*id));
            self.deadlines.remove(ask.due + AFTER_DUE, Wake::Ask(*id));
            self.deadlines.insert(at - BEFORE_DUE, Wake::Ask(*id));
            ask.due = at;
        }
    }

    /// Takes what has happened.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Ask { id, volume, due, op } => self.ask(now, id, volume, due, op, out),
            Event::Gone(id) => self.gone(now, id, out),
            Event::Done(task, outcome) => self.done(now, task, outcome, out),
        }
        self.admit_freed(now, out);
        self.close(now, out);
    }

    /// Sweeps the deadlines.
    pub fn sweep(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some((at, wake)) = self.deadlines.pop_due(now) {
            match wake {
                Wake::Ask(id) => self.overdue(now, id, out),
                Wake::Page(volume, group) => {
                    let page = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&group));
                    if let Some(page) = page {
                        page.again = page.again.filter(|at| *at > now);
                    }
                    self.write_page(now, volume, group, out);
                }
                Wake::Open(volume) => self.open(now, volume, out),
                Wake::Seal(volume) => self.seal_next(now, volume, out),
                Wake::Fronts(volume) => {
                    // One of an export that has gone and come again since is not followed.
                    if self.volumes.get(&volume).is_some_and(|v| v.fronts_at == at) {
                        self.look_at_fronts(now, volume, out);
                    }
                }
            }
        }
        self.admit_freed(now, out);
    }

    /// Lets waiting writes begin where others have ended. A list and no call from there: each that begins can
    /// end at once, and there may be thousands.
    fn admit_freed(&mut self, now: Time, out: &mut Vec<Effect>) {
        while let Some(volume) = self.freed.pop() {
            self.admit(now, volume, out);
        }
    }

    fn start(
        &mut self,
        volume: VolumeId,
        duty: Duty,
        task: Task,
        due: Time,
        out: &mut Vec<Effect>,
    ) -> TaskId {
        self.next += 1;
        self.tasks.insert(self.next, duty);
        out.push(Effect::Start(self.next, volume, task, due));
        self.next
    }

    // ---- Requests.

    pub(super) fn ask(
        &mut self,
        now: Time,
        id: RequestId,
        volume: VolumeId,
        due: Time,
        op: Op,
        out: &mut Vec<Effect>,
    ) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return out.push(Effect::Failed(id)) };
        let (first, count, work) = match op {
            Op::Read(first, count) => (first, u64::from(count), Work::read(false)),
            Op::Scrub(first, count) => (first, u64::from(count), Work::read(true)),
            Op::Describe(first, count, sum) => (first, u64::from(count), Work::Describe { sum }),
            Op::Write { first, sums, durable } => {
                let step = WriteStep::Queued;
                let count = sums.len() as u64;
                (first, count, Work::Write { step, sums, durable, numbers: Vec::new(), seen: Vec::new() })
            }
            Op::Flush => (0, 0, Work::Flush { left: 2 }),
        };
        let ask = Ask { volume, due, first, count, work, missing: 0, others: BTreeMap::new(), data: None };
        match kept.opening {
            Opening::Shut => return out.push(Effect::Failed(id)),
            Opening::Open(_) => {}
            _ if kept.early.len() >= MOST_OPENING => return out.push(Effect::Refused(id, OPEN_AGAIN)),
            _ => kept.early.push_back(id),
        }
        let begins = matches!(kept.opening, Opening::Open(_));
        self.asks.insert(id, ask);
        self.deadlines.insert(due - BEFORE_DUE, Wake::Ask(id));
        if begins {
            self.begin(now, id, out);
        }
    }

    pub(super) fn begin(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let volume = ask.volume;
        match ask.work {
            Work::Read { .. } => {
                // Of what is known to be bad the node is not asked again.
                if let Some(block) = self.known_bad(id) {
                    self.counts.spoiled += 1;
                    return self.end(id, Effect::Spoiled(id, block, Verdict::Wrong), out);
                }
                self.start_data(id, out);
                self.look(now, id, out);
            }
            Work::Describe { .. } => self.look(now, id, out),
            Work::Write { .. } => {
                if let Some(volume) = self.volumes.get_mut(&volume) {
                    volume.queue.push_back(id);
                }
                self.admit(now, volume, out);
            }
            Work::Flush { .. } => {
                let due = ask.due;
                self.start_data(id, out);
                self.start(volume, Duty::Flush(id), Task::Flush, due, out);
            }
        }
    }

    pub(super) fn start_data(&mut self, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let (volume, due) = (ask.volume, ask.due);
        let task = self.start(volume, Duty::Data(id), Task::Data(id), due, out);
        if let Some(ask) = self.asks.get_mut(&id) {
            ask.data = Some(task);
        }
    }

    /// Ends a request with its final answer; nothing of it is left behind but what is written of it.
    pub(super) fn end(&mut self, id: RequestId, answer: Effect, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.remove(&id) else { return };
        out.push(answer);
        self.deadlines.remove(ask.due - BEFORE_DUE, Wake::Ask(id));
        self.deadlines.remove(ask.due + AFTER_DUE, Wake::Ask(id));
        if let Some(task) = ask.data {
            self.tasks.remove(&task);
            out.push(Effect::Drop(task));
        }
        let Some(volume) = self.volumes.get_mut(&ask.volume) else { return };
        for group in ask.groups() {
            if let Some(page) = volume.pages.get_mut(&group) {
                page.waiting.remove(&id);
            }
        }
        volume.early.retain(|early| *early != id);
        let Work::Write { step, .. } = ask.work else { return };
        match step {
            WriteStep::Queued => volume.queue.retain(|queued| *queued != id),
            _ => {
                volume.active.remove(&ask.first);
                for group in ask.groups() {
                    if let Some(pins) = volume.pins.get_mut(&group) {
                        *pins -= 1;
                        if *pins == 0 {
                            volume.pins.remove(&group);
                        }
                    }
                }
            }
        }
        if !self.freed.contains(&ask.volume) {
            self.freed.push(ask.volume);
        }
    }

    /// Ends a request that will not be served: refused where that is true, else failed.
    pub(super) fn give_up(&mut self, now: Time, id: RequestId, wait: Time, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let may_have_run = match &ask.work {
            Work::Read { .. } | Work::Describe { .. } => false,
            Work::Write { step, .. } => matches!(step, WriteStep::Writing | WriteStep::Settling),
            Work::Flush { .. } => true,
        };
        match may_have_run {
            true => self.doubt(now, id),
            false => self.undo(id),
        }
        let answer = if may_have_run { Effect::Failed(id) } else { Effect::Refused(id, wait) };
        self.end(id, answer, out);
    }

    pub(super) fn overdue(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let out_there = match &ask.work {
            Work::Write { step, .. } => *step == WriteStep::Writing,
            Work::Flush { .. } => true,
            Work::Read { .. } | Work::Describe { .. } => false,
        };
        if out_there && now < ask.due + AFTER_DUE {
            // The planner answers by then.
            return self.deadlines.insert(ask.due + AFTER_DUE, Wake::Ask(id));
        }
        self.give_up(now, id, 0, out);
    }

    /// A client is gone. A write that is out goes on: what becomes of it must be known.
    pub(super) fn gone(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let out_there =
            matches!(&ask.work, Work::Write { step: WriteStep::Writing | WriteStep::Settling, .. });
        if !out_there {
            self.give_up(now, id, 0, out);
        }
    }

    // ---- Progress.

    pub(super) fn done(&mut self, now: Time, task: TaskId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(duty) = self.tasks.remove(&task) else { return };
        match duty {
            Duty::Data(id) => self.data_done(now, id, outcome, out),
            Duty::Look(volume, group, waiting, tries) => {
                self.looked(now, (volume, group, waiting, tries), outcome, out);
            }
            Duty::Page(volume, group) => self.page_written(now, volume, group, outcome, out),
            Duty::Flush(id) => self.flushed(id, outcome, out),
            Duty::Seal(id) => self.seal_noted(now, id, outcome, out),
            Duty::Note(_) => {}
            Duty::Fronts(id) => self.fronts_seen(now, id, outcome),
            Duty::OpenLook(id, tries) => match outcome {
                Outcome::Pages(pages) => self.opened(now, id, &pages, tries, out),
                _ => self.open_failed(now, id),
            },
            Duty::OpenWrite(id) => match outcome {
                Outcome::Done => self.entered(now, id, out),
                _ => self.open_failed(now, id),
            },
        }
    }

    pub(super) fn flushed(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(Ask { work: Work::Flush { left }, .. }) = self.asks.get_mut(&id) else { return };
        *left = left.saturating_sub(1);
        match (outcome, *left) {
            (Outcome::Done, 0) => self.end(id, Effect::Served(id), out),
            (Outcome::Done, _) => {}
            // A flush may run again; what one half of it did harms nothing.
            (Outcome::Refused(wait), _) => self.end(id, Effect::Refused(id, wait), out),
            _ => self.end(id, Effect::Failed(id), out),
        }
    }

    pub(super) fn data_done(&mut self, now: Time, id: RequestId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get_mut(&id) else { return };
        ask.data = None;
        match (&mut ask.work, outcome) {
            (Work::Flush { .. }, outcome) => self.flushed(id, outcome, out),
            (Work::Read { sums, .. }, Outcome::Sums(came)) => {
                *sums = Some(came);
                self.advance(now, id, out);
            }
            (Work::Read { .. }, Outcome::Refused(wait)) => self.give_up(now, id, wait, out),
            (Work::Write { .. }, Outcome::Done) => self.settle(now, id, out),
            (Work::Write { .. }, Outcome::Refused(wait)) => {
                // The node never saw it.
                self.undo(id);
                self.end(id, Effect::Refused(id, wait), out);
            }
            (work, _) => {
                if let Work::Write { .. } = work {
                    self.doubt(now, id);
                }
                self.end(id, Effect::Failed(id), out);
            }
        }
    }

    /// Goes on with a request when all that it waited for has come.
    pub(super) fn advance(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get_mut(&id).filter(|a| a.missing == 0) else { return };
        match &mut ask.work {
            Work::Read { step: ReadStep::First, sums: Some(_), .. } => self.judge(now, id, out),
            Work::Read { step: ReadStep::First, .. } => {}
            Work::Read { step: ReadStep::Before, .. } => {
                let stamps = self.stamps(id);
                let Some(ask) = self.asks.get_mut(&id) else { return };
                if let Work::Read { step, sums, before, .. } = &mut ask.work {
                    (*step, *sums, *before) = (ReadStep::Data, None, stamps);
                }
                self.start_data(id, out);
            }
            Work::Read { step, sums: Some(_), .. } if *step == ReadStep::Data => {
                *step = ReadStep::After;
                self.look(now, id, out);
            }
            Work::Read { step: ReadStep::After, .. } => self.judge(now, id, out),
            Work::Read { .. } => {}
            Work::Write { step: WriteStep::Looking, .. } => self.intend(now, id, out),
            Work::Write { step, .. } if *step == WriteStep::Intending => {
                *step = WriteStep::Writing;
                self.start_data(id, out);
            }
            Work::Write { step: WriteStep::Settling, .. } => self.end(id, Effect::Served(id), out),
            Work::Describe { sum } => {
                let sum = *sum;
                self.describe(now, id, sum, out);
            }
            Work::Write { .. } | Work::Flush { .. } => {}
        }
    }
}
