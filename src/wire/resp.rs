//! RESP2, the object protocol of the platform. This module has the parsers and types that both sides share; [`server`] is
//! the side that serves clients, [`client`] the side that connects to nodes.

pub mod client;
pub mod server;

use super::link::ProtocolError;
use super::outbox::Outbox;
use super::read_buffer::take_copy;
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

/// Longest value that is buffered completely, in bytes. Longer values are streamed.
pub const MAX_BUFFERED_VALUE: usize = 64 * 1024;
/// Longest value that a client may send or a node may serve, in bytes.
pub const MAX_VALUE: usize = 4 * 1024 * 1024;
/// The end of a line or a value.
const LINE_END: &[u8] = b"\r\n";
/// Longest line, in bytes.
const MAX_LINE: usize = 4 * 1024;
/// Largest number of values in an array; no command or reply has more.
const MAX_ITEMS: i64 = 16;
/// Bytes that a message may have in addition to its longest value.
const MAX_OVERHEAD: usize = 16 * 1024;
/// Nesting depth of arrays.
const MAX_DEPTH: u8 = 2;

/// A protocol value. Texts are slices of a copy of the message, so that they do not keep the read buffer allocated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A simple string: one line of text.
    Simple(Bytes),
    /// An error line.
    Error(Bytes),
    /// An integer.
    Integer(i64),
    /// A bulk string, which is sent with its length, or null.
    Bulk(Option<Bytes>),
    /// An array of values, or null.
    Array(Option<Vec<Value>>),
}

/// A parsed value whose texts are positions in the read buffer, which is split only after the whole value was parsed.
enum ParsedValue {
    Simple(Range<usize>),
    Error(Range<usize>),
    Integer(i64),
    Bulk(Option<Range<usize>>),
    Array(Option<Vec<ParsedValue>>),
}

impl ParsedValue {
    fn into_value(self, frame: &Bytes) -> Value {
        match self {
            ParsedValue::Simple(at) => Value::Simple(frame.slice(at)),
            ParsedValue::Error(at) => Value::Error(frame.slice(at)),
            ParsedValue::Integer(n) => Value::Integer(n),
            ParsedValue::Bulk(at) => Value::Bulk(at.map(|at| frame.slice(at))),
            ParsedValue::Array(items) => {
                Value::Array(items.map(|items| items.into_iter().map(|i| i.into_value(frame)).collect()))
            }
        }
    }
}

type Input<'a> = Partial<LocatingSlice<&'a [u8]>>;

/// Parses a line. Fails if no line end is found within [`MAX_LINE`] bytes.
fn line(input: &mut Input) -> ModalResult<Range<usize>> {
    if input.len() > MAX_LINE && !input[..MAX_LINE].contains(&b'\n') {
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

fn bulk(most: usize, input: &mut Input) -> ModalResult<ParsedValue> {
    match length(input)? {
        -1 => Ok(ParsedValue::Bulk(None)),
        n if (0..=most as i64).contains(&n) => {
            let text = take(n as usize).span().parse_next(input)?;
            "\r\n".parse_next(input)?;
            Ok(ParsedValue::Bulk(Some(text)))
        }
        _ => fail(input),
    }
}

fn array(most: usize, depth: u8, input: &mut Input) -> ModalResult<ParsedValue> {
    match length(input)? {
        -1 => Ok(ParsedValue::Array(None)),
        // No memory is allocated for the length that the peer states: the list grows as its items arrive.
        n if (0..=MAX_ITEMS).contains(&n) && depth < MAX_DEPTH => {
            let mut items = Vec::new();
            for _ in 0..n {
                items.push(value(most, depth + 1, input)?);
            }
            Ok(ParsedValue::Array(Some(items)))
        }
        _ => fail(input),
    }
}

fn value(most: usize, depth: u8, input: &mut Input) -> ModalResult<ParsedValue> {
    dispatch! {any;
        b'+' => line.map(ParsedValue::Simple),
        b'-' => line.map(ParsedValue::Error),
        b':' => length.map(ParsedValue::Integer),
        b'$' => |input: &mut Input| bulk(most, input),
        b'*' => |input: &mut Input| array(most, depth, input),
        _ => fail,
    }
    .parse_next(input)
}

/// Parses and removes one complete value from the front of what a node has sent. Returns `None` while the value is incomplete.
pub fn decode(read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    take_complete(MAX_BUFFERED_VALUE, read, |input| value(MAX_BUFFERED_VALUE, 0, input))
}

/// Parses and removes one complete command of a client, like [`decode`]. Data that does not begin an array is an error at
/// once, without waiting for the end of its line.
pub fn decode_command(read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    let command = |input: &mut Input| array(MAX_BUFFERED_VALUE, 0, input);
    take_complete(MAX_BUFFERED_VALUE, read, |input| preceded(b'*', command).parse_next(input))
}

/// Parses the header of a value that is long enough to be streamed, and returns its length.
fn long(input: &mut Input) -> ModalResult<usize> {
    let long =
        preceded(b'$', length).verify(|n| (MAX_BUFFERED_VALUE as i64 + 1..=MAX_VALUE as i64).contains(n));
    long.map(|n| n as usize).parse_next(input)
}

/// Parses and removes the header of a reply whose first item is a long value: returns the number of items and the length of
/// the value. Returns `None` if the reply has no long value, or if too little was read to tell.
pub fn decode_long(read: &mut BytesMut) -> Option<(usize, usize)> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    let items = preceded(b'*', length).verify(|n| (1..=MAX_ITEMS).contains(n));
    let (items, value) = (items, long).parse_next(&mut input).ok()?;
    let _ = read.split_to(input.current_token_start());
    Some((items as usize, value))
}

/// Removes the line end behind a long value. Returns false while it has not arrived.
pub fn decode_line_end(read: &mut BytesMut) -> Result<bool, ProtocolError> {
    if read.len() < LINE_END.len() {
        return Ok(false);
    }
    match read.split_to(LINE_END.len()) == LINE_END {
        true => Ok(true),
        false => Err(ProtocolError("not RESP2")),
    }
}

/// Parses and removes what follows a long value and its line end in a reply: `items` further values.
pub fn decode_rest(items: usize, read: &mut BytesMut) -> Result<Option<Value>, ProtocolError> {
    take_complete(MAX_LINE, read, |input| {
        let rest = (0..items).map(|_| value(MAX_LINE, 1, input)).collect::<ModalResult<_>>()?;
        Ok(ParsedValue::Array(Some(rest)))
    })
}

/// Parses and removes the head of a command whose fifth word is a long value: returns the other words and the length of
/// the value. Returns `None` if the command has no long value, or if too little was read to tell.
pub fn decode_long_command(read: &mut BytesMut) -> Option<(Value, usize)> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    let words = |input: &mut Input| {
        preceded(b'*', length).verify(|n| *n == 5).parse_next(input)?;
        let words = (0..4).map(|_| preceded(b'$', |i: &mut Input| bulk(MAX_LINE, i)).parse_next(input));
        Ok(ParsedValue::Array(Some(words.collect::<ModalResult<_>>()?)))
    };
    let (words, value) = (words, long).parse_next(&mut input).ok()?;
    let end = input.current_token_start();
    Some((words.into_value(&take_copy(read, end)), value))
}

