//! RESP2: the platform's protocol. What both sides share; [`server`] speaks it with clients, [`client`] with
//! nodes.

pub mod client;
pub mod server;

use super::link::ProtocolError;
use super::outbox::Outbox;
use crate::interface::Time;
use crate::state::pipe::PipeReader;
use crate::state::planner::Wire;
use crate::state::pool::Sharing;
use bytes::{Bytes, BytesMut};
use std::ops::Range;
use winnow::ascii::dec_int;
use winnow::combinator::{dispatch, fail, preceded, separated, separated_pair};
use winnow::error::ErrMode;
use winnow::stream::Location;
use winnow::token::{any, take, take_till, take_while};
use winnow::{LocatingSlice, ModalResult, Parser, Partial};

/// Longest value that is held whole. Longer ones are passed on while they come.
pub const MOST_WHOLE: usize = 64 * 1024;
/// Longest value that a client may send or a node may serve.
pub const MOST_VALUE: usize = 4 * 1024 * 1024;
/// Longest line.
const MOST_LINE: usize = 4 * 1024;
/// Most values in an array: no command or reply has more.
const MOST_ITEMS: i64 = 16;
/// Most bytes of a message beside its longest value.
const MOST_BESIDE: usize = 16 * 1024;
/// Arrays in arrays.
const MOST_DEPTH: u8 = 2;

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

/// A line; one that does not end in time is no line.
fn line(input: &mut Input) -> ModalResult<Range<usize>> {
    if input.len() > MOST_LINE && !input[..MOST_LINE].contains(&b'\n') {
        return fail(input);
    }
    let text = take_till(0.., |b| b == b'\r' || b == b'\n').span().parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok(text)
}

fn length(input: &mut Input) -> ModalResult<i64> {
    let n = dec_int.parse_next(input)?;
    "\r\n".parse_next(input)?;
    Ok(n)
}

fn bulk(most: usize, input: &mut Input) -> ModalResult<Placed> {
    match length(input)? {
        -1 => Ok(Placed::Bulk(None)),
        n if (0..=most as i64).contains(&n) => {
            let text = take(n as usize).span().parse_next(input)?;
            "\r\n".parse_next(input)?;
            Ok(Placed::Bulk(Some(text)))
        }
        _ => fail(input),
    }
}

fn array(most: usize, depth: u8, input: &mut Input) -> ModalResult<Placed> {
    match length(input)? {
        -1 => Ok(Placed::Array(None)),
        // Nothing is set aside for the length a peer states: the items grow as they come.
        n if (0..=MOST_ITEMS).contains(&n) && depth < MOST_DEPTH => {
            let mut items = Vec::new();
            for _ in 0..n {
                items.push(value(most, depth + 1, input)?);
            }
            Ok(Placed::Array(Some(items)))
        }
        _ => fail(input),
    }
}

fn value(most: usize, depth: u8, input: &mut Input) -> ModalResult<Placed> {
    dispatch! {any;
        b'+' => line.map(Placed::Simple),
        b'-' => line.map(Placed::Error),
        b':' => length.map(Placed::Integer),
        b'$' => |input: &mut Input| bulk(most, input),
        b'*' => |input: &mut Input| array(most, depth, input),
        _ => fail,
    }
    .parse_next(input)
}

/// Takes one whole value of a node off the front of what was read; nothing while it is not whole.
pub fn decode(read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    take_whole(MOST_WHOLE, read, |input| value(MOST_WHOLE, 0, input))
}

/// The same of a client's command: whatever does not begin as an array is noise, and its end is not waited
/// for.
pub fn decode_command(read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    let command = |input: &mut Input| array(MOST_WHOLE, 0, input);
    take_whole(MOST_WHOLE, read, |input| preceded(b'*', command).parse_next(input))
}

/// The length of a value that is passed on while it comes.
fn long(input: &mut Input) -> ModalResult<usize> {
    let long = preceded(b'$', length).verify(|n| (MOST_WHOLE as i64 + 1..=MOST_VALUE as i64).contains(n));
    long.map(|n| n as usize).parse_next(input)
}

/// Takes what stands before a long value off the front of a reply: how many items it has, and how long the first one
/// is. Nothing where the reply is none, or not known to be one yet.
pub fn decode_long(read: &mut BytesMut) -> Option<(usize, usize)> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    let items = preceded(b'*', length).verify(|n| (1..=MOST_ITEMS).contains(n));
    let (items, value) = (items, long).parse_next(&mut input).ok()?;
    let _ = read.split_to(input.current_token_start());
    Some((items as usize, value))
}

