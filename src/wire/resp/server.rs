//! The server's side of RESP2: a session with a client.

use super::*;
use crate::interface::{Arrival, Class, RequestId};
use crate::state::buffer_budget::{BufferBudget, Reservation};
use crate::state::phase::Phase;
use crate::state::pipe::{pipe, PipeWriter, Progress, WINDOW};
use crate::state::planner::Answer;
use crate::state::stable_index::Indexed;
use crate::wire::link::{either, Wakeup};
use crate::wire::session::{RequestIds, Session};
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::watch;

/// Commands of one client that may wait for their answers.
const MOST_SLOTS: usize = 256;
/// Bytes of a long value that wait to be written at most.
const MOST_AHEAD: u64 = 32 * 1024;
/// Bytes of their bodies that may be held at once.
const MOST_HELD: usize = 1 << 20;
/// What a request takes beside its body: its words here, its state with the planner and the scheduler.
const REQUEST_BYTES: usize = 2 * 1024;
/// Longest id of a request.
const MOST_ID: usize = 64;
/// Digits of a piece of data and of a volume.
const HEX_DIGITS: usize = 16;
/// How many times its class's whole time a client may say that it waits: more is a mistake, and would be
/// kept for as long.
const MOST_WAITS: Time = 2;
/// Taken off a client's deadline: what its request needed to get here and what the answer will, 0.7 to 1.3 ms
/// each way, and how late timers run, up to 3 ms. An answer given at the deadline must find the client there.
/// It only ever brings an answer forward.
const TRANSIT: Time = 6_000;

/// What requests of a class may say.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSchema {
    /// Its name.
    pub name: String,
    /// How long its clients wait in all.
    pub deadline: Time,
    /// Whether its requests write; nothing where the settings leave it open.
    pub writes: Option<bool>,
    /// What the scheduler is told of it.
    pub class: Class,
}

/// What requests may say, by the settings. Whatever else they say is no use to any node.
#[derive(Debug, Default)]
pub struct RequestSchema {
    /// The classes with their places at the scheduler.
    pub classes: Vec<Rc<Indexed<ClassSchema>>>,
    /// Names of the plans, with theirs.
    pub plans: Vec<(String, usize)>,
    /// Most units of a request.
    pub most_units: u32,
    /// Number of shards, where the settings tell.
    pub shards: Option<u32>,
}

impl RequestSchema {
    /// How long a request may wait to be taken: half of the shortest deadline, since one that is refused by then has time to go
    /// elsewhere.
    pub fn accept_timeout(&self) -> Time {
        self.classes.iter().map(|class| class.value.deadline / 2).min().unwrap_or(Time::MAX)
    }
}

/// What the sessions of a front share.
pub struct SharedState {
    /// What requests may say; replaced as a whole.
    pub schema: RefCell<Rc<RequestSchema>>,
    /// RequestIds for requests.
    pub request_ids: RequestIds,
    /// Room for what is open.
    pub budget: BufferBudget,
    /// The broker's phase.
    phase: watch::Receiver<Phase>,
    /// Ids of the requests that are open, by whatever client.
    open: RefCell<BTreeSet<Box<[u8]>>>,
}

impl SharedState {
    /// For sessions of which none has begun.
    pub fn new(schema: RequestSchema, budget: BufferBudget, phase: watch::Receiver<Phase>) -> Self {
        let schema = RefCell::new(Rc::new(schema));
        SharedState { schema, request_ids: RequestIds::default(), budget, phase, open: RefCell::default() }
    }
}

/// A request that is still to be answered.
struct Owed {
    /// Its class as it was taken, whose place is not given away as long.
    _class: Rc<Indexed<ClassSchema>>,
    number: RequestId,
    id: Box<[u8]>,
    /// Bytes of its body.
    body: usize,
}

