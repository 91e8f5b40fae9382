//! A front: accepts connections, gives each client a seat and a session, and sweeps their deadlines.

use crate::interface::Time;
use crate::state::phase::Phase;
use crate::state::planner::Wire;
use crate::state::seats::{Press, Seats};
use crate::wire::clock::Clock;
use crate::wire::session::{serve, Session, Site};
use std::cell::Cell;
use std::io::ErrorKind;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Connections that are taken in one turn when the listener is about to close.
const TURN: usize = 128;
/// How long to wait when descriptors or seats have run out.
const FULL_HOUSE: Duration = Duration::from_millis(2);
/// Connections that may have waited for longer than this to be taken, in microseconds, make the silent ones leave earlier.
const LONG_WAIT: Time = 100_000;
/// How often the log says that connections cannot be taken.
const SAID_AGAIN: Duration = Duration::from_secs(1);
/// How often the deadlines of clients are swept.
const SWEEP: Duration = Duration::from_millis(20);

/// A front: where clients of one protocol connect.
pub struct Front<W: Wire> {
    /// Where they connect.
    pub listener: TcpListener,
    /// What their sessions share.
    pub site: Site<W>,
    /// Those that are connected.
    pub seats: Seats,
    /// How many there may be.
    pub most: Rc<Cell<usize>>,
}

/// Sweeps the deadlines of a front's clients for good.
pub async fn sweep(seats: Seats, clock: Clock) {
    loop {
        tokio::time::sleep(SWEEP).await;
        seats.sweep(clock.now());
    }
}

impl<W: Wire> Front<W> {
    /// Takes connections for as long as the phase allows.
    pub async fn accept<S: Session<W>>(self, session: impl Fn() -> S) {
        let mut phase = self.site.phase.clone();
        loop {
            tokio::select! {
                biased;
                _ = phase.wait_for(|phase| !phase.accepts()) => {}
                () = self.take(&session) => {}
            }
            // Another process that took them in its place may be gone.
            let last = match phase.wait_for(|phase| phase.accepts() || phase.stops()).await {
                Ok(phase) if phase.accepts() => continue,
                Ok(phase) => matches!(*phase, Phase::Closing(..)),
                Err(_) => return,
            };
            if last {
                self.take_last(&session).await;
            }
            return;
        }
    }

    /// Takes what the kernel has accepted before the listener closes, which would reset it.
    async fn take_last<S: Session<W>>(&self, session: &impl Fn() -> S) {
        // What is there is seen only after a look at the sockets.
        tokio::time::sleep(FULL_HOUSE).await;
        let arrived = self.site.pulse.came();
        // The system itself is asked: what the runtime knows of the listener may be old.
        let Ok(listener) = self.listener.as_fd().try_clone_to_owned().map(std::net::TcpListener::from) else {
            return;
        };
        for taken in 1_usize.. {
            if taken.is_multiple_of(TURN) {
                tokio::task::yield_now().await;
            }
            let accepted = listener.accept().and_then(|(stream, _)| {
                stream.set_nonblocking(true)?;
                TcpStream::from_std(stream)
            });
            match accepted {
                Ok(stream) => self.serve(stream, session, arrived),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Descriptors may have run out, or one connection was aborted: the others are still there.
                Err(error) => {
                    tracing::warn!(%error, "cannot accept");
                    self.make_room(None).await;
                }
            }
        }
    }

    /// The next connection if there is one by now.
    async fn accepted_now(&self) -> Option<std::io::Result<TcpStream>> {
        tokio::select! {
            biased;
            accepted = self.listener.accept() => Some(accepted.map(|(stream, _)| stream)),
            () = std::future::ready(()) => None,
        }
    }

    /// Asks those that can be spared to leave, and gives them a moment.
    async fn make_room(&self, waiting_since: Option<Time>) {
        let now = self.site.pulse.now();
        let press = match waiting_since.is_some_and(|since| now - since > LONG_WAIT) {
            true => Press::High,
            false => Press::Usual,
        };
        while self.seats.call_spare(now, press) {}
        tokio::time::sleep(FULL_HOUSE).await;
    }

    /// Serves a connection that came at `arrived` at the earliest.
    fn serve<S: Session<W>>(&self, stream: TcpStream, session: &impl Fn() -> S, arrived: Time) {
        let seat = self.seats.take();
        tokio::task::spawn_local(serve(stream, session(), self.site.clone(), (seat, arrived)));
    }

    /// Takes connections for good. What the kernel has accepted is owed an answer, so a full house asks those
    /// connections that can be spared to leave, rather than let new ones wait.
    async fn take<S: Session<W>>(&self, session: &impl Fn() -> S) {
        let mut said = None;
        // Since when connections may have been waiting to be accepted.
        let mut waiting_since = None;
        loop {
            while self.seats.len() >= self.most.get() {
                waiting_since = waiting_since.or(Some(self.site.pulse.came()));
                self.make_room(waiting_since).await;
            }
            let accepted = match self.accepted_now().await {
                Some(accepted) => accepted,
                None => {
                    waiting_since = None;
                    self.listener.accept().await.map(|(stream, _)| stream)
                }
            };
            let arrived = *waiting_since.get_or_insert(self.site.pulse.came());
            match accepted {
                Ok(stream) => self.serve(stream, session, arrived),
                Err(error) => {
                    if said.is_none_or(|at: Instant| at.elapsed() > SAID_AGAIN) {
                        said = Some(Instant::now());
                        tracing::warn!(%error, clients = self.seats.len(), "cannot accept");
                    }
                    self.make_room(waiting_since).await;
                }
            }
        }
    }
}
