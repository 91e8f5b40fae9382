//! The server side of RESP2: a session with one client.

mod answers;

use super::*;
use crate::interface::{Arrival, Class, RequestId};
use crate::state::body_clock::IncompleteBody;
use crate::state::buffer_budget::{BufferBudget, Reservation};
use crate::state::phase::Phase;
use crate::state::pipe::{self, PipeWriter, Progress};
use crate::state::planner::Answer;
use crate::state::recent_ids::RecentIds;
use crate::state::reply_clock::WithheldReply;
use crate::state::stable_index::Indexed;
use crate::wire::link::{either, Wakeup};
use crate::wire::read_buffer::READ_SIZE;
use crate::wire::session::{RequestIds, Session};
use answers::*;
use bytes::Buf;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use tokio::sync::watch;

/// Commands of one client that may wait for their answers at the same time.
const MAX_SLOTS: usize = 256;
/// Bytes of request bodies that one client may have open at the same time.
const MAX_HELD: usize = 1 << 20;
/// Memory charged for a request in addition to its body, in bytes: its arguments and its state in the planner and the
/// scheduler.
const REQUEST_BYTES: usize = 2 * 1024;
/// Memory of a connection's buffers that is not charged to the buffer budget, in bytes.
pub const UNCHARGED: usize = 16 * 1024;
/// Entries for which an empty queue of answers keeps its memory.
const KEPT_SLOTS: usize = 16;
/// How long the id of a request is refused that may have run and whose client has left, in microseconds. No request has a longer
/// time.
const ABANDONED_RETENTION: Time = 60_000_000;
/// Fraction of the buffer budget that such ids may take in addition: one in so many.
const ABANDONED_PART: usize = 32;
/// Memory of such an id, in bytes.
const ABANDONED_BYTES: usize = 256;
/// Longest request id, in bytes.
const MAX_ID_LENGTH: usize = 64;
/// Number of hexadecimal digits in the name of a piece of data or of a volume.
const HEX_DIGITS: usize = 16;
/// Longest wait that a client may state, as a multiple of its class's deadline. A longer one is a client error, and the
/// request would be kept in memory for as long.
const MAX_WAIT_FACTOR: Time = 2;
/// Subtracted from a client's deadline, in microseconds: network transit of the request and the answer, 0.7 to 1.3 ms
/// each way, and timer lateness, up to 3 ms. An answer given at the deadline must reach the client before it gives up. The
/// margin only ever makes an answer earlier.
const TRANSIT_MARGIN: Time = 6_000;

/// The settings of a class against which its requests are validated.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSchema {
    /// Name of the class.
    pub name: String,
    /// How long clients of the class wait for an answer in total, in microseconds.
    pub deadline: Time,
    /// Whether requests of the class write; `None` if the settings do not specify it.
    pub writes: Option<bool>,
    /// The class as it is passed to the scheduler.
    pub class: Class,
}

/// The settings against which requests are validated. A request that does not match them could not be served by any node.
#[derive(Debug, Default)]
pub struct RequestSchema {
    /// The classes, with their indices at the scheduler.
    pub classes: Vec<Rc<Indexed<ClassSchema>>>,
    /// Names of the plans, with their indices at the scheduler.
    pub plans: Vec<(String, usize)>,
    /// Largest number of units of one request.
    pub max_units: u32,
    /// Number of shards, if the settings specify it.
    pub shards: Option<u32>,
}

impl RequestSchema {
    /// Returns how long a connection may wait for a client slot: half of the shortest deadline, so that a client that is
    /// refused then has time to try another broker.
    pub fn accept_timeout(&self) -> Time {
        self.classes.iter().map(|class| class.value.deadline / 2).min().unwrap_or(Time::MAX)
    }
}

/// State that the sessions of a front share.
pub struct SharedState {
    /// The settings against which requests are validated; a reload replaces them as a unit.
    pub schema: RefCell<Rc<RequestSchema>>,
    /// Allocates request ids.
    pub request_ids: RequestIds,
    /// Memory budget for open requests and unwritten answers.
    pub budget: BufferBudget,
    /// The broker's phase.
    phase: watch::Receiver<Phase>,
    /// The clients' ids of all open requests of the front.
    open: RefCell<BTreeSet<Box<[u8]>>>,
    /// The ids of requests whose client has left, and which may have run or may run yet.
    abandoned: RefCell<RecentIds>,
}