/// What a client has asked for.
enum Asked {
    Request(Owed),
    /// Answered without a node.
    Line(&'static [u8]),
    Quit,
}

/// What is still to be answered, in the order of the commands.
enum Slot {
    Owed(Owed),
    Ready(Vec<Bytes>),
    /// A value that is passed on while it comes.
    Long(PipeReader),
    /// A value that is gathered before it is passed on, since other answers stand behind it: if it broke off on the way, the
    /// connection would have to end under them.
    Gathered(Gathered),
}

/// A long value of which some has come.
struct Gathered {
    taker: PipeReader,
    length: usize,
    parts: Vec<Bytes>,
}

impl Gathered {
    /// Takes what has come. Gives the answer once all has, or once the rest will not.
    fn gather(&mut self) -> Option<Vec<Bytes>> {
        while let Some(bytes) = self.taker.take() {
            self.parts.push(bytes);
        }
        match self.taker.progress() {
            Progress::Ongoing => None,
            Progress::Broken => Some(vec![Bytes::from_static(FAILED)]),
            Progress::Complete => {
                let mut answer = vec![value_head(self.length)];
                answer.append(&mut self.parts);
                answer.push(Bytes::from_static(b"\r\n"));
                Some(answer)
            }
        }
    }
}

/// The first line of a value.
fn value_head(length: usize) -> Bytes {
    format!("${length}\r\n").into()
}

/// The answer to a request that was sent nowhere: trying again is harmless.
const BUSY: &[u8] = b"-BUSY\r\n";
/// The answer to a request that failed.
const FAILED: &[u8] = b"-ERR failed\r\n";

/// A long body on its way from the client.
struct Upload {
    /// Where it goes; nowhere once its request has its answer.
    giver: Option<PipeWriter>,
    /// Bytes still to come, without the end of the line.
    left: usize,
    /// The request, and how long its client waits from its last byte on.
    request: Option<(RequestId, Time)>,
}

/// A client's session.
pub struct Client {
    common: Rc<SharedState>,
    slots: VecDeque<Slot>,
    held: usize,
    /// Room for the values that are not written yet.
    values: Reservation,
    /// Room for what was read and is not taken.
    untaken: Reservation,
    outbox: Outbox,
    upload: Option<Upload>,
    /// Requests whose long bodies have come whole, and when their clients give up.
    whole: VecDeque<(RequestId, Time)>,
    ending: bool,
    broken: bool,
}

/// What the scheduler is told of a request, where its deadline stands, and its class.
type Taken = (Arrival, Range<usize>, Rc<Indexed<ClassSchema>>);
/// The error line for a command.
type Wrong = &'static [u8];

impl Client {
    /// A session of a client that has just connected.
    pub fn new(common: Rc<SharedState>) -> Self {
        let (values, untaken) = (common.budget.empty_reservation(), common.budget.empty_reservation());
        Client {
            common,
            slots: VecDeque::new(),
            held: 0,
            values,
            untaken,
            outbox: Outbox::default(),
            upload: None,
            whole: VecDeque::new(),
            ending: false,
            broken: false,
        }
    }

    fn command(
        &self,
        now: Time,
        value: Value,
        asks: &mut Vec<(Arrival, Command)>,
    ) -> Result<Asked, &'static [u8]> {
        let Value::Array(Some(items)) = value else {
            return Err(b"-ERR expected an array of bulk strings\r\n");
        };
        let words: Option<Vec<Bytes>> =
            items.into_iter().map(|i| if let Value::Bulk(word) = i { word } else { None }).collect();
        let Some(words) = words else { return Err(b"-ERR expected an array of bulk strings\r\n") };
        let Some(verb) = words.first() else { return Err(b"-ERR empty command\r\n") };
        let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
        match () {
            () if is("OBJ.GET") => self.request(now, words, "OBJ.GET", None, asks),
            () if is("OBJ.PUT") => self.request(now, words, "OBJ.PUT", None, asks),
            () if is("PING") && self.common.phase.borrow().answers_ping() => Ok(Asked::Line(b"+PONG\r\n")),
            () if is("PING") => Err(b"-ERR the broker takes no clients\r\n"),
            () if is("CLIENT") || is("SELECT") => Ok(Asked::Line(b"+OK\r\n")),
            () if is("QUIT") => Ok(Asked::Quit),
            () => Err(b"-ERR unknown command\r\n"),
        }
    }

