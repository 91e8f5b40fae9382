//! Interceptors sit between the fronts and a planner. An interceptor may keep a request and send the planner requests of
//! its own in its place.

use super::planner::{Input, OpenByShard, Wire};
use crate::interface::Time;

/// Intercepts the inputs of a planner. It runs within the planner's turns, without a queue in between.
pub trait Interceptor<W: Wire>: 'static {
    /// Processes one input and appends the inputs for the planner to `on`.
    fn take(&mut self, now: Time, input: Input<W>, on: &mut Vec<Input<W>>);

    /// Processes the planner's answers to the interceptor's own requests and appends further inputs for the planner.
    fn collect_answers(&mut self, _now: Time, _on: &mut Vec<Input<W>>) {}

    /// Processes the interceptor's deadlines that are due. `_open` holds the planner's open requests by shard.
    fn sweep(&mut self, _now: Time, _open: &OpenByShard, _on: &mut Vec<Input<W>>) {}

    /// Returns the time of the interceptor's next deadline, or `None` if no deadline is set.
    fn next_deadline(&self) -> Option<Time> {
        None
    }

    /// Starts the shutdown: all clients have disconnected and no further ones will connect.
    fn stop(&mut self, _now: Time, _on: &mut Vec<Input<W>>) {}

    /// Returns whether the shutdown that [`Interceptor::stop`] started is complete.
    fn is_stopped(&self) -> bool {
        true
    }

    /// Logs the interceptor's counters.
    fn report(&mut self, _now: Time) {}
}

/// An interceptor that passes every input to the planner unchanged.
#[derive(Debug, Clone, Copy, Default)]
pub struct PassThrough;

impl<W: Wire> Interceptor<W> for PassThrough {
    fn take(&mut self, _: Time, input: Input<W>, on: &mut Vec<Input<W>>) {
        on.push(input);
    }
}
