//! A link to a node: the driver of one connection, generic over the protocol spoken on it.

use super::outbox::Outbox;
use super::read_buffer::{ReadBuffer, Received};
use crate::interface::{Ending, RequestId, Time};
use crate::state::buffer_budget::{BufferBudget, Reservation};
use crate::state::guard::{Denied, Guard};
use crate::state::planner::{AttemptEnd, AttemptId, AttemptTimes, Input, LinkEnd, Wire};
use crate::state::pool::LinkId;
use crate::state::reply_clock::ReplyArrival;
use crate::wire::clock::LoopClock;
use crate::wire::socket::{
    connect_failure, is_short_of_memory, is_transient, unread, ConnectFailure, Unread, RETRY_DELAY,
};
use bytes::BytesMut;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// Memory of a link for received and for waiting bytes, each, that is not charged to the buffer budget, in bytes. Most replies
/// and requests fit into it.
pub const UNCHARGED: usize = 8 * 1024;

/// A peer violated the protocol. The text is meant for the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// The node sent a complete reply while no request was outstanding.
pub const UNSOLICITED_REPLY: ProtocolError = ProtocolError("a reply that nothing asked for");

/// What a link waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyState {
    /// Every reply is complete.
    Complete,
    /// A reply is incomplete, and the link waits for its node.
    AwaitsNode,
    /// A reply is incomplete, and the link reads no more of it before the client has taken what has arrived.
    AwaitsClient,
}

/// A future to wait for that borrows nothing from the waiting task.
pub type Wakeup = Pin<Box<dyn Future<Output = ()>>>;

/// Returns a future that completes with the first of the two given ones, or `None` if neither is given.
pub fn either(
    a: Option<impl Future<Output = ()> + 'static>,
    b: Option<impl Future<Output = ()> + 'static>,
) -> Option<Wakeup> {
    match (a, b) {
        (Some(a), Some(b)) => Some(Box::pin(async move {
            tokio::select! {
                () = a => {}
                () = b => {}
            }
        })),
        (Some(a), None) => Some(Box::pin(a)),
        (None, Some(b)) => Some(Box::pin(b)),
        (None, None) => None,
    }
}

/// Waits for the wake-up, or forever if there is none.
pub async fn wait_for(wakeup: Option<Wakeup>) {
    match wakeup {
        Some(wakeup) => wakeup.await,
        None => std::future::pending().await,
    }
}

/// Progress of a reply that is forwarded to the client while it is still being received.
#[derive(Debug, PartialEq)]
pub enum ReplyProgress<R> {
    /// The reply has begun and is the answer to this attempt.
    Begun(AttemptId, AttemptEnd<R>),
    /// The reply has been received completely.
    Complete,
}

/// An attempt that has ended, and how it ended.
pub type Ended<R> = (AttemptId, AttemptEnd<R>);

