//! The account of when a change of the list counts as told, on handed-in time, before discoveries that fail in every way.

use claywinch::interface::Time;
use claywinch::state::list_validity::*;

/// The operators' figures, written here by themselves.
const SILENCE: Time = 6_000_000;
const AFTER_WAIT: Time = 2_000_000;
/// What counts as at once.
const AT_ONCE: Time = 20_000;

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
    list_validity: ListValidity,
    terms: Terms,
    now: Time,
    /// The change, and whether it has been had.
    change: Time,
    known: bool,
    /// When the last call was made.
    last: Time,
    /// A call has failed or was given up, and none was answered since.
    failed: bool,
    /// When discovery was last away: nobody could reach it.
    away: Time,
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
            list_validity: ListValidity::new(0, terms, false, seed),
            terms,
            now: 0,
            change,
            known: false,
            last: 0,
            failed: false,
            away: 0,
            silent: None,
            broken: None,
            held: 0,
            deaf: false,
        }
    }

    /// When the change counts as told, if it is not known.
    fn counts_at(&self) -> Time {
        if self.terms.pushed && self.silent.is_none() {
            // While its discovery is away the agent learns nothing.
            return self.change.max(self.away);
        }
        if let Some((since, over)) = self.silent {
            return (since + SILENCE).max(over + AFTER_WAIT).max(self.change);
        }
        // Before all that the settings allow: so long after discovery had it and could be reached.
        let failed = if self.failed { self.change.max(self.away) + SILENCE } else { Time::MAX };
        let every = self.terms.ask_every;
        (self.last + every).max(self.change + every).min(failed)
    }

    /// Runs to a moment in steps of 5 ms; calls made meet the manner of their time, and so do those that are open.
    fn run(&mut self, to: Time, manner: &dyn Fn(Time) -> Manner) {
        let mut open: Option<(Time, Time)> = None;
        while self.now < to {
            match self.list_validity.step(self.now) {
                Step::Call(wait) => {
                    open = Some((self.now, wait));
                    self.last = self.now;
                }
                Step::GiveUp => (open, self.failed) = (None, true),
                Step::Wait => {}
            }
            let now = self.now;
            // One that turns calls away in words cannot be reached; an agent that does may have news all the same.
            if manner(now) == Manner::Away || (manner(now) == Manner::Status && !self.terms.pushed) {
                self.away = now;
            }
            if let Some((at, wait)) = open {
                let news = self.change <= now && !self.known;
                let failure = match manner(now) {
                    Manner::Answers if self.silent.is_some_and(|(since, _)| since > at) => None,
                    Manner::Answers => {
                        if news || now >= at + wait {
                            self.known |= news;
                            self.silent = None;
                            self.list_validity.answered(now);
                            (open, self.failed) = (None, false);
                        }
                        None
                    }
                    // A call that was out when the cut came is not heard any more.
                    Manner::NotUp if manner(at) != Manner::NotUp => {
                        self.silent.get_or_insert((now, at + wait));
                        None
                    }
                    Manner::Silent => {
                        self.silent.get_or_insert((now, at + wait));
                        None
                    }
                    Manner::Status => Some(Failure::Rejected),
                    Manner::Away => Some(Failure::Refused),
                    Manner::NotUp => (now >= at + S).then_some(Failure::NotConnected),
                };
                if let Some(failure) = failure {
                    self.list_validity.failed(now, failure);
                    (open, self.failed) = (None, true);
                }
            }
            let sends = self.deaf || now < self.list_validity.send_until();
            self.held += if sends { 0 } else { 5 * MS };
            // While discovery is away the clock of those that ask stands still.
            let away = self.away == now;
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
                    let least = if terms.pushed { 2 * S } else { terms.ask_every.min(SILENCE) * 3 / 4 };
                    assert!(world.held < 20 * S - least, "{case:?}: {}", world.held);
                    let spared = away == 0 && !terms.pushed && terms.ask_every >= SILENCE;
                    assert!(!spared || world.held == 0, "{case:?}: {}", world.held);
                    let mut planted = World { deaf: true, ..World::new(terms, silence + after, step as u64) };
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
        let away = |now: Time| if (4 * S..12 * S).contains(&now) { Manner::Away } else { Manner::Answers };
        let mut world = World::new(terms, 13 * S, 3);
        world.run(20 * S, &away);
        assert_eq!((world.broken, world.held), (None, 0), "{terms:?}");
        for outage in [3 * S, 8 * S, 60 * S] {
            let status = |now: Time| {
                if (4 * S..4 * S + outage).contains(&now) {
                    Manner::Status
                } else {
                    Manner::Answers
                }
            };
            let mut world = World::new(terms, outage + 5 * S, 3);
            world.run(outage + 20 * S, &status);
            assert_eq!(world.broken, None, "{terms:?}");
            assert!(terms.pushed || world.held == 0, "{terms:?}: {} of {outage}", world.held);
        }
    }
}