impl SharedState {
    /// Creates the state for a front without sessions.
    pub fn new(schema: RequestSchema, budget: BufferBudget, phase: watch::Receiver<Phase>) -> Self {
        let abandoned =
            RecentIds::new(budget.total() / ABANDONED_PART / ABANDONED_BYTES, ABANDONED_RETENTION);
        SharedState {
            schema: RefCell::new(Rc::new(schema)),
            request_ids: RequestIds::default(),
            budget,
            phase,
            open: RefCell::default(),
            abandoned: RefCell::new(abandoned),
        }
    }
}

/// The result of parsing one command.
enum Parsed {
    Request(Unanswered),
    /// A command that is answered without a node, with the answer.
    Line(&'static [u8]),
    Quit,
}

/// A long request body that is being received from the client.
struct Upload {
    /// Receives the body. `None` if the request was rejected or has been answered; the rest is then discarded.
    writer: Option<PipeWriter>,
    /// Bytes of the body still to be received, without the final line end.
    left: usize,
    /// The request id, and how long the client waits after the last byte of the body.
    request: Option<(RequestId, Time)>,
}

/// A session with one client.
pub struct Client {
    shared: Rc<SharedState>,
    slots: VecDeque<Slot>,
    /// Bytes charged for the words of open requests.
    held: usize,
    /// Memory of the answers in `slots`, in bytes.
    values: usize,
    /// Memory of the read buffer, in bytes.
    read_memory: usize,
    /// Budget charged for all memory of the connection but open requests and [`UNCHARGED`].
    memory: Reservation,
    outbox: Outbox,
    upload: Option<Upload>,
    /// Requests whose streamed bodies have arrived completely, and when their clients give up.
    complete_uploads: VecDeque<(RequestId, Time)>,
    ending: bool,
    broken: bool,
}

/// A request for the scheduler, the position of its deadline in the field list, and its class.
type ValidRequest = (Arrival, Range<usize>, Rc<Indexed<ClassSchema>>);
/// The error line that answers an invalid command.
type ErrorLine = &'static [u8];

impl Client {
    /// Creates the session of a client that has just connected.
    pub fn new(shared: Rc<SharedState>) -> Self {
        let memory = shared.budget.empty_reservation();
        Client {
            shared,
            slots: VecDeque::new(),
            held: 0,
            values: 0,
            read_memory: 0,
            memory,
            outbox: Outbox::default(),
            upload: None,
            complete_uploads: VecDeque::new(),
            ending: false,
            broken: false,
        }
    }

    fn command(
        &self,
        now: Time,
        value: Value,
        requests: &mut Vec<(Arrival, Command)>,
    ) -> Result<Parsed, &'static [u8]> {
        let Value::Array(Some(items)) = value else {
            return Err(b"-ERR expected an array of bulk strings\r\n");
        };
        let words: Option<Vec<Bytes>> =
            items.into_iter().map(|i| if let Value::Bulk(word) = i { word } else { None }).collect();
        let Some(words) = words else { return Err(b"-ERR expected an array of bulk strings\r\n") };
        let Some(verb) = words.first() else { return Err(b"-ERR empty command\r\n") };
        let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
        match () {
            () if is("OBJ.GET") => self.request(now, words, "OBJ.GET", None, requests),
            () if is("OBJ.PUT") => self.request(now, words, "OBJ.PUT", None, requests),
            () if is("PING") && self.shared.phase.borrow().answers_ping() => Ok(Parsed::Line(b"+PONG\r\n")),
            () if is("PING") => Err(b"-ERR the broker takes no clients\r\n"),
            () if is("CLIENT") || is("SELECT") => Ok(Parsed::Line(b"+OK\r\n")),
            () if is("QUIT") => Ok(Parsed::Quit),
            () => Err(b"-ERR unknown command\r\n"),
        }
    }

