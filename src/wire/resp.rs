//! RESP2: the platform's protocol, as the server of clients and as the client of nodes.

use super::link::{broken_at, Broken, Ended, Exchange};
use super::outbox::Outbox;
use super::session::{Numbers, Session};
use crate::interface::{Arrival, Ending, RequestId, Time};
use crate::state::planner::{Answer, End, Tag, Wire};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::ops::Range;
use std::rc::Rc;
use winnow::ascii::dec_int;
use winnow::combinator::{dispatch, fail, separated, separated_pair};
use winnow::error::ErrMode;
use winnow::stream::Location;
use winnow::token::{any, take, take_till, take_while};
use winnow::{LocatingSlice, ModalResult, Parser, Partial};

/// Longest value.
pub const MOST_VALUE: usize = 64 * 1024;
/// Most values in an array: no command or reply has more.
const MOST_ITEMS: i64 = 16;
/// Most bytes of one message: a value and room for the rest.
const MOST_MESSAGE: usize = MOST_VALUE + 16 * 1024;
/// Arrays in arrays.
const MOST_DEPTH: u8 = 2;
/// Commands of one client that may wait for their answers.
const MOST_SLOTS: usize = 1024;
/// Bytes of their bodies that may be held at once.
const MOST_HELD: usize = 1 << 20;
/// Taken off a client's deadline: what its request needed to get here and what the answer will, 0.7 to 1.3 ms
/// each way, and how late timers run, up to 3 ms. An answer given at the deadline must find the client there.
const TRANSIT: Time = 6_000;

/// A value of the protocol; texts are slices of the buffer they were read into.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A line of text.
    Simple(Bytes),
    /// An error line.
    Error(Bytes),
    /// A whole number.
    Integer(i64),
    /// A text with its length, or null.
    Bulk(Option<Bytes>),
    /// Values, or null.
    Array(Option<Vec<Value>>),
}

/// A value as places in the buffer, which is not yet split when it is found.
enum Placed {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(i64),
    Bulk(Option<Range<usize>>),
    Array(Option<Vec<Placed>>),
}

impl Placed {
    fn cut(self, frame: &Bytes) -> Value {
        match self {
            Placed::Simple(at) => Value::Simple(frame.slice(at)),
            Placed::Error(at) => Value::Error(frame.slice(at)),
            Placed::Integer(n) => Value::Integer(n),
            Placed::Bulk(at) => Value::Bulk(at.map(|at| frame.slice(at))),
            Placed::Array(items) => {
                Value::Array(items.map(|items| items.into_iter().map(|i| i.cut(frame)).collect()))
            }
        }
    }
}

type Input<'a> = Partial<LocatingSlice<&'a [u8]>>;

fn line(input: &mut Input) -> ModalResult<Range<usize>> {
    let text = take_till(0.., |b| b == b'\r' || b == b'\n').span().parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok(text)
}

fn length(input: &mut Input) -> ModalResult<i64> {
    let n = dec_int.parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok(n)
}

fn bulk(input: &mut Input) -> ModalResult<Placed> {
    match length(input)? {
        -1 => Ok(Placed::Bulk(None)),
        n if (0..=MOST_VALUE as i64).contains(&n) => {
            let text = take(n as usize).span().parse_next(input)?;
            "\r\n".parse_next(input)?;
            Ok(Placed::Bulk(Some(text)))
        }
        _ => fail(input),
    }
}

fn array(depth: u8, input: &mut Input) -> ModalResult<Placed> {
    match length(input)? {
        -1 => Ok(Placed::Array(None)),
        // Nothing is set aside for the length a peer states: the items grow as they come.
        n if (0..=MOST_ITEMS).contains(&n) && depth < MOST_DEPTH => {
            let mut items = Vec::new();
            for _ in 0..n {
                items.push(value(depth + 1, input)?);
            }
            Ok(Placed::Array(Some(items)))
        }
        _ => fail(input),
    }
}

fn value(depth: u8, input: &mut Input) -> ModalResult<Placed> {
    dispatch! {any;
        b'+' => line.map(Placed::Simple),
        b'-' => line.map(Placed::Error),
        b':' => length.map(Placed::Integer),
        b'$' => bulk,
        b'*' => |input: &mut Input| array(depth, input),
        _ => fail,
    }
    .parse_next(input)
}

