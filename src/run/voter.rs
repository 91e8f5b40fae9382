//! A voter by itself: a member of the cluster that keeps its views, grants leases and serves no clients. For machines that are set
//! aside for control, so that no broker pays for the questions of all others.

use super::cluster::{Cluster, File, Hooks};
use super::error::{io, StartError};
use crate::interface::Time;
use crate::state::membership::mix;
use crate::wire::clock::Clock;
use crate::wire::link::SendDeadlines;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;

/// What a voter does for the cluster beside its part: it sends to no nodes, so whatever is out is in force at once.
fn hooks() -> Hooks {
    let apply = Box::new(|_: &_| {
        let (done, applied) = oneshot::channel();
        // Whoever asked has gone with the process.
        let _ = done.send(());
        applied
    });
    let (lease, list) = (Rc::new(Cell::new(Time::MIN)), Cell::new(Time::MIN));
    Hooks { apply, halt: Box::new(|_| {}), permit: Rc::new(SendDeadlines { lease, list }) }
}

/// Takes part in the cluster until SIGTERM or SIGINT, then leaves it. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(file: File) -> Result<(), StartError> {
    // Signals first: one that comes before its handler ends the program.
    let mut term = signal(SignalKind::terminate()).map_err(io("SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(io("SIGINT"))?;
    // Its life is drawn from when and as which process it starts.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64);
    let life = mix(&now.to_le_bytes(), u64::from(std::process::id()));
    let cluster = Cluster::start(file, life, Clock::system(), hooks()).await?;
    tracing::info!("voting, without clients");
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    cluster.leave().await;
    tracing::info!("stopped");
    Ok(())
}
