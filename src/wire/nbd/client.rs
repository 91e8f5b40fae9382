//! The client's side of NBD: a connection to a node.

use super::*;
use crate::interface::{Ending, Time};
use crate::state::planner::{AttemptEnd, AttemptId};
use crate::wire::link::{ending_after_loss, Ended, Exchange};
use crate::wire::outbox::Outbox;
use std::collections::BTreeMap;

/// How far the handshake has come: what is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Greeting,
    Structured,
    Go,
    ExportName,
    Ready,
}

/// A request that is out.
struct Out {
    tag: AttemptId,
    /// Positions of its first byte and behind its last.
    start: u64,
    end: u64,
    offset: u64,
    /// Bytes that a reply must hold.
    expects: u64,
    parts: Vec<Part>,
    got: u64,
    /// An error chunk that came before the end of the reply.
    error: Option<Ending>,
}

/// A connection to one export of a node.
pub struct Node {
    export: ExportName,
    phase: Phase,
    structured: bool,
    no_zeroes: bool,
    size: u64,
    outbox: Outbox,
    /// Requests that came before the handshake was done.
    waiting: Vec<(AttemptId, Request)>,
    out: BTreeMap<u64, Out>,
    next: u64,
}

impl Node {
    /// A connection that has yet to shake hands.
    pub fn new(export: ExportName) -> Self {
        Node {
            export,
            phase: Phase::Greeting,
            structured: false,
            no_zeroes: false,
            size: 0,
            outbox: Outbox::default(),
            waiting: Vec::new(),
            out: BTreeMap::new(),
            next: 1,
        }
    }

    fn step(
        &mut self,
        read: &mut BytesMut,
        ended: &mut Vec<Ended<Vec<Part>>>,
    ) -> Result<bool, ProtocolError> {
        match self.phase {
            Phase::Greeting => self.greeting(read),
            Phase::Structured | Phase::Go => self.option_reply(read),
            Phase::ExportName => self.old_style(read),
            Phase::Ready => self.reply(read, ended),
        }
    }

    fn greeting(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let greeting = |i: &mut Input| {
            (be_u64.verify(|m| *m == MAGIC), be_u64.verify(|m| *m == OPTION_MAGIC), be_u16).parse_next(i)
        };
        let Some((_, _, flags)) = head(read, greeting, "bad greeting")? else { return Ok(false) };
        let _ = read.split_to(18);
        if flags & FIXED_NEWSTYLE == 0 {
            return Err(ProtocolError("not fixed newstyle"));
        }
        self.no_zeroes = flags & NO_ZEROES != 0;
        let mut out = BytesMut::new();
        out.put_u32(u32::from(FIXED_NEWSTYLE | if self.no_zeroes { NO_ZEROES } else { 0 }));
        write_option(&mut out, option::STRUCTURED_REPLY, b"");
        self.outbox.push(out);
        self.phase = Phase::Structured;
        Ok(true)
    }

    fn option_reply(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let wrong = "bad magic of an option reply";
        let Some((option, kind, length)) = head(read, option_reply_head, wrong)? else { return Ok(false) };
        if length > MOST_OPTION {
            return Err(ProtocolError("option reply too long"));
        }
        let Some(data) = body(read, 20, length as usize) else { return Ok(false) };
        let mut out = BytesMut::new();
        match (self.phase, option, kind) {
            (Phase::Structured, option::STRUCTURED_REPLY, _) => {
                self.structured = kind == reply::ACK;
                write_option(&mut out, option::GO, &name_and_no_wishes(self.export.as_str()));
                self.phase = Phase::Go;
            }
            (Phase::Go, option::GO, reply::INFO) => {
                let kind = head(&data, |i| be_u16.parse_next(i), "short information")?;
                if kind == Some(INFO_EXPORT) {
                    let export = |i: &mut Input| (be_u16, be_u64, be_u16).parse_next(i);
                    let facts = head(&data, export, "short information")?;
                    let (_, size, flags) = facts.ok_or(ProtocolError("short information"))?;
                    self.ready(size, flags)?;
                }
            }
            // Only an export that was described can be used.
            (Phase::Go, option::GO, reply::ACK) if self.size == 0 => {
                return Err(ProtocolError("no information"))
            }
            (Phase::Go, option::GO, reply::ACK) => self.begin(),
            (Phase::Go, option::GO, reply::UNSUPPORTED) => {
                write_option(&mut out, option::EXPORT_NAME, self.export.as_str().as_bytes());
                self.phase = Phase::ExportName;
            }
            (Phase::Go, option::GO, kind) if kind & reply::ERROR != 0 => {
                return Err(ProtocolError("export refused"))
            }
            _ => return Err(ProtocolError("a reply to no option of ours")),
        }
        self.outbox.push(out);
        Ok(true)
    }

