//! A client's connection: the driver of one session, whatever is spoken on it. It parses, hands over and
//! writes; where and when anything is done is the planner's.

use super::link::{stir, Stir};
use super::outbox::Outbox;
use crate::interface::Time;
use crate::interface::{Arrival, RequestId};
use crate::state::activity::Activity;
use crate::state::client_slots::ClientSlot;
use crate::state::guard::{CloseReason, Guard};
use crate::state::phase::Phase;
use crate::state::planner::{Answer, AnswerSender, ClientRequest, Input, Wire};
use crate::wire::clock::Pulse;
use crate::wire::socket::{is_short_of_memory, passes, unread, Unread, REST};
use bytes::BytesMut;
use std::cell::Cell;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// Room for a read.
const READ: usize = 8 * 1024;
/// While nothing more is taken of a client, so much of what it sends is read all the same: behind it may stand its end.
const AHEAD: usize = 16 * 1024;
/// The same where there is room for it.
const MOST_AHEAD: usize = 1 << 20;
/// How often it is looked whether a client has closed that has sent more than that.
const LOOK: Duration = Duration::from_millis(40);
/// How many times it is tried to write the last bytes of a connection.
const LAST_TRIES: usize = 12;
/// Answers of a client that does not read them wait up to this many bytes; then nothing more is taken.
const MOST_UNREAD: u64 = 64 * 1024;
/// How long a closing connection is kept for its client to close, so that the answers before its end are not lost to a
/// reset.
const LINGER: Duration = Duration::from_millis(100);
/// How long the first command may take where it is only refused.
const REFUSED_PATIENCE: Time = 100_000;
/// A request that counts from so long before it was read is worth a line in the log.
const WORTH_A_LINE: Time = 20_000;

/// RequestIds for requests, shared by all fronts of a planner.
#[derive(Debug, Clone, Default)]
pub struct RequestIds(std::rc::Rc<std::cell::Cell<RequestId>>);

impl RequestIds {
    /// The next number.
    pub fn next(&self) -> RequestId {
        let id = self.0.get() + 1;
        self.0.set(id);
        id
    }
}

/// The server's side of a protocol, spoken with a client. Sans-I/O.
pub trait Session<W: Wire>: 'static {
    /// Takes what was read and consumes what is whole of it; `now` is when it came.
    fn receive(&mut self, now: Time, read: &mut BytesMut, asks: &mut Vec<(Arrival, W::Request)>);
    /// Takes the final answer of a request.
    fn answer(&mut self, id: RequestId, answer: Answer<W::Reply>);
    /// What is to be written.
    fn outbox(&mut self) -> &mut Outbox;
    /// So many bytes of it were written.
    fn wrote(&mut self, bytes: usize) {
        self.outbox().wrote(bytes);
    }
    /// Moves on what waits elsewhere to be written.
    fn fill_outbox(&mut self) {}
    /// Wakes when there is something to move on; nothing, if that is not waited for.
    fn wakeup(&self) -> Option<Stir> {
        None
    }
    /// Whether an answer is on its way that is passed on while it comes.
    fn is_streaming(&self) -> bool {
        false
    }
    /// Whether the rest of such an answer will never come: the client must see that it is not whole.
    fn is_stream_broken(&self) -> bool {
        false
    }
    /// A request whose body has come whole after it was handed over, and when its client gives up.
    fn take_complete_upload(&mut self) -> Option<(RequestId, Time)> {
        None
    }
    /// Requests without an answer.
    fn unanswered(&self) -> Vec<RequestId>;
    /// Charges what was read and is not taken, so many bytes of it; false if there is no room for so much.
    fn charge_unparsed(&mut self, _untaken: usize) -> bool {
        false
    }
    /// Whether so much is owed that nothing more should be read for now.
    fn is_full(&self) -> bool;
    /// Whether nothing more will be taken, by the client's wish or because it broke the protocol.
    fn is_ending(&self) -> bool;
    /// Whether the connection may be closed between requests to make room for others.
    fn is_evictable(&self) -> bool {
        true
    }
    /// A command has been unfinished for too long: says so, where the protocol has words for it, and ends.
    fn reject_unfinished_command(&mut self);
    /// The broker stops: says so, where the protocol has words for it.
    fn stop(&mut self) {}
    /// The connection ends before a command has come: refuses the first ones, where the protocol has words for it, since a client
    /// may have sent several at once that are on their way.
    fn refuse_pending(&mut self) {}
}

