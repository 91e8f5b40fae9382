//! When something that this broker does not know may count as told to it, and when it asks. The terms and what follows
//! from them: `docs/design/discovery.md`. No I/O; time comes in.

use crate::interface::Time;

/// What a silent watch misses counts as told so long after it fell silent (the protocol's figure).
const SILENCE: Time = 6_000_000;
/// Or so long after its wait was over, if that is later (the protocol's figure).
const AFTER_WAIT: Time = 2_000_000;
/// After SIGHUP moved discovery, what the new one has counts as told (the protocol's figure).
const MOVED: Time = 4_000_000;
/// A process that is started beside another is told so long after its yes (the operators' figure for upgrades).
const BESIDE: Time = 2_000_000;
/// How long a watch waits for news at most: a quarter of the silence, so that most of it is left to ask again.
const WAIT: Time = SILENCE / 4;
/// The same for the first call of a watch, which is to show whether the list still holds.
const LOOK: Time = 50_000;
/// A watch goes on if its next call comes so soon after an answer (the protocol's figure).
const CONTINUES: Time = 200_000;
/// How much later than asked the answer to a watch that goes on may come.
const PATIENCE: Time = SILENCE / 5;
/// The same for a call that is made anew and queues behind all other brokers': discovery turns away what waits for 2 s (the
/// protocol's figure), and that says more than silence.
const QUEUED: Time = AFTER_WAIT + 200_000;
/// Where the settings do not say how often to ask.
const ASK_EVERY: Time = SILENCE;
/// Least time between two calls.
const LEAST_GAP: Time = 20_000;

/// What the settings say of lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// Lists are pushed to an agent on this machine: what that has counts as told.
    pub pushed: bool,
    /// A broker without a watch that has not asked for so long counts as told, in microseconds.
    pub ask_every: Time,
    /// How long after it was told of a drain a broker may still send there, in microseconds.
    pub grace: Time,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { pushed: false, ask_every: ASK_EVERY, grace: 0 }
    }
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nobody listens there: whoever keeps the list is away.
    Away,
    /// It ended in words: a status, or a reset before any.
    Ended,
    /// Something came that is no whole list: what it should have held counts as told, since it was written.
    Spoilt,
    /// It never reached discovery: the connection did not come up.
    NotUp,
}

/// A call that is out.
#[derive(Debug, Clone, Copy)]
struct Call {
    at: Time,
    wait: Time,
    /// It continues a watch: it was made at once after an answer.
    continues: bool,
}

/// What the driver is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing before the next deadline.
    Wait,
    /// Make a call that waits so many microseconds for news.
    Call(Time),
    /// Give up the call that is out: discovery is silent.
    GiveUp,
}

/// The account of one broker and one discovery.
#[derive(Debug)]
pub struct Told {
    terms: Terms,
    seed: u64,
    /// From when on something may count as told that only an answer can bring; ends with the next one.
    open: Option<Time>,
    /// The same as far as it moves with each call.
    asked: Time,
    out: Option<Call>,
    next_call: Time,
    failures: u32,
    /// When the last call was answered, if that was the last that happened.
    answered: Option<Time>,
}

impl Told {
    /// The account of a process that starts at `now`, beside another one of its broker or not.
    pub fn new(now: Time, terms: Terms, beside: bool, seed: u64) -> Self {
        let open = match (terms.pushed, beside) {
            (true, _) => Some(now),
            (false, true) => Some(now + BESIDE),
            (false, false) => None,
        };
        Told { terms, seed, open, asked: now, out: None, next_call: now, failures: 0, answered: None }
    }

