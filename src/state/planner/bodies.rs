//! Requests whose bodies are still arriving from their clients.

use super::{AttemptId, Deadline, Effect, Planner, Wire};
use crate::interface::{Ending, Event, NodeId, RequestId, Time};
use crate::state::body_clock::BodyEnd;

impl<W: Wire> Planner<W> {
    /// Whether an attempt whose body is still arriving may hold a link to a node.
    pub(super) fn may_receive(&self, node: NodeId) -> bool {
        let (of_node, of_all) = self.pool.receiving_limits();
        let count = self.receiving.get(&node).copied().unwrap_or(0);
        count < of_node && self.receiving.values().sum::<usize>() < of_all
    }

    /// Records that the body of an attempt at a node no longer arrives.
    pub(super) fn note_received(&mut self, node: NodeId) {
        if let Some(count) = self.receiving.get_mut(&node) {
            *count -= 1;
            if *count == 0 {
                self.receiving.remove(&node);
            }
        }
    }

    /// Ends the attempts of a request whose body is not complete, so that it gets its answer now. Its node is to blame only if
    /// it did not take the body in time.
    pub(super) fn end_body(&mut self, now: Time, id: RequestId, end: BodyEnd, effects: &mut Vec<Effect<W>>) {
        self.set_due(now, id, now, true);
        let ending = match end {
            BodyEnd::OutOfTime => Ending::TimedOut,
            BodyEnd::Stalled => Ending::Cancelled,
        };
        let attempts = self.attempts.range((id, 0)..=(id, u32::MAX)).map(|(attempt_id, _)| *attempt_id);
        for attempt_id in attempts.collect::<Vec<AttemptId>>() {
            self.give_up_attempt(now, attempt_id, ending, effects);
        }
    }

    /// Sets a new deadline for a request with a streamed body and for its attempts. Once the body is `complete`, the
    /// waiting time for the node counts from now, since the node begins only after the last byte of the body.
    pub(super) fn set_due(&mut self, now: Time, id: RequestId, due: Time, complete: bool) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.awaits_body &= !complete;
        let due = due.min(self.answer_by);
        self.events.push(Event::BodyProgress(id, due, W::is_body_consumed(&open.request)));
        let mut received = Vec::new();
        for (attempt_id, attempt) in self.attempts.range_mut((id, 0)..=(id, u32::MAX)) {
            self.deadlines.remove(attempt.until, Deadline::Attempt(*attempt_id));
            self.deadlines.insert(due, Deadline::Attempt(*attempt_id));
            attempt.until = due;
            if complete {
                attempt.sent = now;
                if std::mem::take(&mut attempt.receiving) {
                    received.push((attempt.node, *attempt_id));
                }
            }
        }
        for (node, attempt_id) in received {
            self.note_received(node);
            self.events.push(Event::Receiving(node, attempt_id, false));
        }
    }
}
