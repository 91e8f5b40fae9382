//! A link to a node: the driver of one connection, whatever is spoken on it.

use super::outbox::Outbox;
use crate::interface::{Ending, Time};
use crate::state::buffer_budget::{BufferBudget, Reservation};
use crate::state::guard::{Denied, Guard};
use crate::state::planner::{AttemptEnd, AttemptId, AttemptTimes, Input, LinkEnd, Wire};
use crate::state::pool::LinkId;
use crate::wire::clock::LoopClock;
use crate::wire::socket::{
    connect_failure, is_short_of_memory, is_transient, unread, ConnectFailure, Unread as Lying, RETRY_DELAY,
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

/// Room for a read: most replies fit.
const READ: usize = 16 * 1024;

/// A peer broke the protocol; the text is for the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// A whole reply came while nothing was out.
pub const UNSOLICITED_REPLY: ProtocolError = ProtocolError("a reply that nothing asked for");

/// How long nothing may come of a reply that has begun: nodes stand still between replies, not within.
pub const REPLY_STALL_TIMEOUT: Time = 300_000;
/// How often a long reply that comes in parts is told to come on.
const COMING: Time = 100_000;

/// Something to wait for that holds nothing of whoever waits.
pub type Wakeup = Pin<Box<dyn Future<Output = ()>>>;

/// Wakes with the first of two, where there is any.
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

/// Waits for it, or for good.
pub async fn wait_for(wakeup: Option<Wakeup>) {
    match wakeup {
        Some(wakeup) => wakeup.await,
        None => std::future::pending().await,
    }
}

/// What becomes of a reply that is passed on while it comes.
#[derive(Debug, PartialEq)]
pub enum ReplyProgress<R> {
    /// It has begun, and is the answer.
    Begun(AttemptId, AttemptEnd<R>),
    /// It has come to its end.
    Complete,
}

/// An attempt that ended, and how.
pub type Ended<R> = (AttemptId, AttemptEnd<R>);

/// The client's side of a protocol, spoken with a node. Sans-I/O.
pub trait Exchange<W: Wire>: 'static {
    /// Takes a request to be sent; `left` is how long its answer is waited for.
    fn send(&mut self, tag: AttemptId, left: Time, request: W::Request);
    /// What is to be written.
    fn outbox(&mut self) -> &mut Outbox;
    /// Takes what was read and consumes what is whole of it.
    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<W::Reply>>)
        -> Result<(), ProtocolError>;
    /// What has become of a reply that is passed on while it comes, once after each [`Exchange::receive`] that ended
    /// there: it is to be called again.
    fn progress(&mut self) -> Option<ReplyProgress<W::Reply>> {
        None
    }
    /// Whether a further request can be taken now; until then it waits with the link.
    fn can_send(&self) -> bool {
        true
    }
    /// Whether nothing is out, and whatever comes now would be taken for the reply to the next request.
    fn is_idle(&self) -> bool {
        false
    }
    /// Moves on what waits elsewhere to be written; an error where it will never come.
    fn fill(&mut self) -> Result<(), ProtocolError> {
        Ok(())
    }
    /// Whether more should be read, with so many bytes unread.
    fn wants_read(&self, _unread: usize) -> bool {
        true
    }
    /// For how long the next bytes may be waited for, with so many unread.
    fn read_timeout(&self, unread: usize) -> Option<Time> {
        (unread > 0).then_some(REPLY_STALL_TIMEOUT)
    }
    /// Wakes when there is something to move on; nothing, if that is not waited for.
    fn wakeup(&self) -> Option<Wakeup> {
        None
    }
    /// Takes back every request of which no byte has been written, and names it.
    fn cancel_unsent(&mut self) -> Vec<AttemptId>;
    /// The connection is over: how everything still out has ended.
    fn connection_lost(&mut self) -> Vec<Ended<W::Reply>>;
}

/// An command to a link.
pub enum LinkCommand<W: Wire> {
    /// Send an attempt, within these times.
    Send(AttemptId, AttemptTimes, W::Request),
    /// Nobody wants an attempt any more: if it has not begun, it is to be given back.
    Withdraw(AttemptId),
    /// The node takes nothing more: what has not begun is to be given back.
    StopSending,
}

/// How an attempt ended whose request lies before `position` in what was to be written: one whose last
/// byte never left this machine cannot have run.
pub fn ending_after_loss(outbox: &Outbox, position: u64) -> Ending {
    match outbox.is_written(position) {
        true => Ending::Reset,
        false => Ending::Unreachable,
    }
}

