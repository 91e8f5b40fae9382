//! The watch on discovery: the driver of one connection to it. When it calls and what it may rely on says
//! [`ListValidity`].

use super::discovery::{self, Listing, NodeNumbers, Response};
use super::socket::{connect_failure, is_short_of_memory, is_transient, ConnectFailure};
use crate::interface::{ListKind, Time};
use crate::state::list_validity::{Failure, ListValidity, Step, Terms};
use crate::state::maintenance::{Maintenance, NamedNode};
use crate::state::planner::{Input, Wire};
use crate::state::starts::StartTimes;
use crate::wire::clock::LoopClock;
use crate::wire::link::Permit;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// How long nothing more may come of an answer that has begun: what is written counts as told.
const REST: Duration = Duration::from_millis(100);
/// How long all of it may take, however it drips.
const WHOLE: Duration = Duration::from_millis(500);
/// Room for a read.
const READ: usize = 64 * 1024;
/// Nodes of a list that are told at once.
const MOST_AT_ONCE: usize = 128;
/// How long the connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);

/// Where discovery is and whom it is watched for.
pub struct WatchTask<W: Wire> {
    /// Discovery's address; it may move while it is watched.
    pub address: watch::Receiver<String>,
    /// Version of the list that is known.
    pub revision: Rc<Cell<u64>>,
    /// Numbers of the nodes.
    pub numbers: NodeNumbers,
    /// Names of the zones.
    pub zones: Rc<RefCell<Vec<String>>>,
    /// The planner.
    pub planner: UnboundedSender<Input<W>>,
    /// What is laid over every list.
    pub maintenance: Rc<RefCell<Maintenance>>,
    /// When to call, and until when the list holds.
    pub list_validity: ListValidity,
    /// What the settings say of lists; they may change.
    pub terms: Rc<Cell<Terms>>,
    /// Where links see until when the list holds.
    pub permit: Permit,
    /// When nodes have started, by this machine's clock.
    pub starts: StartTimes,
    /// The time, and how late this process runs.
    pub loop_clock: LoopClock,
}

/// A connection that serves another call.
type Kept = Option<TcpStream>;
/// A call that is out.
type Calling = Pin<Box<dyn Future<Output = Result<(Response, Kept), (Failure, String)>>>>;

impl<W: Wire> WatchTask<W> {
    /// Watches for good, and lets nothing new go to nodes while something may count as told that it does not know.
    pub async fn run(mut self) {
        let mut calling: Option<Calling> = None;
        let mut kept: Kept = None;
        let mut held = false;
        loop {
            // A call is not given up, nor the list held to be old, for what lies unread here.
            self.loop_clock.catch_up().await;
            let now = self.loop_clock.now();
            self.list_validity.set_terms(self.terms.get());
            match self.list_validity.step(now) {
                Step::Wait => {}
                Step::Call(wait) => {
                    let address = self.address.borrow_and_update().clone();
                    let (revision, loop_clock) = (self.revision.get(), self.loop_clock.clone());
                    calling = Some(Box::pin(call(address, revision, wait, kept.take(), loop_clock)));
                }
                Step::GiveUp => {
                    calling = None;
                    tracing::warn!(reason = "silent", "list of nodes lost");
                    continue;
                }
            }
            let until = self.list_validity.send_until();
            self.permit.list.set(until);
            if std::mem::replace(&mut held, now >= until) != held {
                tracing::warn!(held, "list of nodes out of date");
                let suspended = self.maintenance.borrow_mut().set_outdated(held);
                if self.planner.send(Input::Suspended(suspended)).is_err() {
                    return;
                }
            }
            let deadline = self.list_validity.next_deadline();
            let wake = if held { deadline } else { deadline.min(until) };
            tokio::select! {
                // What has come is read before time is found to be up.
                biased;
                answer = answer(&mut calling) => {
                    calling = None;
                    tracing::debug!(waited = self.loop_clock.now() - now, ok = answer.is_ok(), "call to discovery");
                    match answer.and_then(|(response, keep)| Ok((self.listing(response)?, keep))) {
                        Ok((listing, keep)) => {
                            kept = keep;
                            self.list_validity.answered(self.loop_clock.now());
                            if !self.take(listing).await {
                                return;
                            }
                        }
                        Err((failure, reason)) => {
                            tracing::warn!(reason, "list of nodes lost");
                            self.list_validity.failed(self.loop_clock.now(), failure);
                        }
                    }
                }
                moved = self.address.changed() => {
                    if moved.is_err() {
                        return;
                    }
                    // The version holds at the new address, too: nothing that was told is asked for again.
                    (calling, kept) = (None, None);
                    self.list_validity.endpoint_changed(self.loop_clock.now());
                }
                () = tokio::time::sleep_until(self.loop_clock.clock().instant(wake).into()) => {}
            }
        }
    }

    /// The list in a response. One that is older than what is known tells nothing.
    fn listing(&self, response: Response) -> Result<Listing, (Failure, String)> {
        match response {
            Response::Status(status) => Err((Failure::Rejected, format!("status {status}"))),
            Response::Listing(listing) if listing.revision < self.revision.get() => {
                Err((Failure::Rejected, format!("version {} is older than what is known", listing.revision)))
            }
            Response::Listing(listing) => Ok(listing),
        }
    }