/// The client side of a protocol spoken with a node. Sans-I/O: the link does the reading and writing.
pub trait Exchange<W: Wire>: 'static {
    /// Queues a request for sending. `left` is how long its answer is awaited, in microseconds.
    fn send(&mut self, tag: AttemptId, left: Time, request: W::Request);
    /// The bytes that wait to be written to the node.
    fn outbox(&mut self) -> &mut Outbox;
    /// Consumes the complete messages at the front of `read` and appends the attempts that they end to `ended`.
    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<W::Reply>>)
        -> Result<(), ProtocolError>;
    /// Returns the progress of a reply that is forwarded while it is received. The link asks once after each
    /// [`Exchange::receive`]; if there is progress, `receive` stopped at that point and is called again.
    fn progress(&mut self) -> Option<ReplyProgress<W::Reply>> {
        None
    }
    /// Returns the request whose reply is being received, if the protocol can tell.
    fn replying(&self) -> Option<RequestId> {
        None
    }
    /// Whether the protocol accepts another request now. Until it does, requests wait in the link's queue.
    fn can_send(&self) -> bool {
        true
    }
    /// Whether no request is outstanding in a protocol without request numbers: bytes received now would be taken
    /// for the reply to the next request.
    fn is_idle(&self) -> bool {
        false
    }
    /// Moves request body bytes that are available elsewhere to the outbox. Fails if the rest of a body will never
    /// become available.
    fn fill(&mut self) -> Result<(), ProtocolError> {
        Ok(())
    }
    /// Whether to read more from the node while `_unread` received bytes are not consumed yet.
    fn wants_read(&self, _unread: usize) -> bool {
        true
    }
    /// What the link waits for, while `unread` received bytes are not consumed yet.
    fn reply_state(&self, unread: usize) -> ReplyState {
        match unread {
            0 => ReplyState::Complete,
            _ => ReplyState::AwaitsNode,
        }
    }
    /// Returns a future that completes when body bytes or space for them become available, or `None` if the
    /// protocol waits for neither.
    fn wakeup(&self) -> Option<Wakeup> {
        None
    }
    /// Removes every request of which no byte has been written, and returns their attempts.
    fn cancel_unsent(&mut self) -> Vec<AttemptId>;
    /// Returns how each outstanding attempt has ended now that the connection is closed.
    fn connection_lost(&mut self) -> Vec<Ended<W::Reply>>;
}

/// A command from the planner's driver to a link.
pub enum LinkCommand<W: Wire> {
    /// Sends an attempt within the given times.
    Send(AttemptId, AttemptTimes, W::Request),
    /// Returns an attempt to the planner if it has not begun, because its client no longer waits for it.
    Withdraw(AttemptId),
    /// Returns all attempts that have not begun, because the node accepts no further requests.
    StopSending,
}

/// Returns how an attempt ended when its connection is lost; `position` is the end of its request in the outbox.
/// A request whose last byte was never written cannot have run.
pub fn ending_after_loss(outbox: &Outbox, position: u64) -> Ending {
    match outbox.is_written(position) {
        true => Ending::Reset,
        false => Ending::Unreachable,
    }
}

/// The times until which bytes may be written to nodes.
#[derive(Debug)]
pub struct SendDeadlines {
    /// End of this broker's lease, after which nothing may be written. `Time::MAX` if the broker needs no lease.
    pub lease: Rc<Cell<Time>>,
    /// End of the validity of the list of nodes, after which no first byte of a request may be written.
    pub list: Cell<Time>,
}

/// The send deadlines, shared between the links and the tasks that set them.
pub type Permit = Rc<SendDeadlines>;

/// The task of one link: the node it connects to, its queue, and the planner it reports to.
pub struct LinkTask<W: Wire, X> {
    /// Number of the link.
    pub id: LinkId,
    /// Address of the node.
    pub address: String,
    /// Time limit for establishing the connection.
    pub connect_timeout: Duration,
    /// Client side of the protocol.
    pub exchange: X,
    /// Commands for the link. It closes without a report when the sender is dropped.
    pub commands: UnboundedReceiver<LinkCommand<W>>,
    /// Input channel of the planner.
    pub planner: UnboundedSender<Input<W>>,
    /// The current time, and the scheduling lag of this process.
    pub loop_clock: LoopClock,
    /// Memory budget for incomplete replies.
    pub budget: BufferBudget,
    /// The times until which bytes may be written.
    pub permit: Permit,
    /// The guard that every attempt passes before it begins.
    pub guard: Guard,
    /// Attempts that have not begun, in order of arrival. Each is passed to the protocol when the connection can
    /// take it, returned to the planner, or ended together with the link.
    pub queue: VecDeque<Waiting<W>>,
}

/// Why an attempt was not sent by its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotSent {
    /// Its client no longer waits for it.
    Withdrawn,
    /// Its node accepts no further requests, or the list of nodes has expired.
    Barred,
    /// The guard rejected it.
    Denied(Denied),
}

/// Least time for its answer that a request states to the node, in microseconds. The protocol counts whole
/// milliseconds, so a smaller value would be sent as zero.
const MIN_ANSWER_TIME: Time = 1_000;

