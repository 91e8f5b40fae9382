//! Drives a planner: waits for what happens, gives it its turns, and carries out what it wants on sockets.

use crate::interface::{Ending, Time};
use crate::state::buffer_budget::BufferBudget;
use crate::state::interceptor::Interceptor;
use crate::state::planner::{AttemptEnd, Effect, Input, Planner, Wire};
use crate::state::pool::{ChannelKind, LinkId};
use crate::wire::clock::LoopClock;
use crate::wire::link::{Exchange, LinkCommand, LinkTask, Permit};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// Most inputs of one turn: what more has come waits for the next, behind whatever else is due.
const MOST_INPUTS: usize = 256;
/// A turn that takes longer than this is worth a line in the log, with what it had to do.
const LONG_TURN: Time = 20_000;
/// Lateness below this is that of timers and of a machine with other work.
const ON_TIME: Time = 10_000;
/// How often the log says what has been done.
const REPORT: Time = 10_000_000;

/// A planner with its sockets.
pub struct PlannerDriver<W: Wire, G> {
    /// What it is called in the log.
    pub name: &'static str,
    /// The planner.
    pub planner: Planner<W>,
    /// What stands before the planner.
    pub interceptor: G,
    /// What happens.
    pub inputs: UnboundedReceiver<Input<W>>,
    /// Comes when all clients are gone; told when the interceptor has come to its end, too.
    pub shutdown_requests: UnboundedReceiver<oneshot::Sender<()>>,
    /// Where links report to.
    pub input_sender: UnboundedSender<Input<W>>,
    /// The time, and how late this process runs.
    pub loop_clock: LoopClock,
    /// How long a link's connection may take to come up.
    pub connect_timeout: Rc<Cell<Duration>>,
    /// Room for replies that are not whole yet.
    pub reply_budget: BufferBudget,
    /// Until when what may be written to nodes.
    pub permit: Permit,
}

impl<W: Wire, G: Interceptor<W>> PlannerDriver<W, G> {
    /// Turns until the process ends; `exchange` makes the protocol of a new link on a lane.
    pub async fn run<X: Exchange<W>>(mut self, exchange: impl Fn(ChannelKind) -> X) {
        let mut links: HashMap<LinkId, UnboundedSender<LinkCommand<W>>> = HashMap::new();
        let (mut inputs, mut taken, mut effects) = (Vec::new(), Vec::new(), Vec::new());
        let mut ended: Option<oneshot::Sender<()>> = None;
        let (mut report_at, mut was_late) = (self.loop_clock.now() + REPORT, false);
        loop {
            let wakes = [self.planner.next_deadline(), self.interceptor.next_deadline(), Some(report_at)];
            let wake = wakes.into_iter().flatten().min().unwrap_or(report_at);
            tokio::select! {
                n = self.inputs.recv_many(&mut inputs, MOST_INPUTS) => if n == 0 { return },
                Some(told) = self.shutdown_requests.recv() => {
                    ended = Some(told);
                    self.interceptor.stop(self.loop_clock.now(), &mut taken);
                }
                () = tokio::time::sleep_until(self.loop_clock.clock().instant(wake).into()) => {}
            }
            // What is due is measured by what lies in the sockets, too: an answer that is there has come in time.
            let late = self.loop_clock.lag().max(self.loop_clock.now() - wake);
            self.loop_clock.catch_up().await;
            let room = MOST_INPUTS - inputs.len();
            inputs.extend((0..room).map_while(|_| self.inputs.try_recv().ok()));
            let now = self.loop_clock.now();
            // One that is late once was held up from outside, and has read what came meanwhile. One that stays late has too
            // much to do.
            if late > ON_TIME && was_late {
                taken.push(Input::HostLateness(late));
            }
            was_late = late > ON_TIME;
            self.planner.note_lateness(self.loop_clock.recent_lag());
            let (count, work) = (inputs.len(), self.planner.work());
            for input in inputs.drain(..) {
                if let Input::LinkDown(link, _) = &input {
                    links.remove(link);
                }
                self.interceptor.take(now, input, &mut taken);
            }
            self.interceptor.sweep(now, self.planner.open_by_shard(), &mut taken);
            // What the planner answers can make the interceptor ask again. Each round takes a request further, and
            // a request has few steps that end without a word from a node.
            loop {
                self.planner.turn(now, taken.drain(..), &mut effects);
                self.interceptor.collect_answers(now, &mut taken);
                if taken.is_empty() {
                    break;
                }
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Open(id, _, lane, address) => {
                        let (sender, commands) = unbounded_channel();
                        links.insert(id, sender);
                        let task = LinkTask {
                            id,
                            address,
                            connect_timeout: self.connect_timeout.get(),
                            exchange: exchange(lane),
                            commands,
                            planner: self.input_sender.clone(),
                            loop_clock: self.loop_clock.clone(),
                            budget: self.reply_budget.clone(),
                            permit: self.permit.clone(),
                            guard: self.planner.guard().clone(),
                            queue: VecDeque::new(),
                        };
                        tokio::task::spawn_local(task.run());
                    }
                    Effect::Send(link, tag, span, request) => {
                        let command = LinkCommand::Send(tag, span, request);
                        let sent = links.get(&link).is_some_and(|sender| sender.send(command).is_ok());
                        if !sent {
                            // The link has ended, and says so in the next turn; this was never written.
                            let end = AttemptEnd::without_reply(Ending::Unreachable);
                            let _ = self.input_sender.send(Input::AttemptEnded(link, tag, end));
                        }
                    }
                    Effect::Withdraw(link, tag) => {
                        let _ = links.get(&link).map(|sender| sender.send(LinkCommand::Withdraw(tag)));
                    }
                    Effect::Bar(link) => {
                        // A link that has ended says so by itself.
                        let _ = links.get(&link).map(|sender| sender.send(LinkCommand::StopSending));
                    }
                    Effect::Close(link) => {
                        links.remove(&link);
                    }
                    // The scheduler of today asks for none; a node that was not probed proves nothing.
                    Effect::Probe(node, _) => {
                        let _ = self.input_sender.send(Input::Probed(node, Ending::NotSent, None));
                    }
                }
            }
            self.loop_clock.record_blocking("a turn of the scheduler", now);
            let took = self.loop_clock.now() - now;
            if took > LONG_TURN || late > LONG_TURN * 5 {
                let (requests, attempts, _) = self.planner.load();
                let (work, waiting) = (self.planner.work() - work, self.planner.waiting());
                let (late_ms, took_ms) = (late / 1000, took / 1000);
                tracing::warn!(late_ms, took_ms, count, work, requests, waiting, attempts, "late turn");
            }
            if count == MOST_INPUTS {
                tokio::task::yield_now().await;
            }
            if self.interceptor.is_stopped() {
                if let Some(told) = ended.take() {
                    // Whoever has stopped waiting need not be told.
                    let _ = told.send(());
                }
            }
            if now >= report_at {
                report_at = now + REPORT;
                self.report();
            }
        }
    }

    fn report(&mut self) {
        let (late, counts, load) =
            (self.planner.take_lateness(), self.planner.take_counts(), self.planner.load());
        self.interceptor.report(self.loop_clock.now());
        tracing::info!(
            fleet = self.name,
            requests = load.0,
            attempts = load.1,
            links = load.2,
            timers = late.count,
            late_mean_us = late.total / (late.count as Time).max(1),
            late_worst_us = late.worst,
            shed = self.planner.shed(),
            violations = %self.planner.guard().violations(),
            ?counts,
            "state"
        );
    }
}
