//! Drives one client connection, independent of the protocol spoken on it. The driver reads and parses commands, passes
//! requests to the planner and writes answers; the planner decides where and when a request is sent.

use super::link::{wait_for, Wakeup};
use super::outbox::Outbox;
use super::read_buffer::{ReadBuffer, Received};
use crate::interface::Time;
use crate::interface::{Arrival, RequestId};
use crate::state::activity::Activity;
use crate::state::body_clock::{BodyClock, BodyEnd, IncompleteBody};
use crate::state::client_slots::ClientSlot;
use crate::state::guard::{CloseReason, Guard};
use crate::state::phase::Phase;
use crate::state::planner::{Answer, AnswerSender, ClientRequest, Input, Wire};
use crate::state::reply_clock::{WithheldClock, WithheldReply};
use crate::wire::clock::LoopClock;
use crate::wire::socket::{is_short_of_memory, is_transient, unread, Unread, RETRY_DELAY};
use bytes::BytesMut;
use std::cell::Cell;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// Bytes that are read ahead while no further request of a client is accepted: the end of the connection may follow them.
const READ_AHEAD: usize = 16 * 1024;
/// Bytes that are read ahead if the buffer budget allows it.
const MAX_READ_AHEAD: usize = 4 << 20;
/// How often the driver checks whether a client has closed its connection after sending more than the read-ahead limit.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Attempts to write the last bytes of a connection.
const MAX_FINAL_WRITES: usize = 12;
/// Bytes of answers that may wait for a client that does not read them; beyond this, no further request is accepted.
const MAX_UNREAD_ANSWERS: u64 = 64 * 1024;
/// How long a closing connection waits for its client to close, so that a TCP reset does not discard answers that the
/// client has not read yet.
const LINGER: Duration = Duration::from_millis(100);
/// How long a connection whose requests are refused may take to send its first command, in microseconds.
const REFUSED_COMMAND_TIMEOUT: Time = 100_000;
/// Requests that arrived longer than this before they were read are logged, in microseconds.
const LOGGED_WAIT: Time = 20_000;

/// Allocates request ids; shared by all fronts of a planner.
#[derive(Debug, Clone, Default)]
pub struct RequestIds(std::rc::Rc<std::cell::Cell<RequestId>>);

impl RequestIds {
    /// Returns the next unused id.
    pub fn next(&self) -> RequestId {
        let id = self.0.get() + 1;
        self.0.set(id);
        id
    }
}

/// The server side of a protocol with one client, without I/O.
pub trait Session<W: Wire>: 'static {
    /// Parses and consumes the complete commands in `read`, and appends their requests. `now` is when the bytes arrived.
    fn receive(&mut self, now: Time, read: &mut BytesMut, requests: &mut Vec<(Arrival, W::Request)>);
    /// Returns the body that is still being received, or `None` if there is none.
    fn incomplete_body(&self) -> Option<IncompleteBody> {
        None
    }
    /// Returns the request whose body is still being received and whose client gets no further time, once.
    fn expire_body(&mut self) -> Option<RequestId> {
        None
    }
    /// Ends the session because the rest of a body does not come. The request keeps its place until it has its answer.
    fn end_unfinished_body(&mut self) {}
    /// Consumes received bytes up to the end of the body that is being received, and no command behind it.
    fn receive_body(&mut self, _now: Time, _read: &mut BytesMut) {}
    /// Accepts the final answer to a request.
    fn answer(&mut self, id: RequestId, answer: Answer<W::Reply>);
    /// Returns the bytes that wait to be written to the client.
    fn outbox(&mut self) -> &mut Outbox;
    /// Records that `bytes` bytes of the outbox were written.
    fn wrote(&mut self, bytes: usize) {
        self.outbox().wrote(bytes);
    }
    /// Moves streamed data that has arrived into the outbox.
    fn fill_outbox(&mut self) {}
    /// Returns a future that completes when more streamed data can be moved, or `None` if the session waits for none.
    fn wakeup(&self) -> Option<Wakeup> {
        None
    }
    /// Whether an answer is being streamed to the client while it arrives from the node.
    fn is_streaming(&self) -> bool {
        false
    }
    /// Returns the answer whose turn it is and of which the client gets nothing before it is whole, if there is one.
    fn withheld_reply(&self) -> Option<WithheldReply> {
        None
    }
    /// Gives up the answer that [`Session::withheld_reply`] returns: its client is told that the request failed.
    fn end_withheld_reply(&mut self) {}
    /// Whether a streamed answer broke off. The connection must then be closed, so that the client sees that the answer is
    /// incomplete.
    fn is_stream_broken(&self) -> bool {
        false
    }
    /// Returns the next request whose streamed body has arrived completely, with the time at which its client gives up.
    fn take_complete_upload(&mut self) -> Option<(RequestId, Time)> {
        None
    }
    /// Records that the connection ends while these requests, which may have run or may run yet, have no answer.
    fn abandon(&mut self, _now: Time, _may_have_run: &[RequestId]) {}
    /// Returns the requests that have no answer yet.
    fn unanswered(&self) -> Vec<RequestId>;
    /// Charges the memory of the read buffer to the buffer budget. Returns whether the budget allows another read.
    fn charge_read(&mut self, _memory: usize) -> bool {
        true
    }
    /// Whether the budget allows more than [`READ_AHEAD`] bytes to be read ahead.
    fn may_read_far_ahead(&self) -> bool {
        false
    }
    /// Whether the limit of unanswered requests is reached, so that no further request is accepted for now.
    fn is_full(&self) -> bool;
    /// Whether no further request will be accepted, because the client quit or violated the protocol.
    fn is_ending(&self) -> bool;
    /// Whether the connection may be closed between requests to free its slot for another client.
    fn is_evictable(&self) -> bool {
        true
    }
    /// Ends the session because a command stayed incomplete for too long. Queues an error if the protocol has one.
    fn reject_unfinished_command(&mut self);
    /// Tells the client that the broker stops, if the protocol has a message for it.
    fn stop(&mut self) {}
    /// Refuses commands that have not arrived yet, if the protocol has an answer for it: the connection closes, and a client
    /// may have sent several commands at once that are still in transit.
    fn refuse_pending(&mut self) {}
}