    /// New settings.
    pub fn retune(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// From when on something that is not known here may count as told.
    pub fn holds_until(&self) -> Time {
        let free = match (self.terms.pushed, self.open) {
            (false, _) => self.asked + self.terms.ask_every,
            (true, None) => self.asked,
            (true, Some(open)) => open,
        };
        let rest = match self.out {
            Some(call) if call.continues => silent_at(call),
            // Whether a call that was made anew has become a watch is not known before its answer.
            Some(call) => free.min(silent_at(call)),
            None => free,
        };
        self.open.map_or(rest, |open| open.min(rest))
    }

    /// Until when anything new may be sent by the list that is held. Half of the grace is kept for what lies between a
    /// decision and its first byte.
    pub fn sends_until(&self) -> Time {
        self.holds_until() + self.terms.grace / 2
    }

    /// When to look at [`Told::step`] again at the latest.
    pub fn next_deadline(&self) -> Time {
        self.out.map_or(self.next_call, given_up_at)
    }

    /// What is to be done at `now`.
    pub fn step(&mut self, now: Time) -> Step {
        match self.out {
            Some(call) if now >= given_up_at(call) => {
                let told = silent_at(call);
                self.open = Some(self.open.map_or(told, |open| open.min(told)));
                self.out = None;
                self.next_call = now;
                Step::GiveUp
            }
            None if now >= self.next_call => {
                let continues = self.answered.take().is_some_and(|at| now - at < CONTINUES);
                let most = if continues { WAIT } else { LOOK };
                let wait = most * 3 / 4 + self.draw(most / 4);
                self.out = Some(Call { at: now, wait, continues });
                Step::Call(wait)
            }
            _ => Step::Wait,
        }
    }

    /// A whole list, or word that there is no news: all is known that was told until now.
    pub fn answered(&mut self, now: Time) {
        (self.open, self.out, self.asked, self.next_call, self.failures) = (None, None, now, now, 0);
        self.answered = Some(now);
    }

    /// The call that was out has failed.
    pub fn failed(&mut self, now: Time, failure: Failure) {
        let call = self.out.take();
        if failure == Failure::Spoilt {
            self.open = Some(self.open.map_or(now, |open| open.min(now)));
        }
        let known = match (call, failure) {
            // A watch that ends in words was open until now, and what is pushed comes at once.
            (Some(call), Failure::Away | Failure::Ended) if self.terms.pushed && call.continues => Some(now),
            // An agent that answers with an error may still have had news.
            (_, Failure::Ended) if self.terms.pushed => None,
            // While its agent is away nothing is told; to one that asks, a call that failed counts as well.
            (Some(call), Failure::Away | Failure::Ended) => Some(call.at),
            _ => None,
        };
        self.asked = self.asked.max(known.unwrap_or(self.asked));
        let every = self.terms.ask_every;
        let gap = match (self.terms.pushed, self.open) {
            // The next may be whole; if it is not, there is no hurry that helps.
            _ if failure == Failure::Spoilt && self.failures == 0 => 0,
            (true, _) => self.terms.grace / 4,
            (false, Some(_)) => (every / 20).min(SILENCE / 12),
            (false, None) => ((every / 20) << self.failures.min(16)).min(every * 2 / 5),
        };
        self.failures += 1;
        self.next_call = now + (gap * 3 / 4 + self.draw(gap / 2)).max(LEAST_GAP);
    }

    /// SIGHUP has moved discovery; the call that was out is let go.
    pub fn moved(&mut self, now: Time) {
        let told = now + MOVED;
        self.open = Some(self.open.map_or(told, |open| open.min(told)));
        (self.out, self.next_call, self.answered) = (None, now, None);
    }

    /// Evenly from 0 to a bound.
    fn draw(&mut self, bound: Time) -> Time {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.seed >> 33) as Time) % bound.max(1)
    }
}

/// When what a call misses counts as told, if it has been silent from its first moment.
fn silent_at(call: Call) -> Time {
    call.at + SILENCE.max(call.wait + AFTER_WAIT)
}

