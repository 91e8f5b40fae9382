//! Sets up the log. A separate thread writes the lines, so that a slow reader of the log does not delay answers.

use std::sync::mpsc::channel;
use std::time::Duration;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Number of lines that may wait to be written. Further lines are dropped, which bounds the memory of the queue.
const LINES: usize = 4096;
/// How long the process waits at its end for the last lines to be written.
const FLUSH: Duration = Duration::from_millis(100);

/// Keeps the log running; dropping it flushes the log.
pub struct Logging(Option<WorkerGuard>);

/// Starts the log on standard error. The environment variable `CLAYWINCH_LOG` sets the filter.
pub fn start() -> Logging {
    let filter = EnvFilter::try_from_env("CLAYWINCH_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    let (log, guard) = NonBlockingBuilder::default().buffered_lines_limit(LINES).finish(std::io::stderr());
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(log).init();
    Logging(Some(guard))
}

impl Drop for Logging {
    /// Writes the waiting lines, but gives up after [`FLUSH`] if nobody reads them: the guard alone would wait for more than a
    /// second.
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (done, flushed) = channel();
        std::thread::spawn(move || {
            drop(guard);
            // The receiver may have stopped waiting.
            let _ = done.send(());
        });
        let _ = flushed.recv_timeout(FLUSH);
    }
}