    /// Validates a request and appends it to `requests`. Nothing is kept of a request that is rejected.
    fn request(
        &self,
        now: Time,
        words: Vec<Bytes>,
        verb: &'static str,
        long: Option<(PipeReader, usize)>,
        requests: &mut Vec<(Arrival, Command)>,
    ) -> Result<Parsed, ErrorLine> {
        let put = verb == "OBJ.PUT";
        if words.len() != 4 + usize::from(put && long.is_none()) {
            return Err(b"-ERR wrong number of arguments\r\n");
        }
        let is_long = long.is_some();
        let length: usize = words.iter().map(Bytes::len).sum();
        let mut words = words.into_iter().skip(1);
        let mut next = || words.next().unwrap_or_default();
        let (piece, id, list) = (next(), next(), next());
        // The pipe of a streamed body charges what it buffers beyond its uncharged part.
        let (body, held) = match long {
            Some((reader, body)) => (Some(Body::Streamed(reader, body)), length + pipe::UNCHARGED),
            None => (put.then(next).map(Body::Buffered), length),
        };
        if !is_hex(&piece) {
            return Err(b"-ERR malformed piece\r\n");
        }
        if id.is_empty() || id.len() > MAX_ID_LENGTH || !id.iter().all(u8::is_ascii_graphic) {
            return Err(b"-ERR malformed id\r\n");
        }
        let (mut arrival, deadline, class) = self.arrival(now, &list, put)?;
        arrival.key = Some(String::from_utf8_lossy(&piece).into_owned());
        // The id is copied, so that the set of open ids does not keep the read buffer allocated.
        let owed =
            Unanswered { _class: class, number: arrival.id, id: id.as_ref().into(), held, due: arrival.due };
        if self.shared.open.borrow().contains(&owed.id) {
            return Err(b"-ERR id of a request that is open\r\n");
        }
        if self.shared.abandoned.borrow_mut().contains(now, &owed.id) {
            return Err(b"-ERR id of a request that may have run\r\n");
        }
        let is_refused = is_long && self.shared.budget.is_low();
        if is_refused || !self.shared.budget.reserve(REQUEST_BYTES + held) {
            return Err(BUSY);
        }
        self.shared.open.borrow_mut().insert(owed.id.clone());
        // This is the only log line that links a request number to the client's id of the request.
        tracing::debug!(number = arrival.id, id = %id.escape_ascii(), verb, "request");
        requests.push((arrival, Command { verb, piece, id, fields: list, deadline, body }));
        Ok(Parsed::Request(owed))
    }

    /// Parses the field list of a request: returns the arrival without its key, the position of the deadline, and the class.
    fn arrival(&self, now: Time, list: &Bytes, put: bool) -> Result<ValidRequest, ErrorLine> {
        let terms = self.shared.schema.borrow().clone();
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
        let wait = unsigned(text).map(|ms| Time::from(ms) * 1000);
        let wait = wait.filter(|w| *w > 0 && *w <= of_class.deadline * MAX_WAIT_FACTOR);
        let wait = wait.ok_or(&b"-ERR malformed d\r\n"[..])?;
        let start = text.as_ptr() as usize - list.as_ptr() as usize;
        let volume = find(b"volume").filter(|v| is_hex(v)).ok_or(&b"-ERR malformed volume\r\n"[..])?;
        let units = find(b"units").and_then(unsigned).filter(|u| (1..=terms.max_units).contains(u));
        let units = units.ok_or(&b"-ERR malformed units\r\n"[..])?;
        let known = |n: &u32| terms.shards.is_none_or(|shards| *n < shards);
        let shard = match find(b"shard") {
            Some(b"-1") => None,
            other => {
                let shard = other.and_then(unsigned).filter(known);
                Some(shard.ok_or(&b"-ERR malformed shard\r\n"[..])?)
            }
        };
        let hosts = find(b"hosts").and_then(unsigned).filter(|h| *h > 0);
        let arrival = Arrival {
            id: self.shared.request_ids.next(),
            class: class.index,
            plan: plan.1,
            key: None,
            due: now + wait - TRANSIT_MARGIN,
            volume: String::from_utf8_lossy(volume).into_owned(),
            units: f64::from(units),
            shard,
            volume_hosts: hosts.ok_or(&b"-ERR malformed hosts\r\n"[..])?,
            repeat: find(b"r") == Some(b"1"),
        };
        Ok((arrival, start..start + text.len(), class.clone()))
    }