/// Until when what may be written to nodes.
#[derive(Debug)]
pub struct SendDeadlines {
    /// Anything: the end of this broker's lease, or for good where it needs none.
    pub lease: Rc<Cell<Time>>,
    /// The first byte of a request: as long as the list of nodes holds.
    pub list: Cell<Time>,
}

/// The same, as links and those who set it share it.
pub type Permit = Rc<SendDeadlines>;

/// Where a link connects to and whom it reports to.
pub struct LinkTask<W: Wire, X> {
    /// Its number.
    pub id: LinkId,
    /// The node's address.
    pub address: String,
    /// How long the connection may take to come up.
    pub connect_timeout: Duration,
    /// The protocol.
    pub exchange: X,
    /// Orders; the link closes without a word when the sender is dropped.
    pub commands: UnboundedReceiver<LinkCommand<W>>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// The time, and how late this process runs.
    pub loop_clock: LoopClock,
    /// Room for replies that are not whole yet.
    pub budget: BufferBudget,
    /// Until when anything may be written.
    pub permit: Permit,
    /// Whom each attempt asks before it begins.
    pub guard: Guard,
    /// Attempts that have not begun, in their command; each ends by being handed over when the connection can take it, by
    /// being given back, or with the link.
    pub queue: VecDeque<Waiting<W>>,
}

/// Why an attempt was not sent by its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotSent {
    /// Nobody wants it any more.
    Withdrawn,
    /// Its node takes nothing more, or the list of nodes is out of date.
    Barred,
    /// The guard said no.
    Denied(Denied),
}

/// The least that a node is told to have for its answer, in microseconds: the wire counts milliseconds.
const LEAST_TOLD: Time = 1_000;

/// An attempt that waits for its link.
pub type Waiting<W> = (AttemptId, AttemptTimes, <W as Wire>::Request);

