//! The client's side of RESP2: a connection to a node.

use super::*;
use crate::interface::Ending;
use crate::state::buffer_budget::BufferBudget;
use crate::state::pipe::{pipe, PipeWriter, Progress, WINDOW};
use crate::state::planner::{AttemptEnd, AttemptId};
use crate::wire::link::{
    either, ending_after_loss, Ended, Exchange, ReplyProgress, Wakeup, REPLY_STALL_TIMEOUT, UNSOLICITED_REPLY,
};
use std::collections::VecDeque;

/// How long nothing may come of a long reply while its client reads on.
const LONG: Time = 5_000_000;
/// A body that has not come whole yet: its end is nowhere.
const NOWHERE: u64 = u64::MAX;

/// A connection to a node.
#[derive(Debug, Default)]
pub struct Node {
    outbox: Outbox,
    /// What is out, in the order of the answers, each with the positions of its first byte and behind its last.
    out: VecDeque<(AttemptId, u64, u64)>,
    /// A body on its way, the last of what is out.
    sending: Option<PipeReader>,
    /// A long reply on its way.
    passing: Option<Passing>,
    flow: Option<ReplyProgress<Reply>>,
    budget: BufferBudget,
}

/// A long reply on its way.
#[derive(Debug)]
struct Passing {
    giver: PipeWriter,
    /// Bytes of the value that are still to come.
    left: usize,
    /// Items that follow it.
    items: usize,
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

fn ending_of(value: Value) -> Result<AttemptEnd<Reply>, ProtocolError> {
    match value {
        Value::Array(Some(items)) => {
            let mut texts = items.into_iter().map(|i| if let Value::Bulk(text) = i { text } else { None });
            let value = texts.next().flatten();
            let (volume_use, served_elsewhere) =
                texts.next().flatten().map_or((None, 0.0), |text| figures(&text));
            let util = texts.next().flatten().and_then(|text| busy(&text));
            // A null value is nothing to serve a client with, but the node ran the request.
            let ending = if value.is_some() { Ending::Served } else { Ending::Error };
            Ok(AttemptEnd { ending, reply: value.map(Reply::Buffered), volume_use, served_elsewhere, util })
        }
        Value::Error(text) => {
            let busy = text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            let figures_at = text.iter().rposition(|b| *b == b' ').map_or(text.len(), |at| at + 1);
            let (volume_use, served_elsewhere) = figures(&text[figures_at..]);
            let ending = if busy { Ending::Full } else { Ending::Error };
            Ok(AttemptEnd { ending, reply: None, volume_use, served_elsewhere, util: None })
        }
        _ => Err(ProtocolError("not a reply to a request")),
    }
}

impl Node {
    /// A connection whose windows are charged to this room.
    pub fn new(budget: BufferBudget) -> Self {
        Node { budget, ..Node::default() }
    }

    /// Passes on what has come of a long reply; true when it has come to its end.
    fn pass(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let Some(passing) = &mut self.passing else { return Ok(false) };
        if passing.giver.is_abandoned() {
            // Its client is gone. Nothing else can be had of this connection before all of it has come.
            return Err(ProtocolError("nobody reads on"));
        }
        let n = passing.left.min(read.len()).min(passing.giver.space());
        passing.giver.put(read.split_to(n).freeze());
        passing.left -= n;
        if passing.left > 0 || decode_rest(passing.items, read)?.is_none() {
            return Ok(false);
        }
        if let Some(passing) = self.passing.take() {
            passing.giver.finish();
        }
        Ok(true)
    }
}

impl Exchange<Resp> for Node {
    fn send(&mut self, tag: AttemptId, left: Time, request: Command) {
        let start = self.outbox.end();
        self.sending = request.write(left, &mut self.outbox);
        let end = if self.sending.is_some() { NOWHERE } else { self.outbox.end() };
        self.out.push_back((tag, start, end));
    }

    fn can_send(&self) -> bool {
        self.sending.is_none()
    }