/// Takes one whole value off the front of what was read; nothing while it is not whole.
pub fn decode(read: &mut BytesMut) -> Result<Option<Value>, Broken> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    match value(0, &mut input) {
        Ok(placed) => {
            let end = input.current_token_start();
            let frame = read.split_to(end).freeze();
            Ok(Some(placed.cut(&frame)))
        }
        Err(ErrMode::Incomplete(_)) if read.len() <= MOST_MESSAGE => Ok(None),
        Err(ErrMode::Incomplete(_)) => Err(Broken("message too long")),
        Err(_) => Err(Broken("not RESP2")),
    }
}

/// A request as a node gets it: what the client wrote, but for the time that is left.
#[derive(Debug, Clone)]
pub struct Command {
    verb: Bytes,
    piece: Bytes,
    id: Bytes,
    fields: Bytes,
    /// Where the value of `d` stands in `fields`.
    deadline: Range<usize>,
    body: Option<Bytes>,
}

impl Command {
    /// Writes the command with `left` in place of the client's own deadline.
    fn write(self, left: Time, out: &mut Outbox) {
        let millis = (left / 1000).max(1).to_string();
        let length = self.fields.len() - self.deadline.len() + millis.len();
        let mut head = BytesMut::with_capacity(128 + length);
        head.extend_from_slice(if self.body.is_some() { b"*5\r\n" } else { b"*4\r\n" });
        for word in [&self.verb, &self.piece, &self.id] {
            head.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
            head.extend_from_slice(word);
            head.extend_from_slice(b"\r\n");
        }
        head.extend_from_slice(format!("${length}\r\n").as_bytes());
        head.extend_from_slice(&self.fields[..self.deadline.start]);
        head.extend_from_slice(millis.as_bytes());
        head.extend_from_slice(&self.fields[self.deadline.end..]);
        head.extend_from_slice(b"\r\n");
        match self.body {
            None => out.push(head),
            Some(body) => {
                head.extend_from_slice(format!("${}\r\n", body.len()).as_bytes());
                out.push(head);
                out.push(body);
                out.push(&b"\r\n"[..]);
            }
        }
    }
}

/// RESP2 as the planner's wire.
#[derive(Debug, Clone, Copy)]
pub struct Resp;

impl Wire for Resp {
    type Request = Command;
    type Reply = Bytes;
}

/// Names and values set apart by commas.
fn fields(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    fn pair<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], &'a [u8])> {
        separated_pair(take_till(1.., [b'=', b',']), b'=', take_while(0.., |b| b != b',')).parse_next(input)
    }
    separated(0.., pair, b',').parse(text).ok()
}

fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// The names that requests use for classes and plans.
#[derive(Debug)]
pub struct Names {
    /// Of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Of the plans, in the order of the settings.
    pub plans: Vec<String>,
}

/// What a client has asked for.
enum Asked {
    Request(RequestId, usize),
    /// Answered without a node.
    Line(&'static [u8]),
    Quit,
}

/// What is still to be answered, in the order of the commands.
enum Slot {
    /// The request, and the bytes of its body.
    Owed(RequestId, usize),
    Ready(Vec<Bytes>),
}

/// A client's session.
pub struct Client {
    names: Rc<Names>,
    numbers: Numbers,
    slots: VecDeque<Slot>,
    held: usize,
    outbox: Outbox,
    ending: bool,
}

impl Client {
    /// A session of a client that has just connected.
    pub fn new(names: Rc<Names>, numbers: Numbers) -> Self {
        Client { names, numbers, slots: VecDeque::new(), held: 0, outbox: Outbox::default(), ending: false }
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
        let Some(verb) = words.first().cloned() else { return Err(b"-ERR empty command\r\n") };
        let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
        if is("OBJ.GET") || is("OBJ.PUT") {
            let (arrival, command) = self.request(now, words, is("OBJ.PUT"))?;
            let (id, held) = (arrival.id, command.body.as_ref().map_or(0, Bytes::len));
            asks.push((arrival, command));
            return Ok(Asked::Request(id, held));
        }
        match () {
            () if is("PING") => Ok(Asked::Line(b"+PONG\r\n")),
            () if is("CLIENT") || is("SELECT") => Ok(Asked::Line(b"+OK\r\n")),
            () if is("QUIT") => Ok(Asked::Quit),
            () => Err(b"-ERR unknown command\r\n"),
        }
    }