    /// Takes a request that nodes can use; of any other nothing is kept.
    fn request(
        &self,
        now: Time,
        words: Vec<Bytes>,
        verb: &'static str,
        long: Option<(PipeReader, usize)>,
        asks: &mut Vec<(Arrival, Command)>,
    ) -> Result<Asked, Wrong> {
        let put = verb == "OBJ.PUT";
        if words.len() != 4 + usize::from(put && long.is_none()) {
            return Err(b"-ERR wrong number of arguments\r\n");
        }
        let mut words = words.into_iter().skip(1);
        let mut next = || words.next().unwrap_or_default();
        let (piece, id, list) = (next(), next(), next());
        // Of a long body, what its window may hold.
        let (body, held) = match long {
            Some((taker, length)) => (Some(Body::Streamed(taker, length)), WINDOW),
            None => {
                let body = put.then(next);
                let held = body.as_ref().map_or(0, Bytes::len);
                (body.map(Body::Buffered), held)
            }
        };
        if !is_hex(&piece) {
            return Err(b"-ERR malformed piece\r\n");
        }
        if id.is_empty() || id.len() > MOST_ID || !id.iter().all(u8::is_ascii_graphic) {
            return Err(b"-ERR malformed id\r\n");
        }
        let (mut arrival, deadline, class) = self.arrival(now, &list, put)?;
        arrival.key = Some(String::from_utf8_lossy(&piece).into_owned());
        // A copy, so that the set does not pin what was read.
        let owed = Owed { _class: class, number: arrival.id, id: id.as_ref().into(), body: held };
        if self.common.open.borrow().contains(&owed.id) {
            return Err(b"-ERR id of a request that is open\r\n");
        }
        if !self.common.budget.reserve(REQUEST_BYTES + held) {
            return Err(BUSY);
        }
        self.common.open.borrow_mut().insert(owed.id.clone());
        // The one line that tells which number in the log is which request of a client.
        tracing::debug!(number = arrival.id, id = %id.escape_ascii(), verb, "request");
        asks.push((arrival, Command { verb, piece, id, fields: list, deadline, body }));
        Ok(Asked::Request(owed))
    }

    /// What the list of a request says, all but its key, and where its deadline stands.
    fn arrival(&self, now: Time, list: &Bytes, put: bool) -> Result<Taken, Wrong> {
        let terms = self.common.schema.borrow().clone();
        let pairs = fields(list).ok_or(&b"-ERR malformed fields\r\n"[..])?;
        let twice = |(i, (name, _)): (usize, &(&[u8], &[u8]))| pairs[..i].iter().any(|(n, _)| n == name);
        if pairs.iter().enumerate().any(twice) {
            return Err(b"-ERR a field stands twice\r\n");
        }
        let find = |name: &[u8]| pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let is = |name: &str, field: &[u8]| Some(name.as_bytes()) == find(field);
        let class = terms.classes.iter().find(|c| is(&c.value.name, b"c"));
        let class = class.ok_or(&b"-ERR unknown class\r\n"[..])?;
        let of_class = &class.value;
        if of_class.writes.is_some_and(|writes| writes != put) {
            return Err(b"-ERR not a command of this class\r\n");
        }
        let plan =
            terms.plans.iter().find(|(name, _)| is(name, b"t")).ok_or(&b"-ERR unknown plan\r\n"[..])?;
        let text = find(b"d").unwrap_or_default();
        let wait = whole(text).map(|ms| Time::from(ms) * 1000);
        let wait = wait.filter(|w| *w > 0 && *w <= of_class.deadline * MOST_WAITS);
        let wait = wait.ok_or(&b"-ERR malformed d\r\n"[..])?;
        let start = text.as_ptr() as usize - list.as_ptr() as usize;
        let volume = find(b"volume").filter(|v| is_hex(v)).ok_or(&b"-ERR malformed volume\r\n"[..])?;
        let units = find(b"units").and_then(whole).filter(|u| (1..=terms.most_units).contains(u));
        let units = units.ok_or(&b"-ERR malformed units\r\n"[..])?;
        let known = |n: &u32| terms.shards.is_none_or(|shards| *n < shards);
        let shard = match find(b"shard") {
            Some(b"-1") => None,
            other => {
                let shard = other.and_then(whole).filter(known);
                Some(shard.ok_or(&b"-ERR malformed shard\r\n"[..])?)
            }
        };
        let hosts = find(b"hosts").and_then(whole).filter(|h| *h > 0);
        let arrival = Arrival {
            id: self.common.request_ids.next(),
            class: class.index,
            plan: plan.1,
            key: None,
            due: self
                .common
                .phase
                .borrow()
                .answer_deadline(now)
                .unwrap_or(Time::MAX)
                .min(now + wait - TRANSIT),
            volume: String::from_utf8_lossy(volume).into_owned(),
            units: f64::from(units),
            shard,
            volume_hosts: hosts.ok_or(&b"-ERR malformed hosts\r\n"[..])?,
            repeat: find(b"r") == Some(b"1"),
        };
        Ok((arrival, start..start + text.len(), class.clone()))
    }