/// What becomes of the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// They are served, as far as that can be.
    Served,
    /// All places are taken by others: they are refused at once, and the connection ends.
    Refused,
}

impl Admission {
    /// When a connection that was last of use at `since` is to be closed between requests. It has had an `answer` then, or else
    /// has only been opened.
    fn closes_at(self, phase: Phase, since: Time, answer: bool) -> Option<Time> {
        match self {
            Admission::Served => phase.closes_at(since, answer),
            Admission::Refused if answer => Some(since),
            Admission::Refused => Some(since + REFUSED_PATIENCE),
        }
    }

    /// When a request must have its answer that is taken at `now` and due at `due`.
    fn due(self, due: Time, now: Time) -> Time {
        match self {
            Admission::Served => due,
            Admission::Refused => due.min(now),
        }
    }
}

/// A connection as its front accepted it.
pub struct NewConnection {
    /// Its place.
    pub slot: ClientSlot,
    /// The earliest moment at which what lies on it may have come.
    pub arrived: Time,
    /// What becomes of its requests.
    pub admission: Admission,
}

/// Carries one client connection until either side is done with it, or until the broker's phase wants it closed
/// between requests.
pub async fn serve<W: Wire, S: Session<W>>(
    stream: TcpStream,
    mut session: S,
    context: SessionContext<W>,
    NewConnection { slot, arrived, admission }: NewConnection,
) {
    let SessionContext { planner, guard, loop_clock, mut phase } = context;
    let (back, mut answers) = unbounded_channel();
    let mut read = BytesMut::new();
    let mut activity = Activity::new(loop_clock.now());
    // What was read while nothing was taken.
    let mut untaken = false;
    // Since when nothing was read.
    let mut not_read_since = None;
    let lying = (unread(&stream) == Unread::Bytes).then_some(arrived);
    let seen_open = Cell::new(Time::MIN);
    let ways = Ways { planner, guard, back, loop_clock, admission, lying: Cell::new(lying), seen_open };
    let _ = stream.set_nodelay(true);
    let reason = loop {
        session.fill_outbox();
        let waiting = !session.outbox().is_empty();
        if session.is_stream_broken() && !waiting {
            break CloseReason::BrokenValue;
        }
        let idle = session.unanswered().is_empty() && !waiting && !session.is_streaming();
        let gives_way = idle && session.is_evictable();
        slot.set_evictable(gives_way.then(|| activity.spare()));
        let now = ways.loop_clock.now();
        let deadline = activity.deadline(now, gives_way, waiting);
        let is_over = |at: Option<Time>| at.is_some_and(|at| at <= now);
        let over = is_over(deadline);
        // A command that has begun is waited for: its last byte may be on its way.
        let stands = *phase.borrow();
        let closes = admission.closes_at(stands, activity.last_use(), activity.is_used());
        let closes = closes.filter(|_| idle && !activity.has_partial_command());
        // So is the rest of several that were sent at once. Where all are refused, so is what has not come.
        let batch = activity.batch_until(now).filter(|_| idle && admission == Admission::Served);
        let closes = closes.map(|at| at.max(batch.unwrap_or(at)));
        // Half a command is not waited for beyond the last moment at which its answer could be given.
        let ends = stands.last_answer_at().filter(|_| idle);
        let deaf = stands.stops_reading_at().filter(|_| !idle);
        let listens = deaf.is_none_or(|at| at > now) && !session.is_ending();
        let open = listens && !session.is_full() && session.outbox().len() < MOST_UNREAD;
        if open && std::mem::take(&mut untaken) {
            // What was read is answered, whatever else would be done with the connection now.
            ways.take(&stream, &mut session, &mut activity, &mut read);
            continue;
        }
        if over && waiting {
            break CloseReason::NotRead;
        }
        let wanted = (slot.is_close_requested() && batch.is_none()) || is_over(closes) || is_over(ends);
        if idle && session.is_ending() {
            break CloseReason::Ended;
        }
        let unfinished = activity.has_partial_command()
            && (over || is_over(ends) || (gives_way && slot.is_close_requested()));
        if unfinished || (idle && (over || wanted)) {
            // The clock may have run while nobody read: what has come is taken first. The runtime is asked to look again.
            let reads = stands.reads_idle_connections(now);
            if reads && unread(&stream) == Unread::Bytes && !session.is_ending() {
                tokio::task::yield_now().await;
                match stream.try_read_buf(&mut read) {
                    Ok(1..) => {
                        ways.take(&stream, &mut session, &mut activity, &mut read);
                        continue;
                    }
                    Err(error) if passes(&error) => continue,
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
            if idle {
                break match (over, slot.is_close_requested()) {
                    (true, _) => CloseReason::Idle,
                    (false, true) => CloseReason::PlaceWanted,
                    (false, false) => CloseReason::SentAway,
                };
            }
        }
        let wakes = [deadline, closes, ends, deaf, batch].into_iter().flatten();
        slot.set_deadline(wakes.filter(|at| *at > now).min());
        let stirred = session.wakeup();
        // One that has gone must be seen whatever else it is owed. What will not be answered is not read at all.
        let ahead = if untaken { read.len() } else { 0 };
        let room =
            session.charge_unparsed(ahead.saturating_sub(AHEAD) + if ahead < AHEAD { 0 } else { READ });
        let reads_ahead =
            !session.is_streaming() && (read.len() < AHEAD || (room && read.len() < MOST_AHEAD));
        let reads = open || (listens && reads_ahead);
        if !reads {
            not_read_since = not_read_since.or(Some(now));
        } else if let Some(since) = not_read_since.take().filter(|_| unread(&stream) == Unread::Bytes) {
            ways.lies_since(since);
        }
        if read.is_empty() {
            ways.look_again(&stream);
        }
        tokio::select! {
            biased;
            Some((id, answer)) = answers.recv() => {
                ways.answer(&mut session, id, answer);
                while let Ok((id, answer)) = answers.try_recv() {
                    ways.answer(&mut session, id, answer);
                }
                // What was read but held back because too much was owed.
                if !read.is_empty() && !session.is_full() {
                    ways.take(&stream, &mut session, &mut activity, &mut read);
                }
            }
            ready = stream.writable(), if waiting => {
                match ready.and_then(|()| stream.try_write_vectored(&session.outbox().slices())) {
                    Ok(n) => {
                        session.wrote(n);
                        activity.wrote(ways.loop_clock.now());
                    }
                    Err(e) if is_short_of_memory(&e) => tokio::time::sleep(REST).await,
                    Err(e) if passes(&e) => {}
                    Err(_) => break CloseReason::ClientGone,
                }
            }
            ready = stream.readable(), if reads => {
                read.reserve(READ);
                match ready.and_then(|()| stream.try_read_buf(&mut read)) {
                    Ok(0) => break CloseReason::ClientGone,
                    Ok(_) => {}
                    Err(e) if is_short_of_memory(&e) => {
                        tokio::time::sleep(REST).await;
                        continue;
                    }
                    Err(e) if passes(&e) => {
                        ways.found_nothing(&e);
                        continue;
                    }
                    Err(_) => break CloseReason::ClientGone,
                }
                match open {
                    true => ways.take(&stream, &mut session, &mut activity, &mut read),
                    false => {
                        untaken = true;
                        ways.lies_since(ways.loop_clock.came());
                    }
                }
            }
            () = tokio::time::sleep(LOOK), if !reads => {
                if has_closed(&stream).await {
                    break CloseReason::ClientGone;
                }
            }
            Ok(()) = phase.changed() => {
                if phase.borrow().is_terminating() {
                    session.stop();
                }
            }
            () = stir(stirred) => {
                // There may be room again for what was read.
                if !read.is_empty() && !session.is_full() {
                    ways.take(&stream, &mut session, &mut activity, &mut read);
                }
            }
            () = slot.woken() => {}
        }
    };
    ways.end(&session, &activity, reason, *phase.borrow());
    let refuses = !activity.is_used() || admission == Admission::Refused;
    if refuses && reason.is_broker_initiated() {
        session.refuse_pending();
        write_last(&stream, &mut session).await;
    }
    if lingers(reason, activity.is_used(), admission) {
        close(stream).await;
    }
}

/// Writes a few last bytes. A client that does not take even these is owed no more.
async fn write_last<W: Wire, S: Session<W>>(stream: &TcpStream, session: &mut S) {
    for _ in 0..LAST_TRIES {
        if session.outbox().is_empty() {
            return;
        }
        match stream.try_write_vectored(&session.outbox().slices()) {
            Ok(n) => session.wrote(n),
            Err(error) if passes(&error) => tokio::time::sleep(REST).await,
            Err(_) => return,
        }
    }
}

/// Whether a connection is kept for a moment after its end was said: what crosses the end must not reset away an answer that is
/// on its way. Where places run out, one that had none or never said a word makes way at once.
fn lingers(reason: CloseReason, used: bool, admission: Admission) -> bool {
    match reason {
        CloseReason::ClientGone | CloseReason::NotRead | CloseReason::BrokenValue => false,
        CloseReason::PlaceWanted => used,
        CloseReason::Ended | CloseReason::Idle | CloseReason::SentAway => admission == Admission::Served,
    }
}

/// Whether the client has closed its side, behind whatever it has sent that is not read.
async fn has_closed(stream: &TcpStream) -> bool {
    tokio::select! {
        biased;
        ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
        () = std::future::ready(()) => false,
    }
}

/// What all sessions of a front share.
pub struct SessionContext<W: Wire> {
    /// Where their requests go.
    pub planner: UnboundedSender<Input<W>>,
    /// Whom they ask before they take, answer or close.
    pub guard: Guard,
    /// The time, and how late this process runs.
    pub loop_clock: Pulse,
    /// The broker's phase.
    pub phase: watch::Receiver<Phase>,
}

impl<W: Wire> Clone for SessionContext<W> {
    fn clone(&self) -> Self {
        let (planner, guard) = (self.planner.clone(), self.guard.clone());
        SessionContext { planner, guard, loop_clock: self.loop_clock.clone(), phase: self.phase.clone() }
    }
}

/// Where a session's requests go, and where their answers come back to.
struct Ways<W: Wire> {
    planner: UnboundedSender<Input<W>>,
    guard: Guard,
    back: AnswerSender<W::Reply>,
    loop_clock: Pulse,
    admission: Admission,
    /// Since when what is taken next may have waited, in the socket or in what was read ahead; nothing if it has just come.
    lying: Cell<Option<Time>>,
    /// When a read last found neither bytes nor the client's end.
    seen_open: Cell<Time>,
}

impl<W: Wire> Ways<W> {
    /// Gives a request its answer.
    fn answer<S: Session<W>>(&self, session: &mut S, id: RequestId, answer: Answer<W::Reply>) {
        self.guard.answer(id, self.loop_clock.now());
        session.answer(id, answer);
    }

    /// A connection ends: what it owes is nobody's any more.
    fn end<S: Session<W>>(&self, session: &S, activity: &Activity, reason: CloseReason, phase: Phase) {
        let owed = session.unanswered();
        // The client may have closed it at the beginning of a stall, but not before it was last seen open.
        let closed = self.loop_clock.came().max(self.seen_open.get());
        self.guard.close(&owed, closed, reason);
        match reason {
            CloseReason::NotRead | CloseReason::BrokenValue if !owed.is_empty() => {
                tracing::warn!(?reason, ?owed, "client closed under what it is owed");
            }
            _ => {
                let now = self.loop_clock.now();
                let (open_us, since_us, stalled_us) =
                    (now - activity.accepted(), now - closed, now - self.loop_clock.came());
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

    /// A read of the client's connection has found neither bytes nor its end, if that is what the error says.
    fn found_nothing(&self, error: &std::io::Error) {
        if error.kind() == ErrorKind::WouldBlock {
            self.seen_open.set(self.loop_clock.now());
        }
    }

    /// Nothing has waited any more once nothing lies there: an earlier look may not have told.
    fn look_again(&self, stream: &TcpStream) {
        if self.lying.get().is_some() && unread(stream) == Unread::Nothing {
            self.lying.set(None);
        }
    }

    /// What is taken next may have waited since then, if not for longer.
    fn lies_since(&self, since: Time) {
        self.lying.set(Some(self.lying.get().map_or(since, |before| before.min(since))));
    }

    /// Has the session take what was read, and hands over what it asks for. Its clients count from when it came, not from
    /// when there was room for it.
    fn take<S: Session<W>>(
        &self,
        stream: &TcpStream,
        session: &mut S,
        activity: &mut Activity,
        read: &mut BytesMut,
    ) {
        let (before, mut asks) = (read.len(), Vec::new());
        let came = self.loop_clock.came();
        let lying = self.lying.get();
        let arrived = lying.map_or(came, |since| since.min(came));
        session.receive(arrived, read, &mut asks);
        let waited_us = self.loop_clock.now() - arrived;
        if waited_us > WORTH_A_LINE && !asks.is_empty() {
            tracing::debug!(waited_us, lying = lying.is_some(), requests = asks.len(), "counts from before");
        }
        let rests = |lying: Option<Time>| {
            lying.is_some() && ((session.is_full() && !read.is_empty()) || unread(stream) == Unread::Bytes)
        };
        self.lying.set(lying.filter(|_| rests(lying)));
        activity.read(self.loop_clock.now(), before, read.len(), asks.len());
        if read.is_empty() {
            // A client that is idle must not pin the buffer of its last command.
            *read = BytesMut::new();
        }
        for (mut arrival, request) in asks {
            arrival.due = self.admission.due(arrival.due, self.loop_clock.now());
            // The time of one whose body is still coming is not known yet.
            let due = if W::streams_body(&request) { Time::MAX } else { arrival.due };
            self.guard.take(arrival.id, due);
            let ask = ClientRequest { arrival, request, back: self.back.clone(), of_client: true };
            let _ = self.planner.send(Input::Request(ask));
        }
        while let Some((id, due)) = session.take_complete_upload() {
            let due = self.admission.due(due, self.loop_clock.now());
            self.guard.retime(id, due);
            let _ = self.planner.send(Input::BodyComplete(id, due));
        }
    }
}

/// Ends a connection so that what was written arrives. Nothing is read any more: a request that crosses the end is not
/// taken, and its client, which sees the connection end, sends it elsewhere.
pub(super) async fn close(mut stream: TcpStream) {
    use tokio::io::AsyncWriteExt;
    let ended = async {
        let _ = stream.shutdown().await;
        while !has_closed(&stream).await {
            tokio::time::sleep(LOOK / 4).await;
        }
    };
    let _ = tokio::time::timeout(LINGER, ended).await;
}
