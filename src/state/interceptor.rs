//! What stands between the fronts and a planner: it may take a request for itself and ask the planner for
//! others in its place.

use super::planner::{Input, OpenByShard, Wire};
use crate::interface::Time;

/// A stage before the planner. It lives in the planner's turns: no queue lies between.
pub trait Interceptor<W: Wire>: 'static {
    /// Takes what has happened and appends what the planner is to be told.
    fn take(&mut self, now: Time, input: Input<W>, on: &mut Vec<Input<W>>);

    /// Takes the planner's answers to requests of its own, if there are any.
    fn collect_answers(&mut self, _now: Time, _on: &mut Vec<Input<W>>) {}

    /// Sweeps its deadlines; the planner has so many requests open.
    fn sweep(&mut self, _now: Time, _open: &OpenByShard, _on: &mut Vec<Input<W>>) {}

    /// When it must be woken at the latest.
    fn next_deadline(&self) -> Option<Time> {
        None
    }

    /// All clients are gone, and none will come any more.
    fn stop(&mut self, _now: Time, _on: &mut Vec<Input<W>>) {}

    /// Whether it has come to its end after that.
    fn is_stopped(&self) -> bool {
        true
    }

    /// Says in the log what it has done.
    fn report(&mut self, _now: Time) {}
}

/// No stage at all.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassThrough;

impl<W: Wire> Interceptor<W> for PassThrough {
    fn take(&mut self, _: Time, input: Input<W>, on: &mut Vec<Input<W>>) {
        on.push(input);
    }
}
