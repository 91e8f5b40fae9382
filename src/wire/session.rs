//! A client's connection: the driver of one session, whatever is spoken on it. It parses, hands over and
//! writes; where and when anything is done is the planner's.

use super::outbox::Outbox;
use crate::interface::Time;
use crate::interface::{Arrival, RequestId};
use crate::run::clock::Pulse;
use crate::run::limits::Seat;
use crate::state::planner::{Answer, Ask, Back, Input, Wire};
use bytes::BytesMut;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::watch;

/// Room for a read.
const READ: usize = 8 * 1024;
/// Answers of a client that does not read them wait up to this many bytes; then nothing more is taken.
const MOST_UNREAD: u64 = 256 * 1024;
/// How long a closing connection is read on, so that the answers before its end are not lost to a reset.
const LINGER: Duration = Duration::from_millis(200);

/// Numbers for requests, shared by all fronts of a planner.
#[derive(Debug, Clone, Default)]
pub struct Numbers(std::rc::Rc<std::cell::Cell<RequestId>>);

impl Numbers {
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
    /// Requests without an answer.
    fn owed(&self) -> Vec<RequestId>;
    /// Whether so much is owed that nothing more should be read for now.
    fn full(&self) -> bool;
    /// Whether nothing more will be taken, by the client's wish or because it broke the protocol.
    fn ending(&self) -> bool;
    /// Whether the connection may be closed between requests to make room for others.
    fn gives_way(&self) -> bool {
        true
    }
    /// The broker stops: says so, where the protocol has words for it.
    fn stop(&mut self) {}
}

/// Carries one client connection until either side is done with it. When `stopping` turns true it is closed
/// between requests.
pub async fn serve<W: Wire, S: Session<W>>(
    stream: TcpStream,
    mut session: S,
    planner: UnboundedSender<Input<W>>,
    pulse: Pulse,
    mut stopping: watch::Receiver<bool>,
    seat: Seat,
) {
    let (back, mut answers) = unbounded_channel();
    let mut read = BytesMut::new();
    let mut asks = Vec::new();
    let _ = stream.set_nodelay(true);
    loop {
        let idle = session.owed().is_empty() && session.outbox().is_empty();
        seat.set_idle(idle && session.gives_way());
        let leave = session.ending() || *stopping.borrow() || seat.is_called();
        if idle && leave {
            close(stream).await;
            return;
        }
        let waiting = !session.outbox().is_empty();
        let open = !session.ending() && !session.full() && session.outbox().len() < MOST_UNREAD;
        tokio::select! {
            biased;
            Some((id, answer)) = answers.recv() => {
                session.answer(id, answer);
                while let Ok((id, answer)) = answers.try_recv() {
                    session.answer(id, answer);
                }
                // What was read but held back because too much was owed.
                if !read.is_empty() && !session.full() {
                    session.receive(pulse.came(), &mut read, &mut asks);
                    hand_over(&planner, &back, &mut asks);
                }
            }
            ready = stream.writable(), if waiting => {
                let outbox = session.outbox();
                match ready.and_then(|()| stream.try_write_vectored(&outbox.slices())) {
                    Ok(n) => outbox.wrote(n),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            ready = stream.readable(), if open => {
                read.reserve(READ);
                match ready.and_then(|()| stream.try_read_buf(&mut read)) {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(_) => break,
                }
                session.receive(pulse.came(), &mut read, &mut asks);
                hand_over(&planner, &back, &mut asks);
            }
            _ = stopping.changed(), if !*stopping.borrow() => session.stop(),
            () = seat.called(), if idle => {}
        }
    }
    // The client is gone; what it was owed is nobody's any more.
    for id in session.owed() {
        let _ = planner.send(Input::Gone(id));
    }
}

fn hand_over<W: Wire>(
    planner: &UnboundedSender<Input<W>>,
    back: &Back<W::Reply>,
    asks: &mut Vec<(Arrival, W::Request)>,
) {
    for (arrival, request) in asks.drain(..) {
        let _ = planner.send(Input::Ask(Ask { arrival, request, back: back.clone() }));
    }
}

/// Ends a connection so that what was written arrives: closing a socket with unread bytes would reset it.
async fn close(mut stream: TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut rest = [0; 512];
    let drained = async {
        let _ = stream.shutdown().await;
        while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
    };
    let _ = tokio::time::timeout(LINGER, drained).await;
}
