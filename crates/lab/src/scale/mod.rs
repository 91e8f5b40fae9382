//! One cluster of the program's own drivers on loopback, up to the whole size: hollow brokers, many in a process, beside
//! real processes, with regions between them. `docs/design/size.md` holds the words of its file, its hosts and its results.

pub mod checks;
pub mod file;
pub mod host;
pub mod relay;
pub mod results;
pub mod run;
pub mod usage;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why a scale run did not begin, or did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The file asks for what cannot be; the key stands first.
    #[error("{0}")]
    File(String),
    /// More than the machine bears.
    #[error("more than this machine bears: {0}")]
    Machine(String),
    /// A file, a socket or a process.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A host of hollow brokers did not do as told.
    #[error("a host of hollow brokers: {0}")]
    Host(String),
    /// It was told to end.
    #[error("told to end")]
    Stopped,
}

/// Set once this process is told to end by SIGTERM or SIGINT, in the place of its end.
pub fn told_to_end() -> Result<Arc<AtomicBool>, ScaleError> {
    use tokio::signal::unix::{signal, SignalKind};
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(io("starting the runtime"))?;
    let (mut term, mut interrupt) = {
        let _inside = runtime.enter();
        let on = |kind| signal(kind).map_err(io("a signal"));
        (on(SignalKind::terminate())?, on(SignalKind::interrupt())?)
    };
    let wait = move || {
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        });
        set.store(true, Ordering::Relaxed);
    };
    std::thread::Builder::new().name("lab-signals".to_string()).spawn(wait).map_err(io("a thread"))?;
    Ok(stop)
}

/// Names what failed.
pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> ScaleError {
    let what = what.into();
    move |error| ScaleError::Io(what, error)
}

/// A broker's name.
pub fn name(broker: usize) -> String {
    format!("b{broker:04}")
}

/// The number of the broker of a name.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix('b')?.parse().ok()
}

/// Unix time in nanoseconds, set once and carried by the monotonic clock: the same in all processes of a machine, but for
/// what its clock was set by between their starts.
#[derive(Debug, Clone, Copy)]
pub struct Watch {
    base: u64,
    start: Instant,
}

impl Default for Watch {
    fn default() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Watch { base: unix.as_nanos() as u64, start: Instant::now() }
    }
}

impl Watch {
    /// The time now, in nanoseconds.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_nanos() as u64
    }

    /// How far the machine's clock has been set since this one was.
    pub fn set_by(&self) -> Duration {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
        Duration::from_nanos(unix.abs_diff(self.now()))
    }
}