    /// Takes a command with a long body, which is asked for once its head is whole: the body is read as its node
    /// takes it. Of a command that is turned down the body is read and dropped.
    fn long(&mut self, now: Time, words: Value, length: usize, asks: &mut Vec<(Arrival, Command)>) {
        // Its window is charged as a body of that length would be.
        let (giver, taker) = pipe(&BufferBudget::new(WINDOW), WINDOW);
        let words: Vec<Bytes> = match words {
            Value::Array(Some(items)) => items
                .into_iter()
                .filter_map(|i| if let Value::Bulk(word) = i { word } else { None })
                .collect(),
            _ => Vec::new(),
        };
        let asked = match words.first() {
            Some(verb) if verb.eq_ignore_ascii_case(b"OBJ.PUT") => {
                self.request(now, words, "OBJ.PUT", Some((taker, length)), asks)
            }
            _ => Err(&b"-ERR unknown command\r\n"[..]),
        };
        let request = asks.last().map(|(arrival, _)| (arrival.id, arrival.due - now));
        let (giver, request) = match asked {
            Ok(_) => (Some(giver), request),
            Err(_) => (None, None),
        };
        self.upload = Some(Upload { giver, left: length, request });
        self.asked(asked);
    }

    /// Moves on what has come of a long body; false if more must come first, or its window is full.
    fn body(&mut self, now: Time, read: &mut BytesMut) -> bool {
        let Some(upload) = &mut self.upload else { return true };
        if upload.giver.as_ref().is_some_and(PipeWriter::is_abandoned) {
            upload.giver = None;
        }
        let space = upload.giver.as_ref().map_or(usize::MAX, PipeWriter::space);
        let part = read.split_to(upload.left.min(read.len()).min(space)).freeze();
        upload.left -= part.len();
        if let Some(giver) = &upload.giver {
            giver.put(part);
        }
        if upload.left > 0 || read.len() < 2 {
            return false;
        }
        let Some(upload) = self.upload.take() else { return true };
        if read.split_to(2) != b"\r\n"[..] {
            // The giver is dropped: its request cannot become whole.
            self.asked(Err(b"-ERR protocol error\r\n"));
            self.ending = true;
            return true;
        }
        if let Some((giver, (id, wait))) = upload.giver.zip(upload.request) {
            giver.finish();
            let last = self.common.phase.borrow().answer_deadline(now).unwrap_or(Time::MAX);
            self.whole.push_back((id, last.min(now + wait)));
        }
        true
    }