    fn old_style(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let export = |i: &mut Input| (be_u64, be_u16).parse_next(i);
        let Some((size, flags)) = head(read, export, "export")? else { return Ok(false) };
        let zeroes = if self.no_zeroes { 0 } else { 124 };
        if body(read, 10, zeroes).is_none() {
            return Ok(false);
        }
        self.ready(size, flags)?;
        self.begin();
        Ok(true)
    }

    /// Takes note of the export. Flushes go over any connection, so what other connections wrote must be
    /// covered by them.
    fn ready(&mut self, size: u64, flags: u16) -> Result<(), ProtocolError> {
        if flags & (READ_ONLY | CAN_MULTI_CONN) == 0 {
            return Err(ProtocolError("export takes writes, but a flush would not cover other connections"));
        }
        self.size = size;
        Ok(())
    }

    fn begin(&mut self) {
        self.phase = Phase::Ready;
        for (tag, request) in std::mem::take(&mut self.waiting) {
            self.write(tag, request);
        }
    }

    fn write(&mut self, tag: AttemptId, request: Request) {
        let cookie = self.next;
        self.next += 1;
        let (command, expects) = match request.operation {
            Operation::Read => (command::READ, u64::from(request.length)),
            Operation::Write(_) => (command::WRITE, 0),
            Operation::Flush => (command::FLUSH, 0),
        };
        let mut out = BytesMut::with_capacity(REQUEST_HEAD);
        out.put_u32(REQUEST_MAGIC);
        out.put_u16(if request.durable { FUA } else { 0 });
        out.put_u16(command);
        out.put_u64(cookie);
        out.put_u64(request.offset);
        out.put_u32(request.length);
        let start = self.outbox.end();
        self.outbox.push(out);
        if let Operation::Write(data) = request.operation {
            self.outbox.push(data);
        }
        let (end, offset) = (self.outbox.end(), request.offset);
        let out = Out { tag, start, end, offset, expects, parts: Vec::new(), got: 0, error: None };
        self.out.insert(cookie, out);
    }

    fn reply(
        &mut self,
        read: &mut BytesMut,
        ended: &mut Vec<Ended<Vec<Part>>>,
    ) -> Result<bool, ProtocolError> {
        let Some(magic) = head(read, |i| be_u32.parse_next(i), "magic")? else { return Ok(false) };
        match magic {
            SIMPLE_MAGIC => self.simple(read, ended),
            CHUNK_MAGIC if self.structured => self.chunk(read, ended),
            _ => Err(ProtocolError("bad reply magic")),
        }
    }

    fn simple(
        &mut self,
        read: &mut BytesMut,
        ended: &mut Vec<Ended<Vec<Part>>>,
    ) -> Result<bool, ProtocolError> {
        let parse = |i: &mut Input| (be_u32, be_u32, be_u64).parse_next(i);
        let Some((_, errno, cookie)) = head(read, parse, "reply")? else { return Ok(false) };
        let out = self.out.get(&cookie).ok_or(ProtocolError("a reply that nothing asked for"))?;
        if errno == 0 && self.structured && out.expects > 0 {
            return Err(ProtocolError("a simple reply to a read"));
        }
        let length = if errno == 0 { out.expects as usize } else { 0 };
        let Some(data) = body(read, 16, length) else { return Ok(false) };
        if let Some(mut out) = self.out.remove(&cookie) {
            out.got = data.len() as u64;
            out.error = (errno != 0).then_some(Ending::Error);
            if !data.is_empty() {
                out.parts.push(Part::Data(out.offset, data));
            }
            ended.push(finish(out));
        }
        Ok(true)
    }

