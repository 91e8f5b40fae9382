//! The client side of RESP2: the protocol state of one connection to a node.

use super::*;
use crate::interface::{Ending, RequestId};
use crate::state::buffer_budget::BufferBudget;
use crate::state::pipe::{pipe, PipeWriter, Progress};
use crate::state::planner::{AttemptEnd, AttemptId};
use crate::wire::link::{
    either, ending_after_loss, Ended, Exchange, ReplyProgress, ReplyState, Wakeup, UNSOLICITED_REPLY,
};
use bytes::Buf;
use std::collections::VecDeque;

/// End position of a request whose body is still being received from the client.
const END_UNKNOWN: u64 = u64::MAX;

/// The protocol state of one connection to a node.
#[derive(Debug, Default)]
pub struct Node {
    outbox: Outbox,
    /// Attempts without a reply, in the order of their replies, each with the outbox positions of its first byte and of the
    /// byte after its last.
    pending: VecDeque<(AttemptId, u64, u64)>,
    /// The request body that is being sent; it belongs to the last attempt in `pending`.
    sending: Option<PipeReader>,
    /// The long reply that is being received.
    streamed: Option<StreamedReply>,
    flow: Option<ReplyProgress<Reply>>,
    budget: BufferBudget,
}

/// A long reply that is being received.
#[derive(Debug)]
struct StreamedReply {
    tag: AttemptId,
    /// Receives the value. `None` once all of it has arrived and only the items behind it are missing.
    writer: Option<PipeWriter>,
    /// Bytes of the value still to be received.
    left: usize,
    /// Number of items that follow the value in the reply.
    items: usize,
}

/// Parses the usage report of a text such as `used=37,cost=4`: the used fraction of the plan's rate, and the units that were
/// served elsewhere.
fn usage(text: &[u8]) -> (Option<f64>, f64) {
    let pairs = fields(text).unwrap_or_default();
    let find = |name: &[u8]| pairs.iter().find(|(n, _)| *n == name).and_then(|(_, v)| number::<f64>(v));
    let sane = |v: &f64| v.is_finite() && *v >= 0.0;
    (find(b"used").filter(sane).map(|v| v / 100.0), find(b"cost").filter(sane).unwrap_or(0.0))
}

/// Parses the utilisation of the node's cores from a load report.
fn core_utilisation(text: &[u8]) -> Option<f64> {
    let find = |(name, value): &(&[u8], &[u8])| (*name == b"busy").then(|| number(value)).flatten();
    fields(text)?.iter().find_map(find).filter(|v: &f64| v.is_finite())
}

fn ending_of(value: Value) -> Result<AttemptEnd<Reply>, ProtocolError> {
    match value {
        Value::Array(Some(items)) => {
            let mut texts = items.into_iter().map(|i| if let Value::Bulk(text) = i { text } else { None });
            let value = texts.next().flatten();
            let (volume_use, served_elsewhere) =
                texts.next().flatten().map_or((None, 0.0), |text| usage(&text));
            let util = texts.next().flatten().and_then(|text| core_utilisation(&text));
            // A null value cannot be served to a client, but it shows that the node ran the request.
            let ending = if value.is_some() { Ending::Served } else { Ending::Error };
            Ok(AttemptEnd { ending, reply: value.map(Reply::Buffered), volume_use, served_elsewhere, util })
        }
        Value::Error(text) => {
            let busy = text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            let usage_at = text.iter().rposition(|b| *b == b' ').map_or(text.len(), |at| at + 1);
            let (volume_use, served_elsewhere) = usage(&text[usage_at..]);
            let ending = if busy { Ending::Full } else { Ending::Error };
            Ok(AttemptEnd { ending, reply: None, volume_use, served_elsewhere, util: None })
        }
        _ => Err(ProtocolError("not a reply to a request")),
    }
}

impl Node {
    /// Creates the state of a new connection. The windows of its streamed replies are charged to the given budget.
    pub fn new(budget: BufferBudget) -> Self {
        Node { budget, ..Node::default() }
    }

    /// Moves received bytes of a long reply into its window. Returns true when the reply is complete.
    fn receive_streamed(&mut self, read: &mut BytesMut) -> Result<bool, ProtocolError> {
        let Some(streamed) = &mut self.streamed else { return Ok(false) };
        if let Some(writer) = &streamed.writer {
            if writer.is_abandoned() {
                // The client is gone. The connection cannot carry another reply before the rest of this one has been received.
                return Err(ProtocolError("the client no longer reads the reply"));
            }
            let n = streamed.left.min(read.len()).min(writer.space());
            writer.put_copy(&read[..n]);
            read.advance(n);
            streamed.left -= n;
            if streamed.left > 0 || !decode_line_end(read)? {
                return Ok(false);
            }
            // The client does not wait for the items behind the value.
            streamed.writer.take().into_iter().for_each(PipeWriter::finish);
        }
        if decode_rest(streamed.items, read)?.is_none() {
            return Ok(false);
        }
        self.streamed = None;
        Ok(true)
    }
}

