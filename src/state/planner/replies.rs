//! Replies that are incomplete: their deadlines, and what the log tells of the ones that end so.

use super::{AttemptId, Deadline, Effect, Planner, Wire};
use crate::interface::{Ending, Time};
use crate::state::pool::{AwaitedReply, LinkId};
use crate::state::reply_clock::{ReplyArrival, ReplyEnd, NODE_SILENCE};

impl<W: Wire> Planner<W> {
    /// Records whether the link waits for more of a reply.
    pub(super) fn note_partial_reply(&mut self, link: LinkId, arrival: Option<ReplyArrival>) {
        if let Some(before) = self.pool.partial(link) {
            self.deadlines.remove(before.check_at, Deadline::PartialReply(link));
        }
        let reply = arrival.map(|arrival| AwaitedReply { check_at: arrival.silent_at(), arrival });
        if let Some(reply) = &reply {
            self.deadlines.insert(reply.check_at, Deadline::PartialReply(link));
        }
        self.pool.set_partial(link, reply);
    }

    /// Ends the reply on a link if its node has been silent for too long, and otherwise sets the time of the next check.
    pub(super) fn check_reply(&mut self, now: Time, link: LinkId, effects: &mut Vec<Effect<W>>) {
        let Some(reply) = self.pool.partial(link) else { return };
        let arrival = reply.arrival.clone();
        if arrival.silent_at() > now {
            return self.note_partial_reply(link, Some(arrival));
        }
        for attempt_id in self.replying(link) {
            self.log_reply_end(now, link, attempt_id, ReplyEnd::NodeSilent);
        }
        self.break_link(now, link, Ending::Reset, effects);
    }

    /// Returns the attempts that wait for a reply on a link, the one whose reply is streamed among them.
    fn replying(&self, link: LinkId) -> Vec<AttemptId> {
        let streamed = self.pool.streamed_reply(link);
        let waiting = self.attempts_on_link.get(&link).into_iter().flatten().copied();
        streamed.into_iter().chain(waiting).collect()
    }

    /// Logs why the reply to an attempt ends, if some of it has arrived.
    pub(super) fn log_reply_end(&self, now: Time, link: LinkId, attempt_id: AttemptId, end: ReplyEnd) {
        let Some(arrived) = self.pool.partial(link).map(|reply| reply.arrival.arrived()) else { return };
        let (id, attempt) = attempt_id;
        let node = self.pool.node(link);
        let silent_us = now - arrived.last;
        let bytes = arrived.bytes;
        tracing::warn!(
            id,
            attempt,
            link,
            node,
            ?end,
            bytes,
            silent_us,
            bound_us = NODE_SILENCE,
            "answer ended before it was whole"
        );
    }
}