/// What is consumed of the bytes that have been read from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadScope {
    /// All complete commands.
    Commands,
    /// Only the rest of the body that is being received: no further request is accepted any more, but one whose body
    /// is under way can only be answered in time once its last byte has been read.
    Body,
}

/// How the requests of a connection are handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Requests are passed to the planner.
    Served,
    /// The connection limit is reached: requests are refused at once, and the connection is closed.
    Refused,
}

impl Admission {
    /// Returns when a connection that was last used at `since` is to be closed between requests. `answer` tells whether that
    /// use was an answer; otherwise the connection was only opened.
    fn closes_at(self, phase: Phase, since: Time, answer: bool) -> Option<Time> {
        match self {
            Admission::Served => phase.closes_at(since, answer),
            Admission::Refused if answer => Some(since),
            Admission::Refused => Some(since + REFUSED_COMMAND_TIMEOUT),
        }
    }

    /// Returns the deadline of a request that is accepted at `now` and whose client waits until `due`.
    fn due(self, due: Time, now: Time) -> Time {
        match self {
            Admission::Served => due,
            Admission::Refused => due.min(now),
        }
    }
}

/// A connection that the front has accepted.
pub struct NewConnection {
    /// The client slot that the connection occupies.
    pub slot: ClientSlot,
    /// The earliest time at which unread data of the connection may have arrived.
    pub arrived: Time,
    /// How the requests of the connection are handled.
    pub admission: Admission,
}