impl Exchange<Resp> for Node {
    fn send(&mut self, tag: AttemptId, left: Time, request: Command) {
        let start = self.outbox.end();
        self.sending = request.write(left, &mut self.outbox);
        let end = if self.sending.is_some() { END_UNKNOWN } else { self.outbox.end() };
        self.pending.push_back((tag, start, end));
    }

    fn replying(&self) -> Option<RequestId> {
        let first = self.pending.front().map(|(tag, ..)| tag);
        self.streamed.as_ref().map(|reply| &reply.tag).or(first).map(|(id, _)| *id)
    }

    fn can_send(&self) -> bool {
        self.sending.is_none()
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.streamed.is_none()
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<Reply>>) -> Result<(), ProtocolError> {
        loop {
            if self.streamed.is_some() {
                if self.receive_streamed(read)? {
                    self.flow = Some(ReplyProgress::Complete);
                }
                return Ok(());
            }
            if let Some((items, left)) = decode_long(read) {
                let (tag, _, sent) = self.pending.pop_front().ok_or(UNSOLICITED_REPLY)?;
                if sent == END_UNKNOWN {
                    return Err(ProtocolError("reply received before the request was sent completely"));
                }
                let (writer, reader) = pipe(&self.budget, MAX_VALUE);
                self.streamed = Some(StreamedReply { tag, writer: Some(writer), left, items: items - 1 });
                let reply = Some(Reply::Streamed(reader, left));
                self.flow = Some(ReplyProgress::Begun(
                    tag,
                    AttemptEnd { reply, ..AttemptEnd::without_reply(Ending::Served) },
                ));
                return Ok(());
            }
            let Some(value) = decode(read)? else {
                // No byte of a reply may arrive before a request was sent: the next reply would be parsed as its continuation.
                let unasked = self.pending.is_empty() && !read.is_empty();
                return if unasked {
                    Err(ProtocolError("reply bytes received without a pending request"))
                } else {
                    Ok(())
                };
            };
            let end = ending_of(value)?;
            let (tag, _, sent) = self.pending.pop_front().ok_or(UNSOLICITED_REPLY)?;
            ended.push((tag, end));
            if sent == END_UNKNOWN {
                // The node would parse the rest of the body as the next command.
                self.sending = None;
                return Err(ProtocolError("reply received before the request was sent completely"));
            }
        }
    }

    fn progress(&mut self) -> Option<ReplyProgress<Reply>> {
        self.flow.take()
    }

    fn fill(&mut self) -> Result<(), ProtocolError> {
        while let Some(reader) = &self.sending {
            if self.outbox.len() >= reader.read_ahead() as u64 {
                return Ok(());
            }
            match (reader.take(), reader.progress()) {
                (Some(bytes), _) => self.outbox.push(bytes),
                (None, Progress::Ongoing) => return Ok(()),
                (None, Progress::Broken) => {
                    return Err(ProtocolError("the client did not send the complete body"))
                }
                (None, Progress::Complete) => {
                    self.outbox.push(&b"\r\n"[..]);
                    if let Some(last) = self.pending.back_mut() {
                        last.2 = self.outbox.end();
                    }
                    self.sending = None;
                }
            }
        }
        Ok(())
    }

    fn wants_read(&self, unread: usize) -> bool {
        let reads = |writer: &PipeWriter, left: usize| left <= unread || writer.space() > unread;
        self.streamed.as_ref().is_none_or(|p| p.writer.as_ref().is_none_or(|w| reads(w, p.left)))
    }

    fn reply_state(&self, unread: usize) -> ReplyState {
        match &self.streamed {
            Some(_) if self.wants_read(unread) => ReplyState::AwaitsNode,
            Some(_) => ReplyState::AwaitsClient,
            None if unread > 0 => ReplyState::AwaitsNode,
            None => ReplyState::Complete,
        }
    }

    fn wakeup(&self) -> Option<Wakeup> {
        let put = self
            .sending
            .as_ref()
            .filter(|reader| self.outbox.len() < reader.read_ahead() as u64)
            .map(PipeReader::wait_for_bytes);
        let taken = self.streamed.as_ref().and_then(|p| p.writer.as_ref()).map(PipeWriter::wait_for_space);
        either(put, taken)
    }

    fn cancel_unsent(&mut self) -> Vec<AttemptId> {
        let begun = self.pending.iter().take_while(|(_, start, _)| self.outbox.has_begun(*start)).count();
        let back: Vec<(AttemptId, u64, u64)> = self.pending.drain(begun..).collect();
        if let Some((_, start, _)) = back.first() {
            self.outbox.truncate(*start);
            // A body that is being sent belongs to the last attempt in `pending`, which is withdrawn here.
            self.sending = None;
        }
        back.into_iter().map(|(tag, ..)| tag).collect()
    }

    fn connection_lost(&mut self) -> Vec<Ended<Reply>> {
        let outbox = &self.outbox;
        self.pending
            .drain(..)
            .map(|(tag, _, at)| (tag, AttemptEnd::without_reply(ending_after_loss(outbox, at))))
            .collect()
    }
}