fn take_complete(
    most: usize,
    read: &mut BytesMut,
    mut parser: impl FnMut(&mut Input) -> ModalResult<ParsedValue>,
) -> Result<Option<Value>, ProtocolError> {
    let mut input = Partial::new(LocatingSlice::new(&read[..]));
    match parser(&mut input) {
        Ok(placed) => {
            let end = input.current_token_start();
            Ok(Some(placed.into_value(&take_copy(read, end))))
        }
        Err(ErrMode::Incomplete(_)) if read.len() <= most + MAX_OVERHEAD => Ok(None),
        Err(ErrMode::Incomplete(_)) => Err(ProtocolError("message exceeds the length limit")),
        Err(_) => Err(ProtocolError("not RESP2")),
    }
}

/// A request as it is sent to a node: the client's words, with the deadline replaced by the remaining time.
#[derive(Debug, Clone)]
pub struct Command {
    verb: &'static str,
    piece: Bytes,
    id: Bytes,
    fields: Bytes,
    /// Position of the value of `d`, the client's deadline, in `fields`.
    deadline: Range<usize>,
    body: Option<Body>,
}

/// The body of a command.
#[derive(Debug, Clone)]
enum Body {
    /// A body that was received completely.
    Buffered(Bytes),
    /// A body of the given length that is sent to the node while it arrives from the client.
    Streamed(PipeReader, usize),
}

/// The value that a node has served.
#[derive(Debug)]
pub enum Reply {
    /// A value that was received completely.
    Buffered(Bytes),
    /// A value of the given length that is sent to the client while it arrives from the node.
    Streamed(PipeReader, usize),
}

impl<T: Into<Bytes>> From<T> for Reply {
    fn from(value: T) -> Self {
        Reply::Buffered(value.into())
    }
}

impl PartialEq for Reply {
    /// Streamed values are never equal: their content is not known yet.
    fn eq(&self, other: &Self) -> bool {
        matches!((self, other), (Reply::Buffered(a), Reply::Buffered(b)) if a == b)
    }
}

impl Command {
    /// Writes the command with the remaining time `left` in place of the client's deadline. Returns the reader of a streamed
    /// body, which must be sent next. The deadline of a request with a streamed body counts from the body's last byte.
    fn write(self, left: Time, out: &mut Outbox) -> Option<PipeReader> {
        let mut left_ms = (left / 1000).max(1);
        if matches!(self.body, Some(Body::Streamed(..))) {
            // How long the transfer of the body will take is not known, but after its last byte the client waits no longer
            // than it stated.
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
            Some(Body::Streamed(reader, length)) => {
                head.extend_from_slice(format!("${length}\r\n").as_bytes());
                out.push(head);
                return Some(reader);
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

/// RESP2 as a wire protocol of the planner.
#[derive(Debug, Clone, Copy)]
pub struct Resp;

impl Wire for Resp {
    type Request = Command;
    type Reply = Reply;
    type Channel = ();

    const SHARING: Sharing = Sharing::Exclusive;

    fn channel(_: &Command) {}

    fn streams_body(request: &Command) -> bool {
        matches!(request.body, Some(Body::Streamed(..)))
    }

    fn is_body_consumed(request: &Command) -> bool {
        matches!(&request.body, Some(Body::Streamed(reader, _)) if reader.is_consumed())
    }
}

/// Parses a list of `name=value` pairs that are separated by commas.
fn fields(text: &[u8]) -> Option<Vec<(&[u8], &[u8])>> {
    fn pair<'a>(input: &mut &'a [u8]) -> ModalResult<(&'a [u8], &'a [u8])> {
        separated_pair(take_till(1.., [b'=', b',']), b'=', take_while(0.., |b| b != b',')).parse_next(input)
    }
    separated(0.., pair, b',').parse(text).ok()
}

fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
    std::str::from_utf8(text).ok()?.parse().ok()
}