    fn asked(&mut self, asked: Result<Asked, Wrong>) {
        match asked {
            Ok(Asked::Request(owed)) => {
                self.held += owed.body;
                self.slots.push_back(Slot::Owed(owed));
            }
            Ok(Asked::Quit) => {
                self.ending = true;
                self.ready(b"+OK\r\n");
            }
            Ok(Asked::Line(line)) => self.ready(line),
            Err(line) => {
                tracing::debug!(line = %line.trim_ascii_end().escape_ascii(), "command turned down");
                self.ready(line);
            }
        }
    }

    /// Queues what is ready at the front: answers go in the order of the commands.
    fn flush(&mut self) {
        loop {
            match self.slots.front_mut() {
                Some(Slot::Ready(parts)) => parts.drain(..).for_each(|part| self.outbox.push(part)),
                Some(Slot::Long(taker)) => {
                    while self.outbox.len() < MOST_AHEAD {
                        let Some(bytes) = taker.take() else { break };
                        self.outbox.push(bytes);
                    }
                    match taker.progress() {
                        Progress::Ongoing => return,
                        Progress::Complete => self.outbox.push(&b"\r\n"[..]),
                        Progress::Broken => {
                            (self.broken, self.ending) = (true, true);
                            return;
                        }
                    }
                }
                Some(Slot::Gathered(gathered)) => match gathered.gather() {
                    Some(parts) => parts.into_iter().for_each(|part| self.outbox.push(part)),
                    None => return,
                },
                Some(Slot::Owed(_)) | None => return,
            }
            self.slots.pop_front();
        }
    }

    fn ready(&mut self, line: &'static [u8]) {
        self.slots.push_back(Slot::Ready(vec![Bytes::from_static(line)]));
    }

    /// A request is no longer open.
    fn forget(&mut self, owed: &Owed) {
        self.held -= owed.body;
        self.common.budget.release(REQUEST_BYTES + owed.body);
        self.common.open.borrow_mut().remove(&owed.id);
    }
}

fn size(parts: &[Bytes]) -> usize {
    parts.iter().map(Bytes::len).sum()
}

/// Sixteen digits, as pieces and volumes are named.
fn is_hex(text: &[u8]) -> bool {
    text.len() == HEX_DIGITS && text.iter().all(u8::is_ascii_hexdigit)
}

/// A number in digits alone: without a sign, as nodes read it.
fn whole(text: &[u8]) -> Option<u32> {
    number(text).filter(|_| text.iter().all(u8::is_ascii_digit))
}

impl Session<Resp> for Client {
    fn receive(&mut self, now: Time, read: &mut BytesMut, asks: &mut Vec<(Arrival, Command)>) {
        // Over the limit the rest waits in the buffer; `answer` makes room and the driver asks again.
        while !self.ending && !self.is_full() {
            if self.upload.is_some() {
                match self.body(now, read) {
                    true => continue,
                    false => break,
                }
            }
            if let Some((words, length)) = decode_long_command(read) {
                self.long(now, words, length, asks);
                continue;
            }
            let asked = match decode_command(read) {
                Ok(None) => break,
                Ok(Some(value)) => self.command(now, value, asks),
                Err(_) => {
                    // Where one command ends and the next begins is lost.
                    self.ending = true;
                    Err(&b"-ERR protocol error\r\n"[..])
                }
            };
            self.asked(asked);
        }
        self.flush();
    }

