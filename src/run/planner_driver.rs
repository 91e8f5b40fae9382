//! Drives a planner: waits for inputs and deadlines, runs the planner's turns, and carries out the resulting effects on
//! sockets.

use crate::interface::{Ending, Time};
use crate::state::buffer_budget::BufferBudget;
use crate::state::interceptor::Interceptor;
use crate::state::planner::{AttemptEnd, Effect, Input, Planner, Wire};
use crate::state::pool::LinkId;
use crate::wire::clock::LoopClock;
use crate::wire::link::{Exchange, LinkCommand, LinkTask, Permit};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// Largest number of inputs of one turn. Further inputs wait for the next turn, behind other tasks that are ready.
const MAX_INPUTS: usize = 256;
/// Turns that take longer than this are logged with the work they did, in microseconds.
const LOGGED_TURN: Time = 20_000;
/// Lateness up to this comes from timers and from other work on the machine, in microseconds.
const MAX_TIMER_LATENESS: Time = 10_000;
/// Interval of the statistics line in the log, in microseconds.
const REPORT_INTERVAL: Time = 10_000_000;

/// A planner with the connections to its nodes.
pub struct PlannerDriver<W: Wire, G> {
    /// Name of the planner in the log.
    pub name: &'static str,
    /// The planner.
    pub planner: Planner<W>,
    /// The interceptor through which all inputs pass before they reach the planner.
    pub interceptor: G,
    /// Inputs for the planner.
    pub inputs: UnboundedReceiver<Input<W>>,
    /// Receives a sender once all clients are gone; it is notified when the interceptor has stopped as well.
    pub shutdown_requests: UnboundedReceiver<oneshot::Sender<()>>,
    /// Sender through which links report to the planner.
    pub input_sender: UnboundedSender<Input<W>>,
    /// The event loop's clock and scheduling lag.
    pub loop_clock: LoopClock,
    /// Connect timeout of a link.
    pub connect_timeout: Rc<Cell<Duration>>,
    /// Memory budget for incomplete replies.
    pub reply_budget: BufferBudget,
    /// Until when requests may be written to nodes.
    pub permit: Permit,
}

impl<W: Wire, G: Interceptor<W>> PlannerDriver<W, G> {
    /// Runs turns until the process ends. `exchange` creates the protocol state of a new link of a channel kind.
    pub async fn run<X: Exchange<W>>(mut self, exchange: impl Fn(W::Channel) -> X) {
        let mut links: HashMap<LinkId, UnboundedSender<LinkCommand<W>>> = HashMap::new();
        let (mut inputs, mut taken, mut effects) = (Vec::new(), Vec::new(), Vec::new());
        let mut ended: Option<oneshot::Sender<()>> = None;
        let (mut report_at, mut was_late) = (self.loop_clock.now() + REPORT_INTERVAL, false);
        loop {
            let wakes = [self.planner.next_deadline(), self.interceptor.next_deadline(), Some(report_at)];
            let wake = wakes.into_iter().flatten().min().unwrap_or(report_at);
            tokio::select! {
                n = self.inputs.recv_many(&mut inputs, MAX_INPUTS) => if n == 0 { return },
                Some(done) = self.shutdown_requests.recv() => {
                    ended = Some(done);
                    self.interceptor.stop(self.loop_clock.now(), &mut taken);
                }
                () = tokio::time::sleep_until(self.loop_clock.clock().instant(wake).into()) => {}
            }
            // Data in the sockets is read before deadlines are checked: an answer that has already arrived is in time.
            let late = self.loop_clock.lag().max(self.loop_clock.now() - wake);
            self.loop_clock.catch_up().await;
            let capacity = MAX_INPUTS - inputs.len();
            inputs.extend((0..capacity).map_while(|_| self.inputs.try_recv().ok()));
            let now = self.loop_clock.now();
            // A single late turn was caused from outside, and the data that arrived meanwhile has been read. A process that is
            // late in two consecutive turns is overloaded.
            if late > MAX_TIMER_LATENESS && was_late {
                taken.push(Input::HostLateness(late));
            }
            was_late = late > MAX_TIMER_LATENESS;
            self.planner.note_lateness(self.loop_clock.recent_lag());
            let (count, work) = (inputs.len(), self.planner.work());
            for input in inputs.drain(..) {
                if let Input::LinkDown(link, _) = &input {
                    links.remove(link);
                }
                self.interceptor.take(now, input, &mut taken);
            }
            self.interceptor.sweep(now, self.planner.open_by_shard(), &mut taken);
            // Answers of the planner can make the interceptor send further requests. The loop ends: each round advances a
            // request by a step, and a request has few steps that complete without a reply from a node.
            loop {
                self.planner.turn(now, taken.drain(..), &mut effects);
                self.interceptor.collect_answers(now, &mut taken);
                if taken.is_empty() {
                    break;
                }
            }
            for effect in effects.drain(..) {
                match effect {
                    Effect::Open(id, _, channel, address) => {
                        let (sender, commands) = unbounded_channel();
                        links.insert(id, sender);
                        let task = LinkTask {
                            id,
                            address,
                            connect_timeout: self.connect_timeout.get(),
                            exchange: exchange(channel),
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
                            // The link has ended and reports it in the next turn; this request was never written.
                            let end = AttemptEnd::without_reply(Ending::Unreachable);
                            let _ = self.input_sender.send(Input::AttemptEnded(link, tag, end));
                        }
                    }
                    Effect::Withdraw(link, tag) => {
                        let _ = links.get(&link).map(|sender| sender.send(LinkCommand::Withdraw(tag)));
                    }
                    Effect::Bar(link) => {
                        // A link that has ended reports it itself.
                        let _ = links.get(&link).map(|sender| sender.send(LinkCommand::StopSending));
                    }
                    Effect::Close(link) => {
                        links.remove(&link);
                    }
                    // The current scheduler requests no probes; an unsent probe says nothing about the node.
                    Effect::Probe(node, _) => {
                        let _ = self.input_sender.send(Input::Probed(node, Ending::NotSent, None));
                    }
                }
            }
            self.loop_clock.record_blocking("a turn of the scheduler", now);
            let took = self.loop_clock.now() - now;
            if took > LOGGED_TURN || late > LOGGED_TURN * 5 {
                let (requests, attempts, _) = self.planner.load();
                let (work, waiting) = (self.planner.work() - work, self.planner.waiting());
                let (late_ms, took_ms) = (late / 1000, took / 1000);
                tracing::warn!(late_ms, took_ms, count, work, requests, waiting, attempts, "late turn");
            }
            if count == MAX_INPUTS {
                tokio::task::yield_now().await;
            }
            if self.interceptor.is_stopped() {
                if let Some(done) = ended.take() {
                    // The receiver may have stopped waiting.
                    let _ = done.send(());
                }
            }
            if now >= report_at {
                report_at = now + REPORT_INTERVAL;
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