/// Guards against the clock of the settings (ten seconds, or four times sixty after a failed call) where a call was
/// refused, failed, given up or never came up: a change counts six seconds after discovery had it and could be reached.
/// The change and the end of the trouble are moved in small steps.
#[test]
fn after_a_failed_call_a_change_counts_in_six_seconds_whatever_else_is_allowed() {
    let mut caught = 0;
    for terms in TERMS {
        for trouble in [Manner::Status, Manner::Away, Manner::NotUp, Manner::Silent] {
            for step in 0..60 {
                let (from, change) = (4 * S, 3 * S + step * 250 * MS);
                for lasts in [S, 5 * S, 9 * S, 40 * S] {
                    let manner = |now: Time| {
                        // It is away first, comes back, and is overbooked then.
                        match now - from {
                            ..0 => Manner::Answers,
                            t if t < lasts => trouble,
                            t if t < lasts + step * 100 * MS => Manner::Status,
                            _ => Manner::Answers,
                        }
                    };
                    let mut world = World::new(terms, change, step as u64);
                    world.run(from + lasts + 20 * S, &manner);
                    let case = (terms, trouble, step, lasts);
                    assert_eq!(world.broken, None, "{case:?}");
                    let mut planted = World { deaf: true, ..World::new(terms, change, step as u64) };
                    planted.run(from + lasts + 20 * S, &manner);
                    caught += usize::from(planted.broken.is_some());
                }
            }
        }
    }
    assert!(caught > 500, "a broker that does not hold is seen: {caught}");
}

/// Guards against a broker that stops for a whole outage though it has proof of it: nobody listens there.
#[test]
fn service_goes_on_while_nobody_listens_at_discovery_however_long() {
    for terms in TERMS {
        let mut world = World::new(terms, 300 * S, 9);
        world.run(200 * S, &|now| if now < 4 * S { Manner::Answers } else { Manner::Away });
        assert_eq!((world.broken, world.held), (None, 0), "{terms:?}");
    }
}

/// Guards against calls so far apart that the six seconds after discovery's return go by between two of them.
#[test]
fn calls_that_fail_are_made_again_well_within_the_silence() {
    for terms in TERMS {
        let mut list_validity = ListValidity::new(0, terms, false, 5);
        let (mut now, mut last) = (0, 0);
        while now < 120 * S {
            if let Step::Call(_) = list_validity.step(now) {
                assert!(now - last <= SILENCE / 2, "{terms:?}: {}", now - last);
                last = now;
                list_validity.failed(now, Failure::Rejected);
            }
            now += 5 * MS;
        }
    }
}

/// Guards against calls that never reach discovery and yet move the clock: behind a cut nothing is known.
#[test]
fn a_broker_behind_a_cut_stops_when_its_list_no_longer_holds() {
    for terms in TERMS {
        let mut world = World::new(terms, 30 * S, 5);
        world.run(200 * S, &|now| if now < 4 * S { Manner::Answers } else { Manner::NotUp });
        let until = world.list_validity.send_until();
        assert!(until <= 4 * S + terms.ask_every.max(SILENCE) + terms.grace, "{terms:?}: {until}");
    }
}