    /// Accepts a command with a long body as soon as its head is complete: the body is read as fast as the node accepts it. The
    /// body of a command that is rejected is read and discarded.
    fn streamed_command(
        &mut self,
        now: Time,
        words: Value,
        length: usize,
        requests: &mut Vec<(Arrival, Command)>,
    ) {
        let (writer, reader) = pipe::pipe(&self.shared.budget, length);
        let words: Vec<Bytes> = match words {
            Value::Array(Some(items)) => items
                .into_iter()
                .filter_map(|i| if let Value::Bulk(word) = i { word } else { None })
                .collect(),
            _ => Vec::new(),
        };
        let parsed = match words.first() {
            Some(verb) if verb.eq_ignore_ascii_case(b"OBJ.PUT") => {
                self.request(now, words, "OBJ.PUT", Some((reader, length)), requests)
            }
            _ => Err(&b"-ERR unknown command\r\n"[..]),
        };
        let request = requests.last().map(|(arrival, _)| (arrival.id, arrival.due - now));
        let (writer, request) = match parsed {
            Ok(_) => (Some(writer), request),
            Err(_) => (None, None),
        };
        self.upload = Some(Upload { writer, left: length, request });
        self.push_parsed(parsed);
    }

    /// Moves received bytes of a long body into its window. Returns false if more data is needed or the window is full.
    fn continue_body(&mut self, now: Time, read: &mut BytesMut) -> bool {
        let Some(upload) = &mut self.upload else { return true };
        if upload.writer.as_ref().is_some_and(PipeWriter::is_abandoned) {
            upload.writer = None;
        }
        let space = upload.writer.as_ref().map_or(usize::MAX, PipeWriter::space);
        let count = upload.left.min(read.len()).min(space);
        if let Some(writer) = &upload.writer {
            writer.put_copy(&read[..count]);
        }
        read.advance(count);
        upload.left -= count;
        if upload.left > 0 || read.len() < 2 {
            return false;
        }
        let Some(upload) = self.upload.take() else { return true };
        if read.split_to(2) != b"\r\n"[..] {
            // The pipe writer is dropped, so the request's body stays incomplete and the request fails.
            self.push_parsed(Err(b"-ERR protocol error\r\n"));
            self.ending = true;
            return true;
        }
        if let Some((writer, (id, wait))) = upload.writer.zip(upload.request) {
            writer.finish();
            self.set_due(id, now + wait);
            self.complete_uploads.push_back((id, now + wait));
        }
        true
    }

    /// Sets when the client of a request gives up.
    fn set_due(&mut self, number: RequestId, due: Time) {
        let owed = |slot: &mut Slot| match slot {
            Slot::Unanswered(owed) if owed.number == number => owed.due = due,
            _ => {}
        };
        self.slots.iter_mut().for_each(owed);
    }

    fn push_parsed(&mut self, parsed: Result<Parsed, ErrorLine>) {
        match parsed {
            Ok(Parsed::Request(owed)) => {
                self.held += owed.held;
                self.slots.push_back(Slot::Unanswered(owed));
            }
            Ok(Parsed::Quit) => {
                self.ending = true;
                self.push_answer(b"+OK\r\n");
            }
            Ok(Parsed::Line(line)) => self.push_answer(line),
            Err(line) => {
                tracing::debug!(line = %line.trim_ascii_end().escape_ascii(), "command rejected");
                self.push_answer(line);
            }
        }
    }

    /// Moves complete answers at the head of the queue to the outbox: answers are written in the order of the commands.
    fn flush(&mut self) {
        loop {
            match self.slots.front_mut() {
                Some(Slot::Line(line)) => self.outbox.push(*line),
                Some(Slot::RefusedFor(after)) => {
                    let millis = (*after + 999) / 1000;
                    self.outbox.push(format!("-BUSY {millis}\r\n"));
                }
                Some(Slot::Value(value)) => {
                    self.outbox.push(value_head(value.len()));
                    self.outbox.push(std::mem::take(value));
                    self.outbox.push(LINE_END);
                }
                Some(Slot::Streamed(streamed)) => match streamed.pass_on(&mut self.outbox) {
                    Progress::Ongoing => break,
                    Progress::Complete => {}
                    Progress::Broken => {
                        if !self.broken {
                            streamed.log_end();
                        }
                        (self.broken, self.ending) = (true, true);
                        break;
                    }
                },
                Some(Slot::Buffering(buffering)) => {
                    if !buffering.write_complete(&mut self.outbox) {
                        break;
                    }
                }
                Some(Slot::Unanswered(_)) | None => break,
            }
            self.slots.pop_front();
        }
        if self.slots.is_empty() && self.slots.capacity() > KEPT_SLOTS {
            self.slots = VecDeque::new();
        }
        self.values = self.slots.iter().map(Slot::memory).sum();
        self.charge();
    }