    fn answer(&mut self, number: RequestId, answer: Answer<Reply>) {
        let owed = |slot: &Slot| matches!(slot, Slot::Owed(owed) if owed.number == number);
        let Some(place) = self.slots.iter().position(owed) else { return self.flush() };
        let stands_alone = place + 1 == self.slots.len();
        let mut long = None;
        let parts = match answer {
            Answer::Served(Reply::Streamed(taker, length))
                if !stands_alone && self.values.resize(self.values.bytes() + length) =>
            {
                long = Some(Slot::Gathered(Gathered { taker, length, parts: Vec::new() }));
                Vec::new()
            }
            Answer::Served(Reply::Streamed(taker, length)) => {
                long = Some(Slot::Long(taker));
                vec![value_head(length)]
            }
            // The client leaves more unread than there is room for.
            Answer::Served(Reply::Buffered(value))
                if !self.values.resize(self.values.bytes() + value.len()) =>
            {
                vec![Bytes::from_static(FAILED)]
            }
            Answer::Served(Reply::Buffered(value)) => {
                vec![value_head(value.len()), value, Bytes::from_static(b"\r\n")]
            }
            Answer::Refused(after) if after > 0 => vec![format!("-BUSY {}\r\n", (after + 999) / 1000).into()],
            Answer::Refused(_) => vec![Bytes::from_static(BUSY)],
            Answer::Failed => vec![Bytes::from_static(FAILED)],
        };
        if let Slot::Owed(owed) = std::mem::replace(&mut self.slots[place], Slot::Ready(parts)) {
            self.forget(&owed);
        }
        if let Some(long) = long {
            self.slots.insert(place + 1, long);
        }
        self.flush();
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn wrote(&mut self, bytes: usize) {
        self.outbox.wrote(bytes);
        // What waits behind an open request keeps its room, too, until all is written.
        if self.outbox.is_empty() {
            let ready = |slot: &Slot| match slot {
                Slot::Ready(parts) => size(parts),
                Slot::Gathered(gathered) => gathered.length,
                Slot::Owed(_) | Slot::Long(_) => 0,
            };
            self.values.resize(self.slots.iter().map(ready).sum::<usize>().min(self.values.bytes()));
        }
    }

    fn unanswered(&self) -> Vec<RequestId> {
        let owed = |slot: &Slot| if let Slot::Owed(owed) = slot { Some(owed.number) } else { None };
        self.slots.iter().filter_map(owed).collect()
    }

    fn fill_outbox(&mut self) {
        self.flush();
    }

    fn wakeup(&self) -> Option<Wakeup> {
        let put = match self.slots.front() {
            Some(Slot::Long(taker)) if self.outbox.len() < MOST_AHEAD => Some(taker.wait_for_bytes()),
            Some(Slot::Gathered(gathered)) => Some(gathered.taker.wait_for_bytes()),
            _ => None,
        };
        let taken = self.upload.as_ref().and_then(|u| u.giver.as_ref()).map(PipeWriter::wait_for_space);
        either(put, taken)
    }

    fn is_streaming(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot, Slot::Long(_) | Slot::Gathered(_)))
    }

    fn is_stream_broken(&self) -> bool {
        self.broken
    }

    fn take_complete_upload(&mut self) -> Option<(RequestId, Time)> {
        self.whole.pop_front()
    }

    fn charge_unparsed(&mut self, untaken: usize) -> bool {
        self.untaken.resize(untaken)
    }

    fn is_full(&self) -> bool {
        if let Some(upload) = &self.upload {
            return upload.giver.as_ref().is_some_and(|g| !g.is_abandoned() && g.space() == 0);
        }
        // Behind a value that may break off nothing is taken: it could not be answered any more.
        let passes = self.slots.iter().any(|slot| matches!(slot, Slot::Long(_)));
        passes || self.slots.len() >= MOST_SLOTS || self.held >= MOST_HELD
    }

    fn is_ending(&self) -> bool {
        self.ending
    }

    fn refuse_pending(&mut self) {
        // As many as a client may write before it reads an answer: what it has written is not known.
        (0..MOST_SLOTS).for_each(|_| self.ready(BUSY));
        self.flush();
    }

    fn reject_unfinished_command(&mut self) {
        self.ending = true;
        self.ready(b"-ERR unfinished command\r\n");
        self.flush();
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        for slot in std::mem::take(&mut self.slots) {
            if let Slot::Owed(owed) = slot {
                self.forget(&owed);
            }
        }
    }
}