    fn chunk(
        &mut self,
        read: &mut BytesMut,
        ended: &mut Vec<Ended<Vec<Part>>>,
    ) -> Result<bool, ProtocolError> {
        let parse = |i: &mut Input| (be_u32, be_u16, be_u16, be_u64, be_u32).parse_next(i);
        let Some((_, flags, kind, cookie, length)) = head(read, parse, "chunk")? else { return Ok(false) };
        if length > MOST_LENGTH + MOST_EXTRA {
            return Err(ProtocolError("chunk too long"));
        }
        if !self.out.contains_key(&cookie) {
            return Err(ProtocolError("a chunk that nothing asked for"));
        }
        let Some(data) = body(read, 20, length as usize) else { return Ok(false) };
        let Some(out) = self.out.get_mut(&cookie) else { return Ok(false) };
        match kind {
            chunk::NONE => {}
            chunk::DATA => {
                let at = head(&data, |i| be_u64.parse_next(i), "short chunk")?;
                let at = at.ok_or(ProtocolError("short chunk"))?;
                take_part(out, Part::Data(at, data.slice(8..)))?;
            }
            chunk::HOLE => {
                let hole = head(&data, |i| (be_u64, be_u32).parse_next(i), "short chunk")?;
                let (at, length) = hole.ok_or(ProtocolError("short chunk"))?;
                take_part(out, Part::Hole(at, length))?;
            }
            kind if kind & chunk::ERROR_BIT != 0 => {
                let error = |i: &mut Input| {
                    let (errno, length) = (be_u32, be_u16).parse_next(i)?;
                    let text = winnow::token::take(length).parse_next(i)?;
                    Ok((errno, text == b"BUSY" || text.starts_with(b"BUSY ")))
                };
                let (errno, busy) = head(&data, error, "short chunk")?.ok_or(ProtocolError("short chunk"))?;
                let never_ran = errno == errno::NOMEM && busy && out.parts.is_empty();
                out.error = Some(if never_ran { Ending::Full } else { Ending::Error });
            }
            _ => return Err(ProtocolError("unknown chunk")),
        }
        if flags & chunk::DONE != 0 {
            if let Some(out) = self.out.remove(&cookie) {
                ended.push(finish(out));
            }
        }
        Ok(true)
    }
}

/// Takes a part of what was read: inside what was asked for, and nothing twice.
fn take_part(out: &mut Out, part: Part) -> Result<(), ProtocolError> {
    let (at, length) = part.span();
    let (from, to) = (out.offset, out.offset + out.expects);
    let end = at.checked_add(length).ok_or(ProtocolError("a chunk outside of what was asked for"))?;
    if length == 0 || at < from || end > to {
        return Err(ProtocolError("a chunk outside of what was asked for"));
    }
    let place = out.parts.partition_point(|p| p.span().0 < at);
    let before = place.checked_sub(1).map(|i| out.parts[i].span());
    let after = out.parts.get(place).map(|p| p.span().0);
    if before.is_some_and(|(a, l)| a + l > at) || after.is_some_and(|a| a < end) {
        return Err(ProtocolError("chunks overlap"));
    }
    out.got += length;
    out.parts.insert(place, part);
    Ok(())
}

/// The one outcome of a reply that is whole.
fn finish(out: Out) -> Ended<Vec<Part>> {
    let end = match out.error {
        Some(ending) => AttemptEnd::without_reply(ending),
        // Less came than was asked for: nothing to serve a client with.
        None if out.got != out.expects => AttemptEnd::without_reply(Ending::Error),
        None => AttemptEnd { reply: Some(out.parts), ..AttemptEnd::without_reply(Ending::Served) },
    };
    (out.tag, end)
}

impl Exchange<Nbd> for Node {
    fn send(&mut self, tag: AttemptId, _: Time, request: Request) {
        match self.phase {
            Phase::Ready => self.write(tag, request),
            _ => self.waiting.push((tag, request)),
        }
    }

    fn can_send(&self) -> bool {
        matches!(self.phase, Phase::Ready)
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn receive(
        &mut self,
        read: &mut BytesMut,
        ended: &mut Vec<Ended<Vec<Part>>>,
    ) -> Result<(), ProtocolError> {
        while self.step(read, ended)? {}
        Ok(())
    }

    fn cancel_unsent(&mut self) -> Vec<AttemptId> {
        let waiting: Vec<AttemptId> = self.waiting.drain(..).map(|(tag, _)| tag).collect();
        // Cookies are in the order of the writes.
        let begun = |out: &Out| self.outbox.has_begun(out.start);
        let first = self.out.iter().find(|(_, out)| !begun(out)).map_or(u64::MAX, |(cookie, _)| *cookie);
        let back = self.out.split_off(&first);
        if let Some(first) = back.values().next() {
            self.outbox.truncate(first.start);
        }
        back.into_values().map(|out| out.tag).chain(waiting).collect()
    }

    fn connection_lost(&mut self) -> Vec<Ended<Vec<Part>>> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let never = waiting.map(|(tag, _)| (tag, AttemptEnd::without_reply(Ending::Unreachable)));
        let out = std::mem::take(&mut self.out).into_values();
        let outbox = &self.outbox;
        never
            .chain(out.map(|o| (o.tag, AttemptEnd::without_reply(ending_after_loss(outbox, o.end)))))
            .collect()
    }
}