    /// Returns the memory of the connection that is charged to the budget, in bytes.
    fn charged_memory(&self) -> usize {
        let slots = self.slots.capacity() * std::mem::size_of::<Slot>();
        (self.values + slots + self.outbox.memory() + self.read_memory).saturating_sub(UNCHARGED)
    }

    /// Charges what the connection holds.
    fn charge(&mut self) {
        self.memory.set(self.charged_memory());
    }

    /// Reserves memory for an answer that waits. Returns false if the budget does not allow it.
    fn reserve_answer(&mut self, bytes: usize) -> bool {
        self.values += bytes;
        let granted = self.memory.resize(self.charged_memory());
        if !granted {
            self.values -= bytes;
        }
        granted
    }

    fn push_answer(&mut self, line: &'static [u8]) {
        self.slots.push_back(Slot::Line(line));
    }

    /// Releases the budget and the id of a request that is no longer open.
    fn release(&mut self, owed: &Unanswered) {
        self.held -= owed.held;
        self.shared.budget.release(REQUEST_BYTES + owed.held);
        self.shared.open.borrow_mut().remove(&owed.id);
    }
}

/// Whether a text is a valid name of a piece or a volume: sixteen hexadecimal digits.
fn is_hex(text: &[u8]) -> bool {
    text.len() == HEX_DIGITS && text.iter().all(u8::is_ascii_hexdigit)
}

/// Parses a number that consists of digits only, without a sign, as nodes expect it.
fn unsigned(text: &[u8]) -> Option<u32> {
    number(text).filter(|_| text.iter().all(u8::is_ascii_digit))
}

impl Session<Resp> for Client {
    fn receive(&mut self, now: Time, read: &mut BytesMut, requests: &mut Vec<(Arrival, Command)>) {
        // Over the limit, the remaining commands wait in the buffer; the driver calls this again after `answer` has freed a slot.
        while !self.ending && !self.is_full() {
            if self.upload.is_some() {
                match self.continue_body(now, read) {
                    true => continue,
                    false => break,
                }
            }
            if let Some((words, length)) = decode_long_command(read) {
                self.streamed_command(now, words, length, requests);
                continue;
            }
            let parsed = match decode_command(read) {
                Ok(None) => break,
                Ok(Some(value)) => self.command(now, value, requests),
                Err(_) => {
                    // The boundary between commands is lost, so no further command can be parsed.
                    self.ending = true;
                    Err(&b"-ERR protocol error\r\n"[..])
                }
            };
            self.push_parsed(parsed);
        }
        self.flush();
    }

    fn incomplete_body(&self) -> Option<IncompleteBody> {
        let upload = self.upload.as_ref()?;
        let awaited = upload.writer.as_ref().is_some_and(|writer| !writer.is_abandoned());
        let wait = upload.request.filter(|_| awaited).map(|(_, wait)| wait);
        Some(IncompleteBody { left: upload.left + LINE_END.len(), wait })
    }

    fn expire_body(&mut self) -> Option<RequestId> {
        self.upload.as_mut()?.request.take().map(|(id, _)| id)
    }

    fn end_unfinished_body(&mut self) {
        self.upload = None;
        self.ending = true;
    }

    fn receive_body(&mut self, now: Time, read: &mut BytesMut) {
        if self.upload.is_some() {
            self.continue_body(now, read);
        }
        self.flush();
    }