    /// Takes a list; false if the planner is gone. Only what has changed goes on, in parts between which others are given
    /// way to: what a long list says must not hold up an answer.
    async fn take(&mut self, listing: Listing) -> bool {
        let now = self.loop_clock.now();
        self.revision.set(listing.revision);
        let kind = listing.kind();
        let mut listed = listing.into_listed(&mut self.numbers, &self.zones.borrow());
        self.date(now, &mut listed);
        let named = listed.len();
        let mut members = self.maintenance.borrow_mut().apply_changes(now, kind, listed);
        self.loop_clock.record_blocking("laying a list over the last one", now);
        if named > 0 || !members.is_empty() {
            let (revision, changed) = (self.revision.get(), members.len());
            tracing::info!(?kind, revision, nodes = named, changed, "list of nodes");
        }
        while !members.is_empty() {
            let rest = members.split_off(members.len().min(MOST_AT_ONCE));
            if self.planner.send(Input::Nodes(ListKind::Changes, members)).is_err() {
                return false;
            }
            members = rest;
            tokio::task::yield_now().await;
        }
        true
    }

    /// Puts this machine's clock in the place of the wall clock.
    fn date(&mut self, now: Time, listed: &mut [NamedNode]) {
        let moved = self.starts.begin_list(self.loop_clock.clock().wall_clock_drift());
        let moved: Vec<NamedNode> = self.maintenance.borrow().with_starts(moved);
        for listed in listed {
            let entry = &mut listed.member.entry;
            entry.started = self.starts.adopt(now, entry.node, entry.started);
        }
        self.starts.end_list(now);
        let members = self.maintenance.borrow_mut().apply_changes(now, ListKind::Changes, moved);
        if !members.is_empty() {
            let _ = self.planner.send(Input::Nodes(ListKind::Changes, members));
        }
    }
}

/// Waits for the answer to the call that is out, or for good.
async fn answer(calling: &mut Option<Calling>) -> Result<(Response, Kept), (Failure, String)> {
    match calling {
        Some(calling) => calling.await,
        None => std::future::pending().await,
    }
}

/// One call, on the connection that is kept or a new one.
async fn call(
    address: String,
    revision: u64,
    wait: Time,
    kept: Kept,
    loop_clock: LoopClock,
) -> Result<(Response, Kept), (Failure, String)> {
    let stream = match kept {
        Some(stream) => stream,
        None => connect(&address).await?,
    };
    let call = discovery::watch_request(&address, revision, (wait / 1000).max(1));
    write_all(&stream, call.as_bytes()).await.map_err(|e| (Failure::Rejected, e.to_string()))?;
    let mut read = BytesMut::with_capacity(READ);
    // How long has been waited for more of an answer that has begun. What this process itself was late is no wait.
    let mut waited = None;
    loop {
        let failure = if waited.is_some() { Failure::Malformed } else { Failure::Rejected };
        let from = tokio::time::Instant::now();
        let came = match waited {
            None => stream.readable().await,
            Some(waited) => {
                let patience = REST.min(WHOLE.saturating_sub(waited));
                match tokio::time::timeout(patience, stream.readable()).await {
                    Ok(came) => came,
                    Err(_) => return Err((failure, "the rest of an answer does not come".to_string())),
                }
            }
        };
        came.map_err(|e| (failure, e.to_string()))?;
        let more = waited.map_or(Duration::ZERO, |waited: Duration| waited + from.elapsed().min(REST));
        read.reserve(READ);
        match stream.try_read_buf(&mut read) {
            Err(e) if is_transient(&e) => {
                waited = waited.map(|_| more);
                continue;
            }
            Err(e) => return Err((failure, e.to_string())),
            // The end is the end of an answer that tells no length; a reset is none.
            Ok(0) => {
                return match discovery::decode_ended(&mut read) {
                    Ok(Some(response)) => Ok((response, None)),
                    Ok(None) => Err((failure, "closed by discovery".to_string())),
                    Err(e) => Err((Failure::Malformed, e.to_string())),
                }
            }
            Ok(_) => waited = Some(more),
        }
        let begun = loop_clock.now();
        let decoded = discovery::decode(&mut read);
        loop_clock.record_blocking("reading a list", begun);
        match decoded {
            Ok(None) => {}
            Ok(Some((response, keep))) => return Ok((response, Some(stream).filter(|_| keep))),
            Err(e) => return Err((Failure::Malformed, e.to_string())),
        }
        tokio::task::yield_now().await;
    }
}

/// A new connection to discovery. Only its own word says something of it: no descriptor or no route is this machine's.
async fn connect(address: &str) -> Result<TcpStream, (Failure, String)> {
    match tokio::time::timeout(CONNECT, TcpStream::connect(address)).await {
        Err(_) => Err((Failure::NotConnected, "connecting timed out".to_string())),
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) => {
            let failure = match (e.kind(), connect_failure(&e)) {
                (ErrorKind::ConnectionReset, _) => Failure::Rejected,
                (_, ConnectFailure::Refused) => Failure::Refused,
                (_, ConnectFailure::Unreachable | ConnectFailure::Local) => Failure::NotConnected,
            };
            Err((failure, e.to_string()))
        }
    }
}

/// Writes all of it, however little the system takes at once.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if is_short_of_memory(&e) => tokio::time::sleep(super::socket::RETRY_DELAY).await,
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