/// When a call that has brought nothing is given up.
fn given_up_at(call: Call) -> Time {
    call.at + call.wait + if call.continues { PATIENCE } else { QUEUED }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Time = 1_000;
    const S: Time = 1_000_000;

    /// Settings unlike each other: how lists come, how often to ask, the grace.
    const TERMS: [Terms; 5] = [
        Terms { pushed: false, ask_every: 10 * S, grace: 250 * MS },
        Terms { pushed: false, ask_every: 10 * S, grace: 2 * S },
        Terms { pushed: false, ask_every: S, grace: 50 * MS },
        Terms { pushed: false, ask_every: 60 * S, grace: 0 },
        Terms { pushed: true, ask_every: 10 * S, grace: 250 * MS },
    ];

    /// What a discovery does with a call.
    #[derive(Debug, Clone, Copy, PartialEq)]
    enum Manner {
        Answers,
        Silent,
        Status,
        Away,
        NotUp,
    }

    /// One change of the list, the account, and a discovery that behaves as it is told. The operators' clock runs beside
    /// it, written by itself: when does the change count as told?
    struct World {
        told: Told,
        terms: Terms,
        now: Time,
        /// The change, and whether it has been had.
        change: Time,
        known: bool,
        /// The last call that was made, that it failed, and its wait.
        last: (Time, bool, Time),
        /// When the watch that was open fell silent, and when its wait was over.
        silent: Option<(Time, Time)>,
        /// The first moment at which the broker still sent after the change had counted, beyond the grace.
        broken: Option<Time>,
        held: Time,
        /// A planted fault: it sends whatever the account says.
        deaf: bool,
    }

    impl World {
        fn new(terms: Terms, change: Time, seed: u64) -> Self {
            World {
                told: Told::new(0, terms, false, seed),
                terms,
                now: 0,
                change,
                known: false,
                last: (0, false, 0),
                silent: None,
                broken: None,
                held: 0,
                deaf: false,
            }
        }

        /// When the change counts as told, if it is not known.
        fn counts_at(&self) -> Time {
            if self.terms.pushed && self.silent.is_none() {
                return self.change;
            }
            if let Some((since, over)) = self.silent {
                return (since + SILENCE).max(over + AFTER_WAIT).max(self.change);
            }
            let (at, failed, _) = self.last;
            let every = self.terms.ask_every;
            (at + if failed { 4 * every } else { every }).max(self.change + every)
        }

        /// Runs to a moment in steps of 5 ms; calls made meet the manner of their time, and so do those that are open.
        fn run(&mut self, to: Time, manner: &dyn Fn(Time) -> Manner) {
            let mut open: Option<(Time, Time)> = None;
            while self.now < to {
                match self.told.step(self.now) {
                    Step::Call(wait) => {
                        open = Some((self.now, wait));
                        self.last = (self.now, false, wait);
                    }
                    Step::GiveUp => open = None,
                    Step::Wait => {}
                }
                let now = self.now;
                if let Some((at, wait)) = open {
                    let news = self.change <= now && !self.known;
                    let failure = match manner(now) {
                        Manner::Answers if self.silent.is_some_and(|(since, _)| since > at) => None,
                        Manner::Answers => {
                            if news || now >= at + wait {
                                self.known |= news;
                                self.silent = None;
                                self.told.answered(now);
                                open = None;
                            }
                            None
                        }
                        Manner::Silent => {
                            self.silent.get_or_insert((now, at + wait));
                            None
                        }
                        Manner::Status => Some(Failure::Ended),
                        Manner::Away => Some(Failure::Away),
                        Manner::NotUp => (now >= at + S).then_some(Failure::NotUp),
                    };
                    if let Some(failure) = failure {
                        self.told.failed(now, failure);
                        self.last.1 = true;
                        open = None;
                    }
                }
                let sends = self.deaf || now < self.told.sends_until();
                self.held += if sends { 0 } else { 5 * MS };
                // While discovery is away the clock of those that ask stands still.
                let away = matches!(manner(now), Manner::Away);
                let late = !self.known && now >= self.change && now > self.counts_at() + self.terms.grace;
                if sends && late && !(away && self.silent.is_none()) {
                    self.broken.get_or_insert(now);
                }
                self.now += 5 * MS;
            }
        }
    }

    /// Guards against the fault that the operators met: watches fall silent, a node is announced as leaving, and it is sent
    /// to after the change counted as told. The change and the silence are moved across the wait of a call, and
    /// discovery turns calls away for a while, or for good.
    #[test]
    fn nothing_is_sent_once_a_missed_change_counts_as_told() {
        let mut caught = [0; TERMS.len()];
        for (which, terms) in TERMS.into_iter().enumerate() {
            for step in 0..40 {
                let silence = 3 * S + step * 50 * MS;
                for after in [0, 20 * MS, 400 * MS, 2 * S, 5 * S] {
                    for away in [0, 2 * S, 4 * S, 30 * S] {
                        let mut world = World::new(terms, silence + after, step as u64);
                        let manner = |now: Time| match now {
                            _ if now < silence || now >= silence + 4 * S + away => Manner::Answers,
                            _ if now < silence + 3 * S => Manner::Silent,
                            _ => Manner::Status,
                        };
                        world.run(silence + 20 * S, &manner);
                        let case = (which, step, after, away);
                        assert_eq!(world.broken, None, "{case:?}");
                        assert_eq!(world.known, away < 30 * S, "{case:?}");
                        assert!(world.held < 18 * S, "{case:?}: {}", world.held);
                        let spared = away == 0 && !terms.pushed && terms.ask_every >= SILENCE;
                        assert!(!spared || world.held == 0, "{case:?}: {}", world.held);
                        let mut planted =
                            World { deaf: true, ..World::new(terms, silence + after, step as u64) };
                        planted.run(silence + 20 * S, &manner);
                        caught[which] += usize::from(planted.broken.is_some());
                    }
                }
            }
        }
        assert!(caught.iter().all(|n| *n > 100), "a broker that does not hold is seen: {caught:?}");
    }

    /// Guards against a broker that keeps the rule by doing nothing: silence alone, with a discovery that answers new
    /// calls, stops nobody, and neither does one that is away or says no where lists are asked for.
    #[test]
    fn service_goes_on_through_silence_and_outage() {
        for terms in TERMS {
            let silent = |now: Time| {
                if (4 * S..4 * S + 50 * MS).contains(&now) {
                    Manner::Silent
                } else {
                    Manner::Answers
                }
            };
            let mut world = World::new(terms, 5 * S, 3);
            world.run(20 * S, &silent);
            assert_eq!((world.broken, world.known), (None, true), "{terms:?}");
            // Where a broker without a watch has less than a watch takes to be found silent, one answer is waited for.
            assert!(world.held <= 5 * MS && (world.held == 0 || terms.ask_every < SILENCE), "{terms:?}");
            let away =
                |now: Time| if (4 * S..12 * S).contains(&now) { Manner::Away } else { Manner::Answers };
            let mut world = World::new(terms, 13 * S, 3);
            world.run(20 * S, &away);
            assert_eq!((world.broken, world.held), (None, 0), "{terms:?}");
            let status =
                |now: Time| if (4 * S..12 * S).contains(&now) { Manner::Status } else { Manner::Answers };
            let mut world = World::new(terms, 13 * S, 3);
            world.run(20 * S, &status);
            assert_eq!(world.broken, None, "{terms:?}");
            assert!(terms.pushed || world.held == 0, "{terms:?}: {}", world.held);
        }
    }

    /// Guards against calls that never reach discovery and yet move the clock: behind a cut nothing is known.
    #[test]
    fn a_broker_behind_a_cut_stops_when_its_list_no_longer_holds() {
        for terms in TERMS {
            let mut world = World::new(terms, 30 * S, 5);
            world.run(200 * S, &|now| if now < 4 * S { Manner::Answers } else { Manner::NotUp });
            let until = world.told.sends_until();
            assert!(until <= 4 * S + terms.ask_every.max(SILENCE) + terms.grace, "{terms:?}: {until}");
        }
    }

    /// Guards against a start, a move and an upgrade that trust an old list for too long.
    #[test]
    fn a_start_a_move_and_an_upgrade_have_their_own_clocks() {
        let [asked, .., pushed] = TERMS;
        let until = |told: &Told| told.holds_until();
        assert_eq!(until(&Told::new(0, asked, false, 1)), 10 * S);
        assert_eq!(until(&Told::new(0, asked, true, 1)), 2 * S);
        assert_eq!(until(&Told::new(0, pushed, false, 1)), 0);
        for terms in [asked, pushed] {
            let mut told = Told::new(0, terms, false, 1);
            told.step(0);
            told.answered(S);
            told.step(S);
            told.moved(2 * S);
            assert_eq!(until(&told), 6 * S);
            assert!(matches!(told.step(2 * S), Step::Call(_)), "at once");
            // A call that fails brings no news.
            told.failed(3 * S, Failure::Ended);
            assert_eq!(until(&told), 6 * S);
            told.step(5 * S);
            told.answered(5 * S);
            told.step(5 * S);
            assert_eq!(until(&told), 11 * S, "a watch is open");
        }
    }

    /// Guards against a list that is cut off or unreadable and passes for a call that merely failed: it was written, so it
    /// counts as told, and only a whole answer ends that.
    #[test]
    fn what_was_written_and_not_understood_counts_as_told() {
        for terms in TERMS {
            let mut told = Told::new(0, terms, false, 1);
            told.step(0);
            told.answered(S);
            told.step(S);
            told.failed(2 * S, Failure::Spoilt);
            assert_eq!(told.holds_until(), 2 * S);
            assert!(told.next_deadline() <= 2 * S + LEAST_GAP, "at once");
            told.step(3 * S);
            told.failed(3 * S, Failure::Spoilt);
            assert!(told.next_deadline() > 3 * S + LEAST_GAP, "no storm");
            told.step(6 * S);
            told.failed(6 * S, Failure::Ended);
            assert_eq!(told.holds_until(), 2 * S);
            told.step(9 * S);
            told.answered(9 * S);
            assert!(told.sends_until() >= 9 * S);
        }
    }

    /// Guards against a storm: many brokers find silence at once, and discovery takes few calls a second, turning away those
    /// for which it has no room. No broker may call more often than its gap, and all get their turn.
    #[test]
    fn a_crowd_gets_its_lists_without_a_storm() {
        const BROKERS: usize = 350;
        let terms = TERMS[0];
        let mut all: Vec<Told> = (0..BROKERS).map(|i| Told::new(0, terms, false, 7 + i as u64)).collect();
        for told in &mut all {
            told.step(0);
            told.answered(S);
            told.step(S);
        }
        // All are silent now; discovery serves one call in 15 ms and holds those of one second.
        let (mut queue, mut free, mut calls, mut done) = (Vec::new(), S, 0, vec![None; BROKERS]);
        let mut now = S;
        while now < 12 * S {
            for (i, told) in all.iter_mut().enumerate().filter(|(i, _)| done[*i].is_none()) {
                if let Step::Call(_) = told.step(now) {
                    calls += 1;
                    match free < now + S {
                        true => {
                            free = free.max(now) + 15 * MS;
                            queue.push((free, i));
                        }
                        false => told.failed(now, Failure::Ended),
                    }
                }
            }
            queue.retain(|(at, i)| {
                if *at > now {
                    return true;
                }
                done[*i] = Some(now);
                false
            });
            now += MS;
        }
        let last = done.iter().map(|at| at.expect("served")).max().expect("some");
        assert!(last < S + SILENCE + 4 * S, "{last}");
        let most = (last - S) / (terms.ask_every / 20 * 3 / 4) + 1;
        assert!(calls as i64 <= most * BROKERS as i64, "{calls}");
    }
}