    fn answer(&mut self, number: RequestId, answer: Answer<Reply>) {
        let owed = |slot: &Slot| matches!(slot, Slot::Unanswered(owed) if owed.number == number);
        let Some(place) = self.slots.iter().position(owed) else { return self.flush() };
        let stands_alone = place + 1 == self.slots.len();
        let Slot::Unanswered(owed) = &self.slots[place] else { return self.flush() };
        let label = owed.label();
        let slot = match answer {
            Answer::Served(Reply::Streamed(reader, length))
                if !stands_alone && self.reserve_answer(Buffering::memory(length)) =>
            {
                Slot::Buffering(Box::new(Buffering::new(label, reader, length)))
            }
            Answer::Served(Reply::Streamed(reader, length)) => {
                Slot::Streamed(Box::new(Streamed::new(label, reader, length)))
            }
            Answer::Served(Reply::Buffered(value)) if self.reserve_answer(value.len() + VALUE_OVERHEAD) => {
                Slot::Value(value)
            }
            // The client has more unread answers than the budget allows.
            Answer::Served(Reply::Buffered(_)) => Slot::Line(FAILED),
            Answer::Refused(after) if after > 0 => Slot::RefusedFor(after),
            Answer::Refused(_) => Slot::Line(BUSY),
            Answer::Failed => Slot::Line(FAILED),
        };
        if let Slot::Unanswered(owed) = std::mem::replace(&mut self.slots[place], slot) {
            self.release(&owed);
        }
        self.flush();
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn wrote(&mut self, bytes: usize) {
        self.outbox.wrote(bytes);
        self.charge();
    }

    fn abandon(&mut self, now: Time, may_have_run: &[RequestId]) {
        let mut abandoned = self.shared.abandoned.borrow_mut();
        for slot in &self.slots {
            if let Slot::Unanswered(owed) = slot {
                if may_have_run.contains(&owed.number) {
                    abandoned.insert(now, owed.id.clone());
                }
            }
        }
    }

    fn withheld_reply(&self) -> Option<WithheldReply> {
        match self.slots.front()? {
            Slot::Buffering(buffering) => Some(buffering.withheld()),
            _ => None,
        }
    }

    fn end_withheld_reply(&mut self) {
        if let Some(Slot::Buffering(buffering)) = self.slots.front() {
            buffering.log_end();
            self.slots[0] = Slot::Line(FAILED);
        }
        self.flush();
    }

    fn unanswered(&self) -> Vec<RequestId> {
        let owed = |slot: &Slot| if let Slot::Unanswered(owed) = slot { Some(owed.number) } else { None };
        self.slots.iter().filter_map(owed).collect()
    }

    fn fill_outbox(&mut self) {
        self.flush();
    }

    fn wakeup(&self) -> Option<Wakeup> {
        let put = match self.slots.front() {
            Some(Slot::Streamed(streamed)) if self.outbox.len() < MAX_STREAMED_AHEAD => {
                Some(streamed.reader.wait_for_bytes())
            }
            Some(Slot::Buffering(buffering)) => Some(buffering.reader.wait_for_bytes()),
            _ => None,
        };
        let taken = self.upload.as_ref().and_then(|u| u.writer.as_ref()).map(PipeWriter::wait_for_space);
        either(put, taken)
    }

    fn is_streaming(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot, Slot::Streamed(..) | Slot::Buffering(_)))
    }

    fn is_stream_broken(&self) -> bool {
        self.broken
    }

    fn take_complete_upload(&mut self) -> Option<(RequestId, Time)> {
        self.complete_uploads.pop_front()
    }

    fn charge_read(&mut self, memory: usize) -> bool {
        self.read_memory = memory;
        self.charge();
        let budget = &self.shared.budget;
        memory < UNCHARGED || budget.is_ample() || (memory <= UNCHARGED + READ_SIZE && !budget.is_low())
    }

    fn may_read_far_ahead(&self) -> bool {
        self.shared.budget.is_ample()
    }

    fn is_full(&self) -> bool {
        if let Some(upload) = &self.upload {
            return upload.writer.as_ref().is_some_and(|g| !g.is_abandoned() && g.space() == 0);
        }
        // No request is accepted behind a streamed value: if the value broke off, the request could not be answered any more.
        let passes = self.slots.iter().any(|slot| matches!(slot, Slot::Streamed(..)));
        passes || self.slots.len() >= MAX_SLOTS || self.held >= MAX_HELD
    }

    fn is_ending(&self) -> bool {
        self.ending
    }

    fn refuse_pending(&mut self) {
        // The number of commands in transit is unknown, so this refuses as many as a client may send before it reads an answer.
        (0..MAX_SLOTS).for_each(|_| self.push_answer(BUSY));
        self.flush();
    }

    fn reject_unfinished_command(&mut self) {
        self.ending = true;
        self.push_answer(b"-ERR unfinished command\r\n");
        self.flush();
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        for slot in std::mem::take(&mut self.slots) {
            if let Slot::Unanswered(owed) = slot {
                self.release(&owed);
            }
        }
    }
}