    fn is_idle(&self) -> bool {
        self.out.is_empty() && self.passing.is_none()
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<Reply>>) -> Result<(), ProtocolError> {
        loop {
            if self.passing.is_some() {
                if self.pass(read)? {
                    self.flow = Some(ReplyProgress::Complete);
                }
                return Ok(());
            }
            if let Some((items, left)) = decode_long(read) {
                let (tag, _, sent) = self.out.pop_front().ok_or(UNSOLICITED_REPLY)?;
                if sent == NOWHERE {
                    return Err(ProtocolError("a reply before the request was whole"));
                }
                let (giver, taker) = pipe(&self.budget, MOST_VALUE);
                self.passing = Some(Passing { giver, left, items: items - 1 });
                let reply = Some(Reply::Streamed(taker, left));
                self.flow = Some(ReplyProgress::Begun(
                    tag,
                    AttemptEnd { reply, ..AttemptEnd::without_reply(Ending::Served) },
                ));
                return Ok(());
            }
            let Some(value) = decode(read)? else {
                // Not even the beginning of a reply may come before a request: the next reply would be taken for its rest.
                let unasked = self.out.is_empty() && !read.is_empty();
                return if unasked { Err(ProtocolError("bytes that nothing asked for")) } else { Ok(()) };
            };
            let end = ending_of(value)?;
            let (tag, _, sent) = self.out.pop_front().ok_or(UNSOLICITED_REPLY)?;
            ended.push((tag, end));
            if sent == NOWHERE {
                // What is left of the body would be taken for the next command.
                self.sending = None;
                return Err(ProtocolError("a reply before the request was whole"));
            }
        }
    }

    fn progress(&mut self) -> Option<ReplyProgress<Reply>> {
        self.flow.take()
    }

    fn fill(&mut self) -> Result<(), ProtocolError> {
        while let Some(taker) = &self.sending {
            if self.outbox.len() >= WINDOW as u64 {
                return Ok(());
            }
            match (taker.take(), taker.progress()) {
                (Some(bytes), _) => self.outbox.push(bytes),
                (None, Progress::Ongoing) => return Ok(()),
                (None, Progress::Broken) => return Err(ProtocolError("the rest of a body will not come")),
                (None, Progress::Complete) => {
                    self.outbox.push(&b"\r\n"[..]);
                    if let Some(last) = self.out.back_mut() {
                        last.2 = self.outbox.end();
                    }
                    self.sending = None;
                }
            }
        }
        Ok(())
    }

    fn wants_read(&self, unread: usize) -> bool {
        self.passing.as_ref().is_none_or(|p| p.left <= unread || p.giver.space() > unread)
    }

    fn read_timeout(&self, unread: usize) -> Option<Time> {
        match &self.passing {
            Some(_) => self.wants_read(unread).then_some(LONG),
            None => (unread > 0).then_some(REPLY_STALL_TIMEOUT),
        }
    }

    fn wakeup(&self) -> Option<Wakeup> {
        let put = self
            .sending
            .as_ref()
            .filter(|_| self.outbox.len() < WINDOW as u64)
            .map(PipeReader::wait_for_bytes);
        let taken = self.passing.as_ref().map(|p| p.giver.wait_for_space());
        either(put, taken)
    }

    fn cancel_unsent(&mut self) -> Vec<AttemptId> {
        let begun = self.out.iter().take_while(|(_, start, _)| self.outbox.has_begun(*start)).count();
        let back: Vec<(AttemptId, u64, u64)> = self.out.drain(begun..).collect();
        if let Some((_, start, _)) = back.first() {
            self.outbox.truncate(*start);
            // A body on its way belongs to the last of what was out.
            self.sending = None;
        }
        back.into_iter().map(|(tag, ..)| tag).collect()
    }

    fn connection_lost(&mut self) -> Vec<Ended<Reply>> {
        let outbox = &self.outbox;
        self.out
            .drain(..)
            .map(|(tag, _, at)| (tag, AttemptEnd::without_reply(ending_after_loss(outbox, at))))
            .collect()
    }
}