impl<W: Wire, X: Exchange<W>> LinkTask<W, X> {
    /// Connects, carries attempts, and reports how each ended, until the connection breaks or the planner
    /// lets go of it.
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
                let Some(reason) = self.carry(stream).await else { return };
                tracing::debug!(link = self.id, reason, "link ended");
                match reason == UNSOLICITED_REPLY.0 {
                    true => LinkEnd::Repeated,
                    false => LinkEnd::Ended,
                }
            }
        };
        // Orders that crossed the end were never written. A node that closes an idle connection is not out of reach.
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            self.take(command);
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

    /// The connection; nothing when the planner lets go before it is up.
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
                    self.take(command);
                }
            }
        }
    }

    fn take(&mut self, command: LinkCommand<W>) {
        match command {
            LinkCommand::Send(tag, span, request) => self.queue.push_back((tag, span, request)),
            LinkCommand::Withdraw(tag) => {
                if let Some(place) = self.queue.iter().position(|(waiting, ..)| *waiting == tag) {
                    self.queue.remove(place);
                    self.never_sent(tag, NotSent::Withdrawn);
                }
            }
            LinkCommand::StopSending => self.give_back(),
        }
    }

    fn never_sent(&self, tag: AttemptId, reason: NotSent) {
        let (id, attempt) = tag;
        tracing::debug!(link = self.id, id, attempt, address = self.address, ?reason, "given back");
        let _ =
            self.planner.send(Input::AttemptEnded(self.id, tag, AttemptEnd::without_reply(Ending::NotSent)));
    }

    /// Gives back what has not begun, as never sent.
    fn give_back(&mut self) {
        let handed = self.exchange.cancel_unsent().into_iter();
        let waiting = std::mem::take(&mut self.queue).into_iter().map(|(tag, ..)| tag);
        handed.chain(waiting).for_each(|tag| self.never_sent(tag, NotSent::Barred));
    }

    /// Whether the next attempt can begin as soon as the socket takes bytes.
    fn could_begin(&mut self) -> bool {
        !self.queue.is_empty() && self.exchange.can_send() && self.exchange.outbox().is_empty()
    }

    /// Hands over the next attempt that may begin at `now`. One whose time for that is over is given back.
    fn begin(&mut self, now: Time) {
        while self.could_begin() {
            let Some((tag, span, request)) = self.queue.pop_front() else { return };
            match self.guard.begin(tag, now, span.begin_by, span.until) {
                Ok(()) => self.exchange.send(tag, (span.until - now).max(LEAST_TOLD), request),
                Err(denied) => self.never_sent(tag, NotSent::Denied(denied)),
            }
        }
    }

    /// Reads and writes until the connection ends, which gives the reason, or the planner lets go.
    async fn carry(&mut self, stream: TcpStream) -> Option<String> {
        let mut unread_part =
            Unread { read: BytesMut::new(), part: self.budget.empty_reservation(), told: None };
        // Others have been given way to before an attempt begins.
        let mut caught_up = false;
        loop {
            if let Err(e) = self.exchange.fill() {
                return Some(e.to_string());
            }
            let waiting = !self.exchange.outbox().is_empty() || self.could_begin();
            let listens = self.exchange.wants_read(unread_part.read.len());
            let wakeup = self.exchange.wakeup();
            tokio::select! {
                // Reading comes first: a node that has closed is seen before a request is written to it.
                biased;
                ready = stream.readable(), if listens => {
                    if let Err(e) = ready {
                        return Some(e.to_string());
                    }
                    unread_part.read.reserve(READ);
                    match stream.try_read_buf(&mut unread_part.read) {
                        Ok(0) => return Some("closed by the node".to_string()),
                        Ok(_) => {}
                        Err(e) if is_short_of_memory(&e) => {
                            tokio::time::sleep(RETRY_DELAY).await;
                            continue;
                        }
                        Err(e) if is_transient(&e) => continue,
                        Err(e) => return Some(e.to_string()),
                    }
                    if let Err(reason) = self.receive(&mut unread_part) {
                        return Some(reason);
                    }
                }
                () = wait_for(wakeup) => {
                    if let Err(reason) = self.receive(&mut unread_part) {
                        return Some(reason);
                    }
                }
                // Then commands: what is withdrawn must not be written first.
                command = self.commands.recv() => {
                    let command = command?;
                    self.take(command);
                }
                ready = stream.writable(), if waiting => {
                    if let Err(e) = ready {
                        return Some(e.to_string());
                    }
                    if self.could_begin() && !caught_up {
                        // A client may have gone while nobody read, and its request not be wanted any more.
                        caught_up = true;
                        self.loop_clock.catch_up().await;
                        continue;
                    }
                    caught_up = false;
                    if self.could_begin() && self.exchange.is_idle() && unread(&stream) != Lying::Nothing {
                        // A second answer, or the node's end: nothing is begun behind it. It is read first.
                        tokio::task::yield_now().await;
                        continue;
                    }
                    // Here, and nowhere before: what is not handed to the socket has not been sent.
                    let now = self.loop_clock.now();
                    if now >= self.permit.lease.get() {
                        return Some("no lease".to_string());
                    }
                    if now >= self.permit.list.get() {
                        self.give_back();
                    }
                    self.begin(now);
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

    /// Has the exchange take what was read, and reports what came of it.
    fn receive(&mut self, unread: &mut Unread) -> Result<(), String> {
        let mut ended = Vec::new();
        loop {
            let result = self.exchange.receive(&mut unread.read, &mut ended);
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
                        tracing::warn!(address = self.address, "node broke the protocol: {e}");
                        return Err(e.to_string());
                    }
                    break;
                }
            }
        }
        let (now, patience) = (self.loop_clock.now(), self.exchange.read_timeout(unread.read.len()));
        let told = unread.told.map(|(patience, _)| patience);
        let lately = unread.told.is_some_and(|(_, at)| now - at < COMING);
        // Of a short reply each part is told; of a long one, now and then.
        if told != patience || (patience.is_some() && !(lately && patience > Some(REPLY_STALL_TIMEOUT))) {
            unread.told = patience.map(|patience| (patience, now));
            let _ = self.planner.send(Input::PartialReply(self.id, patience));
        }
        if unread.read.is_empty() {
            // An idle link must not pin the buffer of its last reply.
            unread.read = BytesMut::new();
        }
        if !unread.part.resize(unread.read.len().saturating_sub(READ)) {
            tracing::warn!(address = self.address, "no room for a reply");
            return Err("no room for a reply".to_string());
        }
        Ok(())
    }
}

/// What was read of a node and is not whole yet.
struct Unread {
    read: BytesMut,
    part: Reservation,
    /// For how long the planner was told that more may be waited for, and when.
    told: Option<(Time, Time)>,
}
