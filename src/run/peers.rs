//! Drives the agreement among peers: connections to and from them, ticks, and what is agreed on.

use super::catalogue::Peer;
use super::error::StartError;
use super::folder::run_blocking;
use super::listen::listen;
use crate::state::agreement::pending::Outcome;
use crate::state::agreement::{Agreement, AgreementError, Status};
use crate::wire::raft::{decode, encode};
use bytes::{Bytes, BytesMut};
use raft::eraftpb::Message;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, Sender, UnboundedReceiver, UnboundedSender};

/// A tick of the consensus.
const TICK: Duration = Duration::from_millis(100);
/// Wait before connecting to a peer again.
const AGAIN: Duration = Duration::from_millis(250);
/// Messages that wait for a peer; more are dropped, which the consensus bears.
const MAX_WAITING: usize = 256;

/// The instance among its peers.
pub struct Peers {
    /// Its own number.
    pub own: u64,
    /// All instances, this one included.
    pub all: Vec<Peer>,
    /// Its part in the agreement.
    pub agreement: Agreement,
    /// Values that are to be agreed on.
    pub wishes: UnboundedReceiver<Bytes>,
    /// What is put forward when nothing has ever been agreed on.
    pub first: Bytes,
    /// What is known of the agreement, kept up to date for operators.
    pub status: SharedStatus,
}

/// What an instance knows of the agreement, shared with those who tell operators.
pub type SharedStatus = Rc<RefCell<Status>>;

impl Peers {
    /// Takes part until the process ends; `apply` is told each value agreed on.
    pub fn start(mut self, mut apply: impl FnMut(Bytes) + 'static) -> Result<(), StartError> {
        let (inbox, mut messages) = unbounded_channel();
        let mut outboxes: BTreeMap<u64, Sender<Message>> = BTreeMap::new();
        for peer in &self.all {
            if peer.id == self.own {
                tokio::task::spawn_local(accept(listen(&peer.address)?, inbox.clone()));
            } else {
                let (sender, waiting) = channel(MAX_WAITING);
                outboxes.insert(peer.id, sender);
                tokio::task::spawn_local(deliver(peer.address.clone(), waiting));
            }
        }
        tokio::task::spawn_local(async move {
            let mut ticks = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    _ = ticks.tick() => {
                        self.agreement.tick();
                        self.agreement.propose_initial(&self.first);
                    }
                    Some(message) = messages.recv() => self.agreement.step(message),
                    Some(value) = self.wishes.recv() => self.agreement.propose(value),
                }
                // What it promises is kept on disk first, which takes as long as the disk does.
                let mut agreement = self.agreement;
                let kept = run_blocking(move || {
                    let turn = agreement.turn();
                    (agreement, turn)
                });
                let Some((agreement, turn)) = kept.await else {
                    return tracing::error!("no longer takes part in agreeing: its thread is gone");
                };
                self.agreement = agreement;
                match turn {
                    Ok(turn) => {
                        for message in turn.messages {
                            // A full or missing outbox loses the message, as a network would.
                            if let Some(outbox) = outboxes.get(&message.to) {
                                let _ = outbox.try_send(message);
                            }
                        }
                        turn.committed.into_iter().for_each(&mut apply);
                        turn.outcomes.iter().for_each(log_outcome);
                        self.status.replace(self.agreement.status());
                    }
                    Err(error) => return stop(error),
                }
            }
        });
        Ok(())
    }
}

/// Tells the operator who changed the configuration here what became of the change.
fn log_outcome(outcome: &Outcome) {
    match outcome {
        Outcome::Agreed { revision } => tracing::info!(revision, "change of the configuration agreed on"),
        Outcome::GaveWay { made_against, revision, proposer } => tracing::warn!(
            made_against,
            revision,
            proposer,
            "change of the configuration gave way to another one: adapt the file to what is in force, then send SIGHUP again"
        ),
    }
}

/// An instance that cannot keep its promises takes no further part; what is in force stays so.
fn stop(error: AgreementError) {
    tracing::error!(%error, "no longer takes part in agreeing");
}

/// Takes peers' connections for good.
async fn accept(listener: TcpListener, inbox: UnboundedSender<Message>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(receive(stream, inbox.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a peer");
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

async fn receive(mut stream: TcpStream, inbox: UnboundedSender<Message>) {
    let mut read = BytesMut::new();
    while stream.read_buf(&mut read).await.is_ok_and(|n| n > 0) {
        loop {
            match decode(&mut read) {
                Ok(Some(message)) => {
                    let _ = inbox.send(message);
                }
                Ok(None) => break,
                Err(error) => return tracing::warn!(%error, "peer broke the protocol"),
            }
        }
    }
}

/// Writes a peer's messages, connecting anew whenever that fails; what waits meanwhile is out of date.
async fn deliver(address: String, mut waiting: Receiver<Message>) {
    loop {
        if let Ok(Ok(mut stream)) = tokio::time::timeout(AGAIN * 4, TcpStream::connect(&address)).await {
            let _ = stream.set_nodelay(true);
            while let Some(message) = waiting.recv().await {
                let Some(frame) = encode(&message) else { continue };
                if stream.write_all(&frame).await.is_err() {
                    break;
                }
            }
        }
        if waiting.is_closed() {
            return;
        }
        tokio::time::sleep(AGAIN).await;
        while waiting.try_recv().is_ok() {}
    }
}