/// Serves one client connection until either side ends it, or until the broker's phase requires that it is closed between
/// requests.
pub async fn serve<W: Wire, S: Session<W>>(
    stream: TcpStream,
    mut session: S,
    context: SessionContext<W>,
    NewConnection { slot, arrived, admission }: NewConnection,
) {
    let SessionContext { planner, guard, loop_clock, mut phase } = context;
    let phase_of_requests = phase.clone();
    let (back, mut answers) = unbounded_channel();
    let mut read = ReadBuffer::default();
    let mut activity = Activity::new(loop_clock.now());
    let mut body_clock = BodyClock::new(loop_clock.now());
    let mut withheld_clock = WithheldClock::default();
    let mut yields = false;
    // Whether data was read ahead while no request was accepted.
    let mut has_unparsed = false;
    // Since when the socket has not been read.
    let mut not_read_since = None;
    let waiting_since = (unread(&stream) == Unread::Bytes).then_some(arrived);
    let last_seen_open = Cell::new(Time::MIN);
    let dispatcher = Dispatcher {
        planner,
        guard,
        back,
        loop_clock,
        phase: phase_of_requests,
        admission,
        waiting_since: Cell::new(waiting_since),
        last_seen_open,
    };
    let _ = stream.set_nodelay(true);
    let reason = loop {
        session.fill_outbox();
        let waiting = !session.outbox().is_empty();
        if session.is_stream_broken() && !waiting {
            break CloseReason::BrokenValue;
        }
        let has_unanswered = !session.unanswered().is_empty();
        // The end of the connection may lie behind much that is unread, and nothing of that is to be sent any more.
        if (has_unanswered || yields) && has_closed(&stream).await {
            break CloseReason::ClientGone;
        }
        let answered = !has_unanswered && !waiting && !session.is_streaming();
        let now = dispatcher.loop_clock.now();
        if let Some(body) = session.incomplete_body().filter(|body| body_clock.examine_at(*body) <= now) {
            let is_held = !read.is_empty() || unread(&stream) == Unread::Bytes;
            match body_clock.end(now, body, is_held) {
                Some(end) => dispatcher.end_body(&mut session, now, end),
                None if !is_held => body_clock.empty(),
                None => {}
            }
        }
        let current_phase = *phase.borrow();
        let reply_ends = withheld_clock.ends_at(now, session.withheld_reply());
        let reply_ends = reply_ends.map(|at| at.min(current_phase.last_answer_at().unwrap_or(at)));
        if reply_ends.is_some_and(|at| at <= now) {
            session.end_withheld_reply();
            continue;
        }
        let incomplete_body = session.incomplete_body();
        let receives_body = incomplete_body.is_some();
        if !receives_body {
            // How long anything else lies unread says nothing about the next body.
            body_clock.empty();
        }
        let idle = answered && !receives_body;
        let evictable = answered && session.is_evictable();
        slot.set_evictable(evictable.then(|| activity.spare()));
        let deadline = activity.deadline(now, evictable, waiting);
        let is_over = |at: Option<Time>| at.is_some_and(|at| at <= now);
        let over = is_over(deadline);
        // A partly received command keeps the connection open: its last byte may be in transit.
        let closes = admission.closes_at(current_phase, activity.last_use(), activity.is_used());
        let closes = closes.filter(|_| idle && !activity.has_partial_command());
        // So do commands that a client sent as a batch and that have not arrived yet. Where all requests are refused, the missing
        // ones of a batch are refused as well.
        let batch = activity.batch_until(now).filter(|_| idle && admission == Admission::Served);
        let closes = closes.map(|at| at.max(batch.unwrap_or(at)));
        // A partial command does not keep the connection open beyond the last time at which it could be answered.
        let ends = current_phase.last_answer_at().filter(|_| answered);
        let stops_reading = current_phase.stops_reading_at().filter(|_| !idle && !receives_body);
        let takes_requests = current_phase.stops_reading_at().is_none_or(|at| at > now || idle);
        let scope = if receives_body && !takes_requests { ReadScope::Body } else { ReadScope::Commands };
        let may_read = (takes_requests || receives_body) && !session.is_ending();
        let accepts = may_read && !session.is_full() && session.outbox().len() < MAX_UNREAD_ANSWERS;
        if accepts && std::mem::take(&mut has_unparsed) {
            // Data that was read ahead is parsed and answered before the connection is considered for closing.
            has_unparsed |= dispatcher.take(&stream, &mut session, &mut activity, &mut read, scope);
            continue;
        }
        if over && waiting {
            break CloseReason::NotRead;
        }
        let close_wanted = (slot.is_close_requested() && batch.is_none()) || is_over(closes) || is_over(ends);
        if idle && session.is_ending() {
            break CloseReason::Ended;
        }
        let unfinished = activity.has_partial_command()
            && (over || is_over(ends) || (evictable && slot.is_close_requested()));
        let idle_end = (idle && (over || close_wanted)) || is_over(ends);
        if unfinished || idle_end {
            // The process may have been paused while the time passed, so data that has arrived is read first. Yielding lets the
            // runtime poll the sockets again.
            let reads = current_phase.reads_idle_connections(now);
            if reads && unread(&stream) == Unread::Bytes && !session.is_ending() {
                tokio::task::yield_now().await;
                match read.read(&stream) {
                    Ok(Received { bytes: 1.., .. }) => {
                        has_unparsed |=
                            dispatcher.take(&stream, &mut session, &mut activity, &mut read, scope);
                        continue;
                    }
                    Err(error) if is_transient(&error) => continue,
                    _ => {}
                }
            }
            if unfinished {
                activity.discard_partial_command();
                if !session.is_ending() {
                    session.reject_unfinished_command();
                    continue;
                }
            }
            if idle || is_over(ends) {
                break match (over, slot.is_close_requested()) {
                    (true, _) => CloseReason::Idle,
                    (false, true) => CloseReason::PlaceWanted,
                    (false, false) => CloseReason::SentAway,
                };
            }
        }
        let wakeup = session.wakeup();
        // The socket is read ahead so that a client that has closed is noticed even while its requests are unanswered. It is not
        // read any more once new requests would not be answered.
        let within_budget = session.charge_read(read.memory());
        let far_ahead = session.may_read_far_ahead() && read.len() < MAX_READ_AHEAD;
        // What lies behind a body that is not consumed says nothing before the body is.
        let reads_ahead = !session.is_streaming() && !receives_body && (read.len() < READ_AHEAD || far_ahead);
        let reads = within_budget && (accepts || (may_read && reads_ahead));
        if !reads || incomplete_body.is_some_and(|body| read.len() >= body.left) {
            body_clock.not_read(now);
        }
        let body_examined = incomplete_body.map(|body| body_clock.examine_at(body));
        let wakes = [deadline, closes, ends, stops_reading, batch, body_examined, reply_ends];
        let wakes = wakes.into_iter().flatten();
        slot.set_deadline(wakes.filter(|at| *at > now).min());
        if !reads {
            not_read_since = not_read_since.or(Some(now));
        } else if let Some(since) = not_read_since.take().filter(|_| unread(&stream) == Unread::Bytes) {
            dispatcher.note_waiting_since(since);
        }
        if read.is_empty() {
            dispatcher.clear_if_drained(&stream);
        }
        if std::mem::take(&mut yields) {
            // More is waiting on this connection. The others, and the sockets, have their turn first.
            tokio::task::yield_now().await;
        }
        tokio::select! {
            biased;
            Some((id, answer)) = answers.recv() => {
                dispatcher.answer(&mut session, id, answer);
                while let Ok((id, answer)) = answers.try_recv() {
                    dispatcher.answer(&mut session, id, answer);
                }
                // Parses data that was held back while too many requests were unanswered.
                if !read.is_empty() && !session.is_full() {
                    has_unparsed |= dispatcher.take(&stream, &mut session, &mut activity, &mut read, scope);
                }
            }
            ready = stream.writable(), if waiting => {
                match ready.and_then(|()| stream.try_write_vectored(&session.outbox().slices())) {
                    Ok(n) => {
                        session.wrote(n);
                        activity.wrote(dispatcher.loop_clock.now());
                    }
                    Err(e) if is_short_of_memory(&e) => tokio::time::sleep(RETRY_DELAY).await,
                    Err(e) if is_transient(&e) => {}
                    Err(_) => break CloseReason::ClientGone,
                }
            }
            ready = stream.readable(), if reads => {
                match ready.and_then(|()| read.read(&stream)) {
                    Ok(Received { bytes: 0, .. }) => break CloseReason::ClientGone,
                    Ok(Received { drained, .. }) => {
                        body_clock.read(dispatcher.loop_clock.now(), drained);
                        // What is read ahead makes no work, and ends with the buffer.
                        yields = !drained && accepts;
                    }
                    Err(e) if is_short_of_memory(&e) => {
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                    Err(e) if is_transient(&e) => {
                        dispatcher.note_still_open(&e);
                        continue;
                    }
                    Err(_) => break CloseReason::ClientGone,
                }
                match accepts {
                    true => {
                        has_unparsed |= dispatcher.take(&stream, &mut session, &mut activity, &mut read, scope);
                    }
                    false => {
                        has_unparsed = true;
                        dispatcher.note_waiting_since(dispatcher.loop_clock.earliest_arrival());
                    }
                }
            }
            () = tokio::time::sleep(CLOSE_POLL_INTERVAL), if !reads => {
                if has_closed(&stream).await {
                    break CloseReason::ClientGone;
                }
            }
            Ok(()) = phase.changed() => {
                if phase.borrow().is_terminating() {
                    session.stop();
                }
            }
            () = wait_for(wakeup) => {
                // The limit of unanswered requests may allow data that was read before.
                if !read.is_empty() && !session.is_full() {
                    has_unparsed |= dispatcher.take(&stream, &mut session, &mut activity, &mut read, scope);
                }
            }
            () = slot.woken() => {}
        }
    };
    dispatcher.end(&mut session, &activity, reason, *phase.borrow());
    let refuses = !activity.is_used() || admission == Admission::Refused;
    if refuses && reason.is_broker_initiated() {
        session.refuse_pending();
        write_last(&stream, &mut session).await;
    }
    if lingers(reason, activity.is_used(), admission) {
        close(stream).await;
    }
}

/// Writes the last bytes of a connection. Gives up on a client that does not read them.
async fn write_last<W: Wire, S: Session<W>>(stream: &TcpStream, session: &mut S) {
    for _ in 0..MAX_FINAL_WRITES {
        if session.outbox().is_empty() {
            return;
        }
        match stream.try_write_vectored(&session.outbox().slices()) {
            Ok(n) => session.wrote(n),
            Err(error) if is_transient(&error) => tokio::time::sleep(RETRY_DELAY).await,
            Err(_) => return,
        }
    }
}

/// Whether a connection stays open for a moment after its write side is shut down: a request that crosses the end would
/// cause a reset, which may discard an answer in transit. Where connection slots run out, a refused connection and one that
/// never sent a request are closed at once.
fn lingers(reason: CloseReason, used: bool, admission: Admission) -> bool {
    match reason {
        CloseReason::ClientGone | CloseReason::NotRead | CloseReason::BrokenValue => false,
        CloseReason::PlaceWanted => used,
        CloseReason::Ended | CloseReason::Idle | CloseReason::SentAway => admission == Admission::Served,
    }
}

/// Whether the client has closed its side of the connection, even if data before the end is still unread.
async fn has_closed(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

/// State that all sessions of a front share.
pub struct SessionContext<W: Wire> {
    /// The planner, which receives the sessions' requests.
    pub planner: UnboundedSender<Input<W>>,
    /// Checks that every request is answered exactly once; sessions report each request, answer and close to it.
    pub guard: Guard,
    /// The event loop's clock and scheduling lag.
    pub loop_clock: LoopClock,
    /// The broker's phase.
    pub phase: watch::Receiver<Phase>,
}

impl<W: Wire> Clone for SessionContext<W> {
    fn clone(&self) -> Self {
        let (planner, guard) = (self.planner.clone(), self.guard.clone());
        SessionContext { planner, guard, loop_clock: self.loop_clock.clone(), phase: self.phase.clone() }
    }
}

/// Passes the requests of one connection to the planner, with the sender through which their answers return.
struct Dispatcher<W: Wire> {
    planner: UnboundedSender<Input<W>>,
    guard: Guard,
    back: AnswerSender<W::Reply>,
    loop_clock: LoopClock,
    phase: watch::Receiver<Phase>,
    admission: Admission,
    /// Since when the data that is parsed next may have waited, in the socket or in the read-ahead buffer. `None` if it has
    /// just arrived.
    waiting_since: Cell<Option<Time>>,
    /// When a read last found neither data nor the end of the connection.
    last_seen_open: Cell<Time>,
}

impl<W: Wire> Dispatcher<W> {
    /// Records an answer with the guard and passes it to the session.
    fn answer<S: Session<W>>(&self, session: &mut S, id: RequestId, answer: Answer<W::Reply>) {
        self.guard.answer(id, self.loop_clock.now());
        session.answer(id, answer);
    }

    /// Ends a connection and withdraws its unanswered requests from the planner.
    fn end<S: Session<W>>(&self, session: &mut S, activity: &Activity, reason: CloseReason, phase: Phase) {
        let owed = session.unanswered();
        // If the process stalled, the client may have closed at the beginning of the stall, but not before the connection was
        // last seen open.
        let closed = self.loop_clock.earliest_arrival().max(self.last_seen_open.get());
        session.abandon(self.loop_clock.now(), &self.guard.may_have_run(&owed));
        self.guard.close(&owed, closed, reason);
        match reason {
            CloseReason::NotRead | CloseReason::BrokenValue if !owed.is_empty() => {
                tracing::warn!(?reason, ?owed, "connection closed with unanswered requests");
            }
            _ => {
                let now = self.loop_clock.now();
                let (open_us, since_us, stalled_us) =
                    (now - activity.accepted(), now - closed, now - self.loop_clock.earliest_arrival());
                tracing::debug!(
                    ?reason,
                    ?owed,
                    used = activity.is_used(),
                    open_us,
                    since_us,
                    stalled_us,
                    ?phase,
                    "client closed"
                );
            }
        }
        for id in owed {
            let _ = self.planner.send(Input::ClientGone(id));
        }
    }

    /// Records that the connection is still open if `error` says that a read found neither data nor its end.
    fn note_still_open(&self, error: &std::io::Error) {
        if error.kind() == ErrorKind::WouldBlock {
            self.last_seen_open.set(self.loop_clock.now());
        }
    }

    /// Clears the waiting time once the socket is empty: an earlier check may not have been able to tell.
    fn clear_if_drained(&self, stream: &TcpStream) {
        if self.waiting_since.get().is_some() && unread(stream) == Unread::Nothing {
            self.waiting_since.set(None);
        }
    }

    /// Records that the data that is parsed next may have waited since `since`; an earlier recorded time is kept.
    fn note_waiting_since(&self, since: Time) {
        self.waiting_since.set(Some(self.waiting_since.get().map_or(since, |before| before.min(since))));
    }

    /// Has the session parse what was read, and passes its requests to the planner. A request's deadline counts from when the
    /// data arrived, not from when the session could accept it. Returns whether `scope` has left bytes behind that may be a
    /// further command.
    fn take<S: Session<W>>(
        &self,
        stream: &TcpStream,
        session: &mut S,
        activity: &mut Activity,
        read: &mut ReadBuffer,
        scope: ReadScope,
    ) -> bool {
        let (before, mut requests) = (read.len(), Vec::new());
        let came = self.loop_clock.earliest_arrival();
        let waiting_since = self.waiting_since.get();
        let arrived = waiting_since.map_or(came, |since| since.min(came));
        match scope {
            ReadScope::Commands => session.receive(arrived, read.bytes_mut(), &mut requests),
            ReadScope::Body => session.receive_body(arrived, read.bytes_mut()),
        }
        let waited_us = self.loop_clock.now() - arrived;
        if waited_us > LOGGED_WAIT && !requests.is_empty() {
            tracing::debug!(
                waited_us,
                lying = waiting_since.is_some(),
                requests = requests.len(),
                "requests arrived before they were read"
            );
        }
        let rests = |waiting_since: Option<Time>| {
            waiting_since.is_some()
                && ((session.is_full() && !read.is_empty()) || unread(stream) == Unread::Bytes)
        };
        self.waiting_since.set(waiting_since.filter(|_| rests(waiting_since)));
        activity.read(self.loop_clock.now(), before, read.len(), requests.len());
        read.shrink();
        for (mut arrival, request) in requests {
            arrival.due = self.due(arrival.due, arrived);
            // The deadline of a request whose body is still arriving is not known yet.
            let due = if W::streams_body(&request) { Time::MAX } else { arrival.due };
            self.guard.take(arrival.id, due);
            let ask = ClientRequest { arrival, request, back: self.back.clone(), of_client: true };
            let _ = self.planner.send(Input::Request(ask));
        }
        while let Some((id, due)) = session.take_complete_upload() {
            let last = self.phase.borrow().body_answer_deadline(arrived).unwrap_or(Time::MAX);
            let due = self.admission.due(due.min(last), self.loop_clock.now());
            self.guard.retime(id, due);
            let _ = self.planner.send(Input::BodyComplete(id, due));
        }
        scope == ReadScope::Body && session.incomplete_body().is_none() && !read.is_empty()
    }

    /// Ends a request whose body is not complete: its client gets an answer, and no further time.
    fn end_body<S: Session<W>>(&self, session: &mut S, now: Time, end: BodyEnd) {
        if let Some(id) = session.expire_body() {
            tracing::debug!(id, ?end, "body not complete");
            self.guard.retime(id, now);
            let _ = self.planner.send(Input::BodyEnded(id, end));
        }
        if end == BodyEnd::Stalled {
            session.end_unfinished_body();
        }
    }

    /// Returns the deadline of a request that arrived at `arrived` and whose client waits until `due`: a broker that stops
    /// gives its last answers earlier.
    fn due(&self, due: Time, arrived: Time) -> Time {
        let last = self.phase.borrow().answer_deadline(arrived).unwrap_or(Time::MAX);
        self.admission.due(due.min(last), self.loop_clock.now())
    }
}

/// Closes a connection so that what was written arrives. Nothing is read any more: a request that crosses the end is not
/// accepted, and its client, which sees the connection end, sends it to another broker.
pub(super) async fn close(mut stream: TcpStream) {
    use tokio::io::AsyncWriteExt;
    let ended = async {
        let _ = stream.shutdown().await;
        while !has_closed(&stream).await {
            tokio::time::sleep(CLOSE_POLL_INTERVAL / 4).await;
        }
    };
    let _ = tokio::time::timeout(LINGER, ended).await;
}