/// Takes what follows a long value: so many further items.
pub fn decode_rest(items: usize, read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    take_whole(MOST_LINE, read, |input| {
        "\r\n".parse_next(input)?;
        let rest = (0..items).map(|_| value(MOST_LINE, 1, input)).collect::<ModalResult<_>>()?;
        Ok(Placed::Array(Some(rest)))
    })
}

/// The same for a command whose fifth word is a long value: its other words.
pub fn decode_long_command(read: &mut BytesMut) -> Option<(Value, usize)> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    let words = |input: &mut Input| {
        preceded(b'*', length).verify(|n| *n == 5).parse_next(input)?;
        let words = (0..4).map(|_| preceded(b'$', |i: &mut Input| bulk(MOST_LINE, i)).parse_next(input));
        Ok(Placed::Array(Some(words.collect::<ModalResult<_>>()?)))
    };
    let (words, value) = (words, long).parse_next(&mut input).ok()?;
    let frame = read.split_to(input.current_token_start()).freeze();
    Some((words.cut(&frame), value))
}

fn take_whole(
    most: usize,
    read: &mut BytesMut,
    mut parser: impl FnMut(&mut Input) -> ModalResult<Placed>,
) -> Result<Option<Value>, ProtocolError> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    match parser(&mut input) {
        Ok(placed) => {
            let end = input.current_token_start();
            let frame = read.split_to(end).freeze();
            Ok(Some(placed.cut(&frame)))
        }
        Err(ErrMode::Incomplete(_)) if read.len() <= most + MOST_BESIDE => Ok(None),
        Err(ErrMode::Incomplete(_)) => Err(ProtocolError("message too long")),
        Err(_) => Err(ProtocolError("not RESP2")),
    }
}

/// A request as a node gets it: what the client wrote, but for the time that is left.
#[derive(Debug, Clone)]
pub struct Command {
    verb: &'static str,
    piece: Bytes,
    id: Bytes,
    fields: Bytes,
    /// Where the value of `d` stands in `fields`.
    deadline: Range<usize>,
    body: Option<Body>,
}

/// What a command brings.
#[derive(Debug, Clone)]
enum Body {
    Buffered(Bytes),
    /// So many bytes, which come while they are sent on.
    Streamed(PipeReader, usize),
}

/// What a node has served.
#[derive(Debug)]
pub enum Reply {
    /// A value.
    Buffered(Bytes),
    /// One of so many bytes that is passed on while it comes.
    Streamed(PipeReader, usize),
}

impl<T: Into<Bytes>> From<T> for Reply {
    fn from(value: T) -> Self {
        Reply::Buffered(value.into())
    }
}

impl PartialEq for Reply {
    /// Two that are still on their way are never known to be the same.
    fn eq(&self, other: &Self) -> bool {
        matches!((self, other), (Reply::Buffered(a), Reply::Buffered(b)) if a == b)
    }
}

impl Command {
    /// Writes the command with `left` in place of the client's own deadline; gives the body that is to follow. Of a
    /// long one it is not known how long its answer is waited for: that counts from its last byte.
    fn write(self, left: Time, out: &mut Outbox) -> Option<PipeReader> {
        let mut left_ms = (left / 1000).max(1);
        if matches!(self.body, Some(Body::Streamed(..))) {
            // How long its body will take is not known; its client waits no longer than it said from the last byte on.
            let own = number::<Time>(&self.fields[self.deadline.clone()]).unwrap_or(left_ms);
            left_ms = left_ms.min(own);
        }
        let millis = left_ms.to_string();
        let length = self.fields.len() - self.deadline.len() + millis.len();
        let mut head = BytesMut::with_capacity(128 + length);
        head.extend_from_slice(if self.body.is_some() { b"*5\r\n" } else { b"*4\r\n" });
        for word in [self.verb.as_bytes(), &self.piece, &self.id] {
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
            Some(Body::Streamed(taker, length)) => {
                head.extend_from_slice(format!("${length}\r\n").as_bytes());
                out.push(head);
                return Some(taker);
            }
            Some(Body::Buffered(body)) => {
                head.extend_from_slice(format!("${}\r\n", body.len()).as_bytes());
                out.push(head);
                out.push(body);
                out.push(&b"\r\n"[..]);
            }
        }
        None
    }
}

/// RESP2 as the planner's wire.
#[derive(Debug, Clone, Copy)]
pub struct Resp;

impl Wire for Resp {
    type Request = Command;
    type Reply = Reply;

    const SHARING: Sharing = Sharing::Exclusive;

    fn streams_body(request: &Command) -> bool {
        matches!(request.body, Some(Body::Streamed(..)))
    }

    fn is_body_consumed(request: &Command) -> bool {
        matches!(&request.body, Some(Body::Streamed(taker, _)) if taker.is_consumed())
    }
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