    fn request(&self, now: Time, words: Vec<Bytes>, put: bool) -> Result<(Arrival, Command), &'static [u8]> {
        if words.len() != 4 + usize::from(put) {
            return Err(b"-ERR wrong number of arguments\r\n");
        }
        let mut words = words.into_iter();
        let mut next = || words.next().unwrap_or_default();
        let (verb, piece, id, list, body) = (next(), next(), next(), next(), put.then(next));
        let pairs = fields(&list).ok_or(&b"-ERR malformed fields\r\n"[..])?;
        let find = |name: &[u8]| pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        let place =
            |names: &[String], name: &[u8]| names.iter().position(|n| Some(n.as_bytes()) == find(name));
        let class = place(&self.names.classes, b"c").ok_or(&b"-ERR unknown class\r\n"[..])?;
        let plan = place(&self.names.plans, b"t").ok_or(&b"-ERR unknown plan\r\n"[..])?;
        let text = find(b"d").unwrap_or_default();
        let wait: u32 = number(text).ok_or(&b"-ERR malformed d\r\n"[..])?;
        let start = text.as_ptr() as usize - list.as_ptr() as usize;
        let deadline = start..start + text.len();
        let volume = find(b"volume").and_then(number::<String>).ok_or(&b"-ERR malformed volume\r\n"[..])?;
        let units: u32 = find(b"units").and_then(number).ok_or(&b"-ERR malformed units\r\n"[..])?;
        let shard: i64 = find(b"shard").and_then(number).ok_or(&b"-ERR malformed shard\r\n"[..])?;
        let hosts: u32 = find(b"hosts").and_then(number).ok_or(&b"-ERR malformed hosts\r\n"[..])?;
        let shard = match shard {
            -1 => None,
            n => Some(u32::try_from(n).map_err(|_| &b"-ERR malformed shard\r\n"[..])?),
        };
        let arrival = Arrival {
            id: self.numbers.next(),
            class,
            plan,
            key: Some(String::from_utf8_lossy(&piece).into_owned()),
            due: now + Time::from(wait) * 1000 - TRANSIT,
            volume,
            units: f64::from(units),
            shard,
            volume_hosts: hosts,
            repeat: find(b"r") == Some(b"1"),
        };
        Ok((arrival, Command { verb, piece, id, fields: list, deadline, body }))
    }

    /// Queues what is ready at the front: answers go in the order of the commands.
    fn flush(&mut self) {
        while let Some(Slot::Ready(_)) = self.slots.front() {
            if let Some(Slot::Ready(parts)) = self.slots.pop_front() {
                parts.into_iter().for_each(|part| self.outbox.push(part));
            }
        }
    }

    fn ready(&mut self, line: &'static [u8]) {
        self.slots.push_back(Slot::Ready(vec![Bytes::from_static(line)]));
    }
}

impl Session<Resp> for Client {
    fn receive(&mut self, now: Time, read: &mut BytesMut, asks: &mut Vec<(Arrival, Command)>) {
        // Over the limit the rest waits in the buffer; `answer` makes room and the driver asks again.
        while !self.ending && !self.full() {
            let asked = match decode(read) {
                Ok(None) => break,
                Ok(Some(value)) => self.command(now, value, asks),
                Err(_) => {
                    // Where one command ends and the next begins is lost.
                    self.ending = true;
                    Err(&b"-ERR protocol error\r\n"[..])
                }
            };
            match asked {
                Ok(Asked::Request(id, held)) => {
                    self.held += held;
                    self.slots.push_back(Slot::Owed(id, held));
                }
                Ok(Asked::Quit) => {
                    self.ending = true;
                    self.ready(b"+OK\r\n");
                }
                Ok(Asked::Line(line)) | Err(line) => self.ready(line),
            }
        }
        self.flush();
    }