/// Guards against a start, a move and an upgrade that trust an old list for too long.
#[test]
fn a_start_a_move_and_an_upgrade_have_their_own_clocks() {
    let [asked, .., pushed] = TERMS;
    let until = |list_validity: &ListValidity| list_validity.valid_until();
    assert_eq!(until(&ListValidity::new(0, asked, false, 1)), 6 * S);
    assert_eq!(until(&ListValidity::new(0, asked, true, 1)), 2 * S);
    assert_eq!(until(&ListValidity::new(0, pushed, false, 1)), 0);
    for terms in [asked, pushed] {
        let mut list_validity = ListValidity::new(0, terms, false, 1);
        list_validity.step(0);
        list_validity.answered(S);
        list_validity.step(S);
        list_validity.endpoint_changed(2 * S);
        assert_eq!(until(&list_validity), 6 * S);
        assert!(matches!(list_validity.step(2 * S), Step::Call(_)), "at once");
        // A call that fails brings no news.
        list_validity.failed(3 * S, Failure::Rejected);
        assert_eq!(until(&list_validity), 6 * S);
        list_validity.step(5 * S);
        list_validity.answered(5 * S);
        list_validity.step(5 * S);
        assert_eq!(until(&list_validity), 11 * S, "a watch is open");
    }
}

/// Guards against a list that is cut off or unreadable and passes for a call that merely failed: it was written, so it
/// counts as told, and only a whole answer ends that.
#[test]
fn what_was_written_and_not_understood_counts_as_told() {
    for terms in TERMS {
        let mut list_validity = ListValidity::new(0, terms, false, 1);
        list_validity.step(0);
        list_validity.answered(S);
        list_validity.step(S);
        list_validity.failed(2 * S, Failure::Malformed);
        assert_eq!(list_validity.valid_until(), 2 * S);
        assert!(list_validity.next_deadline() <= 2 * S + AT_ONCE, "at once");
        list_validity.step(3 * S);
        list_validity.failed(3 * S, Failure::Malformed);
        assert!(list_validity.next_deadline() > 3 * S + AT_ONCE, "no storm");
        list_validity.step(6 * S);
        list_validity.failed(6 * S, Failure::Rejected);
        assert_eq!(list_validity.valid_until(), 2 * S);
        list_validity.step(9 * S);
        list_validity.answered(9 * S);
        assert!(list_validity.send_until() >= 9 * S);
    }
}

/// Guards against a storm: many brokers find silence at once, and discovery takes few calls a second, turning away those
/// for which it has no room. No broker may call more often than its gap, and all get their turn.
#[test]
fn a_crowd_gets_its_lists_without_a_storm() {
    const BROKERS: usize = 350;
    let terms = TERMS[0];
    let mut all: Vec<ListValidity> =
        (0..BROKERS).map(|i| ListValidity::new(0, terms, false, 7 + i as u64)).collect();
    for list_validity in &mut all {
        list_validity.step(0);
        list_validity.answered(S);
        list_validity.step(S);
    }
    // All are silent now; discovery serves one call in 15 ms and holds those of one second.
    let (mut queue, mut free, mut calls, mut done) = (Vec::new(), S, 0, vec![None; BROKERS]);
    let mut now = S;
    while now < 12 * S {
        for (i, list_validity) in all.iter_mut().enumerate().filter(|(i, _)| done[*i].is_none()) {
            if let Step::Call(_) = list_validity.step(now) {
                calls += 1;
                match free < now + S {
                    true => {
                        free = free.max(now) + 15 * MS;
                        queue.push((free, i));
                    }
                    false => list_validity.failed(now, Failure::Rejected),
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