/// An attempt that waits in the queue of its link.
pub type Waiting<W> = (AttemptId, AttemptTimes, <W as Wire>::Request);

impl<W: Wire, X: Exchange<W>> LinkTask<W, X> {
    /// Connects, carries attempts, and reports how each ended, until the connection is lost or the planner
    /// closes the link.
    pub async fn run(mut self) {
        let down = match self.connect().await {
            None => return,
            Some(Err((down, reason))) => {
                tracing::debug!(
                    link = self.id,
                    address = self.address,
                    reason,
                    ?down,
                    "link did not come up"
                );
                down
            }
            Some(Ok(stream)) => {
                let port = stream.local_addr().map_or(0, |address| address.port());
                tracing::debug!(link = self.id, address = self.address, port, "link up");
                let _ = self.planner.send(Input::LinkUp(self.id));
                let Some(reason) = self.serve_connection(stream).await else { return };
                tracing::debug!(link = self.id, reason, "link ended");
                match reason == UNSOLICITED_REPLY.0 {
                    true => LinkEnd::Repeated,
                    false => LinkEnd::Ended,
                }
            }
        };
        // Commands that arrived while the connection ended were never written. Their attempts end as `NotSent`, because
        // a node that closes an idle connection is still reachable.
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.handle(command);
        }
        let never = match down {
            LinkEnd::Never => Ending::Unreachable,
            LinkEnd::Here => Ending::NoLink,
            LinkEnd::Ended | LinkEnd::Repeated => Ending::NotSent,
        };
        for (tag, ..) in std::mem::take(&mut self.queue) {
            let _ = self.planner.send(Input::AttemptEnded(self.id, tag, AttemptEnd::without_reply(never)));
        }
        for (tag, end) in self.exchange.connection_lost() {
            let _ = self.planner.send(Input::AttemptEnded(self.id, tag, end));
        }
        let _ = self.planner.send(Input::LinkDown(self.id, down));
    }

    /// Opens the connection. Returns `None` if the planner closes the link before the connection is up.
    async fn connect(&mut self) -> Option<Result<TcpStream, (LinkEnd, String)>> {
        let address = self.address.clone();
        let connect = tokio::time::timeout(self.connect_timeout, TcpStream::connect(address));
        tokio::pin!(connect);
        loop {
            tokio::select! {
                connected = &mut connect => return Some(match connected {
                    Err(_) => Err((LinkEnd::Never, "timed out".to_string())),
                    Ok(Err(e)) if connect_failure(&e) == ConnectFailure::Local => Err((LinkEnd::Here, e.to_string())),
                    Ok(Err(e)) => Err((LinkEnd::Never, e.to_string())),
                    Ok(Ok(stream)) => {
                        let _ = stream.set_nodelay(true);
                        Ok(stream)
                    }
                }),
                command = self.commands.recv() => {
                    let command = command?;
                    self.handle(command);
                }
            }
        }
    }

    fn handle(&mut self, command: LinkCommand<W>) {
        match command {
            LinkCommand::Send(tag, span, request) => self.queue.push_back((tag, span, request)),
            LinkCommand::Withdraw(tag) => {
                if let Some(index) = self.queue.iter().position(|(waiting, ..)| *waiting == tag) {
                    self.queue.remove(index);
                    self.report_not_sent(tag, NotSent::Withdrawn);
                }
            }
            LinkCommand::StopSending => self.return_unsent(),
        }
    }

    fn report_not_sent(&self, tag: AttemptId, reason: NotSent) {
        let (id, attempt) = tag;
        tracing::debug!(link = self.id, id, attempt, address = self.address, ?reason, "given back");
        let _ =
            self.planner.send(Input::AttemptEnded(self.id, tag, AttemptEnd::without_reply(Ending::NotSent)));
    }

    /// Returns all attempts that have not begun to the planner as not sent.
    fn return_unsent(&mut self) {
        let queued = self.exchange.cancel_unsent().into_iter();
        let waiting = std::mem::take(&mut self.queue).into_iter().map(|(tag, ..)| tag);
        queued.chain(waiting).for_each(|tag| self.report_not_sent(tag, NotSent::Barred));
    }

    /// Whether the next attempt can begin as soon as the socket is writable.
    fn can_begin(&mut self) -> bool {
        !self.queue.is_empty() && self.exchange.can_send() && self.exchange.outbox().is_empty()
    }

    /// Passes the next attempt that may begin at `now` to the protocol. An attempt that the guard rejects, for example
    /// because its time to begin is over, is returned to the planner.
    fn begin_next(&mut self, now: Time) {
        while self.can_begin() {
            let Some((tag, span, request)) = self.queue.pop_front() else { return };
            match self.guard.begin(tag, now, span.begin_by, span.until) {
                Ok(()) => self.exchange.send(tag, (span.until - now).max(MIN_ANSWER_TIME), request),
                Err(denied) => self.report_not_sent(tag, NotSent::Denied(denied)),
            }
        }
    }

    /// Reads and writes until the connection ends, and returns the reason. Returns `None` if the planner closes the
    /// link.
    async fn serve_connection(&mut self, stream: TcpStream) -> Option<String> {
        let (received, waiting_bytes) = (self.budget.empty_reservation(), self.budget.empty_reservation());
        let mut partial = PartialReply {
            bytes: ReadBuffer::default(),
            received,
            waiting: waiting_bytes,
            arrival: ReplyArrival::default(),
            state: ReplyState::Complete,
        };
        let reason = self.exchange_messages(&stream, &mut partial).await?;
        if partial.state != ReplyState::Complete {
            self.log_broken_reply(&partial, &reason);
        }
        Some(reason)
    }

    /// Logs that the connection has ended inside a reply.
    fn log_broken_reply(&self, partial: &PartialReply, reason: &str) {
        let arrived = partial.arrival.arrived();
        let silent_us = self.loop_clock.now() - arrived.last;
        let (link, id, bytes) = (self.id, self.exchange.replying(), arrived.bytes);
        tracing::warn!(id, link, self.address, bytes, silent_us, reason, "connection ended inside an answer");
    }

    /// Reads and writes as [`LinkTask::serve_connection`] does.
    async fn exchange_messages(&mut self, stream: &TcpStream, partial: &mut PartialReply) -> Option<String> {
        // Whether the other tasks have run since the socket became writable, so that an attempt may begin.
        let mut caught_up = false;
        let mut yields = false;
        loop {
            if let Err(e) = self.exchange.fill() {
                return Some(e.to_string());
            }
            partial.waiting.set(self.exchange.outbox().memory().saturating_sub(UNCHARGED));
            let waiting = !self.exchange.outbox().is_empty() || self.can_begin();
            let listens = self.exchange.wants_read(partial.bytes.len());
            let wakeup = self.exchange.wakeup();
            if std::mem::take(&mut yields) {
                // More is waiting on this connection. The others have their turn first.
                tokio::task::yield_now().await;
            }
            tokio::select! {
                // Reads come first, so that a node's close is noticed before a request is written to it.
                biased;
                ready = stream.readable(), if listens => {
                    if let Err(e) = ready {
                        return Some(e.to_string());
                    }
                    match partial.bytes.read(stream) {
                        Ok(Received { bytes: 0, .. }) => return Some("closed by the node".to_string()),
                        Ok(Received { bytes, drained }) => {
                            partial.arrival.received(self.loop_clock.now(), bytes);
                            yields = !drained;
                        }
                        Err(e) if is_short_of_memory(&e) => {
                            tokio::time::sleep(RETRY_DELAY).await;
                            continue;
                        }
                        Err(e) if is_transient(&e) => continue,
                        Err(e) => return Some(e.to_string()),
                    }
                    if let Err(reason) = self.receive(partial) {
                        return Some(reason);
                    }
                }
                () = wait_for(wakeup) => {
                    if let Err(reason) = self.receive(partial) {
                        return Some(reason);
                    }
                }
                // Commands come before writes, so that a withdrawn attempt is not written.
                command = self.commands.recv() => {
                    let command = command?;
                    self.handle(command);
                }
                ready = stream.writable(), if waiting => {
                    if let Err(e) = ready {
                        return Some(e.to_string());
                    }
                    if self.can_begin() && !caught_up {
                        // During a stall of this process, a client may have closed its connection without this being
                        // noticed. Its task must run first, so that its request is withdrawn.
                        caught_up = true;
                        self.loop_clock.catch_up().await;
                        continue;
                    }
                    caught_up = false;
                    if self.can_begin() && self.exchange.is_idle() && unread(stream) != Unread::Nothing {
                        // Unread bytes are a second reply to an earlier request or the node's close. They are read
                        // before another request begins, since they would be taken for its reply.
                        tokio::task::yield_now().await;
                        continue;
                    }
                    // The deadlines are checked here, immediately before the write, because bytes count as sent only once
                    // they are passed to the socket.
                    let now = self.loop_clock.now();
                    if now >= self.permit.lease.get() {
                        return Some("no lease".to_string());
                    }
                    if now >= self.permit.list.get() {
                        self.return_unsent();
                    }
                    self.begin_next(now);
                    if let Err(e) = self.exchange.fill() {
                        return Some(e.to_string());
                    }
                    let outbox = self.exchange.outbox();
                    if outbox.is_empty() {
                        continue;
                    }
                    match stream.try_write_vectored(&outbox.slices()) {
                        Ok(n) => outbox.wrote(n),
                        Err(e) if is_short_of_memory(&e) => tokio::time::sleep(RETRY_DELAY).await,
                        Err(e) if is_transient(&e) => {}
                        Err(e) => return Some(e.to_string()),
                    }
                }
            }
        }
    }

    /// Tells the planner what the link waits for, if that has changed.
    fn report_state(&self, partial: &mut PartialReply) {
        let state = self.exchange.reply_state(partial.bytes.len());
        let before = std::mem::replace(&mut partial.state, state);
        if state == ReplyState::Complete {
            partial.arrival.complete();
        }
        if state == before {
            return;
        }
        if before == ReplyState::AwaitsClient {
            partial.arrival.read_again(self.loop_clock.now());
        }
        let awaited = (state == ReplyState::AwaitsNode).then(|| partial.arrival.clone());
        let _ = self.planner.send(Input::PartialReply(self.id, awaited));
    }

    /// Passes the received bytes to the protocol, and reports the results to the planner.
    fn receive(&mut self, partial: &mut PartialReply) -> Result<(), String> {
        let mut ended = Vec::new();
        loop {
            let result = self.exchange.receive(partial.bytes.bytes_mut(), &mut ended);
            for (tag, end) in ended.drain(..) {
                let _ = self.planner.send(Input::AttemptEnded(self.id, tag, end));
            }
            match self.exchange.progress() {
                Some(ReplyProgress::Begun(tag, end)) => {
                    drop(self.planner.send(Input::ReplyBegun(self.id, tag, end)))
                }
                Some(ReplyProgress::Complete) => drop(self.planner.send(Input::ReplyFinished(self.id))),
                None => {
                    if let Err(e) = result {
                        tracing::warn!(address = self.address, "node violated the protocol: {e}");
                        return Err(e.to_string());
                    }
                    break;
                }
            }
        }
        self.report_state(partial);
        partial.bytes.shrink();
        if !partial.received.resize(partial.bytes.memory().saturating_sub(UNCHARGED)) {
            tracing::warn!(address = self.address, "no buffer budget left for a reply");
            return Err("no buffer budget left for a reply".to_string());
        }
        Ok(())
    }
}

/// An incomplete reply.
struct PartialReply {
    bytes: ReadBuffer,
    /// Budget reserved for the received bytes.
    received: Reservation,
    /// Budget charged for the bytes that wait to be written to the node.
    waiting: Reservation,
    /// What has arrived of it, shared with the planner.
    arrival: ReplyArrival,
    /// What the link waited for when it last reported to the planner.
    state: ReplyState,
}