    fn answer(&mut self, id: RequestId, answer: Answer<Bytes>) {
        let parts = match answer {
            Answer::Served(value) => {
                vec![format!("${}\r\n", value.len()).into(), value, Bytes::from_static(b"\r\n")]
            }
            Answer::Refused(after) if after > 0 => vec![format!("-BUSY {}\r\n", (after + 999) / 1000).into()],
            Answer::Refused(_) => vec![Bytes::from_static(b"-BUSY\r\n")],
            Answer::Failed => vec![Bytes::from_static(b"-ERR failed\r\n")],
        };
        let owed = |slot: &&mut Slot| matches!(slot, Slot::Owed(owed, _) if *owed == id);
        if let Some(slot) = self.slots.iter_mut().find(owed) {
            if let Slot::Owed(_, held) = std::mem::replace(slot, Slot::Ready(parts)) {
                self.held -= held;
            }
        }
        self.flush();
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn owed(&self) -> Vec<RequestId> {
        let owed = |slot: &Slot| if let Slot::Owed(id, _) = slot { Some(*id) } else { None };
        self.slots.iter().filter_map(owed).collect()
    }

    fn full(&self) -> bool {
        self.slots.len() >= MOST_SLOTS || self.held >= MOST_HELD
    }

    fn ending(&self) -> bool {
        self.ending
    }
}

/// A connection to a node.
#[derive(Debug, Default)]
pub struct Node {
    outbox: Outbox,
    /// What is out, in the order of the answers, each with the position behind its last byte.
    out: VecDeque<(Tag, u64)>,
}

/// The figures on use in a text such as `used=37,cost=4`: use as a part of the plan's rate, and units.
fn figures(text: &[u8]) -> (Option<f64>, f64) {
    let pairs = fields(text).unwrap_or_default();
    let find = |name: &[u8]| pairs.iter().find(|(n, _)| *n == name).and_then(|(_, v)| number::<f64>(v));
    let sane = |v: &f64| v.is_finite() && *v >= 0.0;
    (find(b"used").filter(sane).map(|v| v / 100.0), find(b"cost").filter(sane).unwrap_or(0.0))
}

/// How busy a load report says the cores are.
fn busy(text: &[u8]) -> Option<f64> {
    let find = |(name, value): &(&[u8], &[u8])| (*name == b"busy").then(|| number(value)).flatten();
    fields(text)?.iter().find_map(find).filter(|v: &f64| v.is_finite())
}

fn ending_of(value: Value) -> Result<End<Bytes>, Broken> {
    match value {
        Value::Array(Some(items)) => {
            let mut texts = items.into_iter().map(|i| if let Value::Bulk(text) = i { text } else { None });
            let value = texts.next().flatten();
            let (used, elsewhere) = texts.next().flatten().map_or((None, 0.0), |text| figures(&text));
            let util = texts.next().flatten().and_then(|text| busy(&text));
            // A null value is nothing to serve a client with, but the node ran the request.
            let ending = if value.is_some() { Ending::Served } else { Ending::Error };
            Ok(End { ending, reply: value, used, elsewhere, util })
        }
        Value::Error(text) => {
            let busy = text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            let figures_at = text.iter().rposition(|b| *b == b' ').map_or(text.len(), |at| at + 1);
            let (used, elsewhere) = figures(&text[figures_at..]);
            let ending = if busy { Ending::Full } else { Ending::Error };
            Ok(End { ending, reply: None, used, elsewhere, util: None })
        }
        _ => Err(Broken("not a reply to a request")),
    }
}

impl Exchange<Resp> for Node {
    fn send(&mut self, tag: Tag, left: Time, request: Command) {
        request.write(left, &mut self.outbox);
        self.out.push_back((tag, self.outbox.end()));
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<Bytes>>) -> Result<(), Broken> {
        while let Some(value) = decode(read)? {
            let end = ending_of(value)?;
            let (tag, _) = self.out.pop_front().ok_or(Broken("a reply that nothing asked for"))?;
            ended.push((tag, end));
        }
        Ok(())
    }

    fn lost(&mut self) -> Vec<Ended<Bytes>> {
        let outbox = &self.outbox;
        self.out.drain(..).map(|(tag, at)| (tag, End::bare(broken_at(outbox, at)))).collect()
    }
}
