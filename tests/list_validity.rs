//! Tests of `ListValidity` on simulated time, against discoveries that fail in every way.

use claywinch::interface::Time;
use claywinch::state::list_validity::*;

/// The protocol's limits, in microseconds. They are repeated here so that the tests do not depend on the module's own.
const SILENCE: Time = 6_000_000;
const AFTER_WAIT: Time = 2_000_000;
/// Longest delay in microseconds that counts as immediate.
const IMMEDIATE: Time = 20_000;

const MS: Time = 1_000;
const S: Time = 1_000_000;

/// Settings that differ in the delivery of lists, the call interval and the grace.
const TERMS: [Terms; 5] = [
    Terms { pushed: false, ask_every: 10 * S, grace: 250 * MS },
    Terms { pushed: false, ask_every: 10 * S, grace: 2 * S },
    Terms { pushed: false, ask_every: S, grace: 50 * MS },
    Terms { pushed: false, ask_every: 60 * S, grace: 0 },
    Terms { pushed: true, ask_every: 10 * S, grace: 250 * MS },
];

/// How the simulated discovery treats a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Behavior {
    Answers,
    /// It accepts the call and never answers.
    Silent,
    /// It rejects the call with an error status.
    Rejects,
    /// It refuses the connection.
    Refuses,
    /// The connection times out.
    TimesOut,
}

/// A broker's `ListValidity`, a discovery with a given behavior and one change of the list. An independent model of the
/// protocol computes when the change counts as delivered.
struct World {
    validity: ListValidity,
    terms: Terms,
    now: Time,
    /// When the change happens.
    change: Time,
    /// Whether the broker has received the change.
    known: bool,
    last_call: Time,
    /// A call has failed or was abandoned, and none was answered since.
    failed: bool,
    /// When discovery was last unreachable for every broker.
    unreachable: Time,
    /// When the open watch fell silent, and when its requested wait ends.
    silent: Option<(Time, Time)>,
    /// The first moment at which the broker still sent after the change counted as delivered and the grace was over.
    violation: Option<Time>,
    /// Total time for which sending was suspended.
    suspended: Time,
    /// An injected fault: the broker sends regardless of the validity of its list.
    ignores_validity: bool,
}

impl World {
    fn new(terms: Terms, change: Time, seed: u64) -> Self {
        World {
            validity: ListValidity::new(0, terms, false, seed),
            terms,
            now: 0,
            change,
            known: false,
            last_call: 0,
            failed: false,
            unreachable: 0,
            silent: None,
            violation: None,
            suspended: 0,
            ignores_validity: false,
        }
    }

    /// Returns when the change counts as delivered to a broker that has not received it.
    fn counts_at(&self) -> Time {
        if self.terms.pushed && self.silent.is_none() {
            // While discovery is unreachable the agent receives nothing.
            return self.change.max(self.unreachable);
        }
        if let Some((since, over)) = self.silent {
            return (since + SILENCE).max(over + AFTER_WAIT).max(self.change);
        }
        // After a failed call this limit applies even if the settings allow more: the change counts as delivered
        // `SILENCE` after discovery had it and was reachable.
        let failed = if self.failed { self.change.max(self.unreachable) + SILENCE } else { Time::MAX };
        let every = self.terms.ask_every;
        (self.last_call + every).max(self.change + every).min(failed)
    }

    /// Runs until `to` in steps of 5 ms. New and open calls meet the behavior of discovery at the current time.
    fn run(&mut self, to: Time, behavior: &dyn Fn(Time) -> Behavior) {
        let mut open: Option<(Time, Time)> = None;
        while self.now < to {
            match self.validity.step(self.now) {
                Step::Call(wait) => {
                    open = Some((self.now, wait));
                    self.last_call = self.now;
                }
                Step::GiveUp => (open, self.failed) = (None, true),
                Step::Wait => {}
            }
            let now = self.now;
            // A discovery that rejects calls counts as unreachable; an agent that rejects calls may still have the change.
            if behavior(now) == Behavior::Refuses
                || (behavior(now) == Behavior::Rejects && !self.terms.pushed)
            {
                self.unreachable = now;
            }
            if let Some((at, wait)) = open {
                let has_change = self.change <= now && !self.known;
                let failure = match behavior(now) {
                    Behavior::Answers if self.silent.is_some_and(|(since, _)| since > at) => None,
                    Behavior::Answers => {
                        if has_change || now >= at + wait {
                            self.known |= has_change;
                            self.silent = None;
                            self.validity.answered(now);
                            (open, self.failed) = (None, false);
                        }
                        None
                    }
                    // A call that was open when the connection was cut off gets no answer.
                    Behavior::TimesOut if behavior(at) != Behavior::TimesOut => {
                        self.silent.get_or_insert((now, at + wait));
                        None
                    }
                    Behavior::Silent => {
                        self.silent.get_or_insert((now, at + wait));
                        None
                    }
                    Behavior::Rejects => Some(Failure::Rejected),
                    Behavior::Refuses => Some(Failure::Refused),
                    Behavior::TimesOut => (now >= at + S).then_some(Failure::NotConnected),
                };
                if let Some(failure) = failure {
                    self.validity.failed(now, failure);
                    (open, self.failed) = (None, true);
                }
            }
            let sends = self.ignores_validity || now < self.validity.send_until();
            self.suspended += if sends { 0 } else { 5 * MS };
            // While discovery is unreachable no limit runs for brokers that have to ask.
            let unreachable = self.unreachable == now;
            let late = !self.known && now >= self.change && now > self.counts_at() + self.terms.grace;
            if sends && late && !(unreachable && self.silent.is_none()) {
                self.violation.get_or_insert(now);
            }
            self.now += 5 * MS;
        }
    }
}

/// Guards against a fault seen in operation: watches fall silent, a node is announced as draining, and the broker sends
/// to it after the change counted as delivered. The test shifts the change and the silence across the wait of a call;
/// discovery then rejects calls for a while or until the end.
#[test]
fn nothing_is_sent_once_a_missed_change_counts_as_delivered() {
    let mut caught = [0; TERMS.len()];
    for (which, terms) in TERMS.into_iter().enumerate() {
        for step in 0..40 {
            let silence = 3 * S + step * 50 * MS;
            for after in [0, 20 * MS, 400 * MS, 2 * S, 5 * S] {
                for rejecting in [0, 2 * S, 4 * S, 30 * S] {
                    let mut world = World::new(terms, silence + after, step as u64);
                    let behavior = |now: Time| match now {
                        _ if now < silence || now >= silence + 4 * S + rejecting => Behavior::Answers,
                        _ if now < silence + 3 * S => Behavior::Silent,
                        _ => Behavior::Rejects,
                    };
                    world.run(silence + 20 * S, &behavior);
                    let case = (which, step, after, rejecting);
                    assert_eq!(world.violation, None, "{case:?}");
                    assert_eq!(world.known, rejecting < 30 * S, "{case:?}");
                    let least = if terms.pushed { 2 * S } else { terms.ask_every.min(SILENCE) * 3 / 4 };
                    assert!(world.suspended < 20 * S - least, "{case:?}: {}", world.suspended);
                    let spared = rejecting == 0 && !terms.pushed && terms.ask_every >= SILENCE;
                    assert!(!spared || world.suspended == 0, "{case:?}: {}", world.suspended);
                    let mut faulty =
                        World { ignores_validity: true, ..World::new(terms, silence + after, step as u64) };
                    faulty.run(silence + 20 * S, &behavior);
                    caught[which] += usize::from(faulty.violation.is_some());
                }
            }
        }
    }
    assert!(
        caught.iter().all(|n| *n > 100),
        "the model detects a broker that ignores the validity: {caught:?}"
    );
}

/// Guards against a broker that obeys the rule by not sending at all. Sending continues when a watch falls silent but
/// discovery answers new calls, and, where lists are asked for, when discovery refuses or rejects calls.
#[test]
fn service_goes_on_through_silence_and_outage() {
    for terms in TERMS {
        let silent = |now: Time| {
            if (4 * S..4 * S + 50 * MS).contains(&now) {
                Behavior::Silent
            } else {
                Behavior::Answers
            }
        };
        let mut world = World::new(terms, 5 * S, 3);
        world.run(20 * S, &silent);
        assert_eq!((world.violation, world.known), (None, true), "{terms:?}");
        // With an interval shorter than the detection of a silent watch, sending pauses until the next answer.
        assert!(
            world.suspended <= 5 * MS && (world.suspended == 0 || terms.ask_every < SILENCE),
            "{terms:?}"
        );
        let refusing =
            |now: Time| if (4 * S..12 * S).contains(&now) { Behavior::Refuses } else { Behavior::Answers };
        let mut world = World::new(terms, 13 * S, 3);
        world.run(20 * S, &refusing);
        assert_eq!((world.violation, world.suspended), (None, 0), "{terms:?}");
        for outage in [3 * S, 8 * S, 60 * S] {
            let status = |now: Time| {
                if (4 * S..4 * S + outage).contains(&now) {
                    Behavior::Rejects
                } else {
                    Behavior::Answers
                }
            };
            let mut world = World::new(terms, outage + 5 * S, 3);
            world.run(outage + 20 * S, &status);
            assert_eq!(world.violation, None, "{terms:?}");
            assert!(terms.pushed || world.suspended == 0, "{terms:?}: {} of {outage}", world.suspended);
        }
    }
}

/// Guards against applying the interval of the settings (ten seconds, or four times sixty after a failed call) after a
/// call was rejected, refused, abandoned or could not connect: a change then counts as delivered six seconds after
/// discovery had it and was reachable. The test shifts the change and the end of the failure in small steps.
#[test]
fn after_a_failed_call_a_change_counts_as_delivered_in_six_seconds() {
    let mut caught = 0;
    for terms in TERMS {
        for failing in [Behavior::Rejects, Behavior::Refuses, Behavior::TimesOut, Behavior::Silent] {
            for step in 0..60 {
                let (from, change) = (4 * S, 3 * S + step * 250 * MS);
                for lasts in [S, 5 * S, 9 * S, 40 * S] {
                    let behavior = |now: Time| {
                        // Discovery fails first, returns, and is then overloaded.
                        match now - from {
                            ..0 => Behavior::Answers,
                            t if t < lasts => failing,
                            t if t < lasts + step * 100 * MS => Behavior::Rejects,
                            _ => Behavior::Answers,
                        }
                    };
                    let mut world = World::new(terms, change, step as u64);
                    world.run(from + lasts + 20 * S, &behavior);
                    let case = (terms, failing, step, lasts);
                    assert_eq!(world.violation, None, "{case:?}");
                    let mut faulty =
                        World { ignores_validity: true, ..World::new(terms, change, step as u64) };
                    faulty.run(from + lasts + 20 * S, &behavior);
                    caught += usize::from(faulty.violation.is_some());
                }
            }
        }
    }
    assert!(caught > 500, "the model detects a broker that ignores the validity: {caught}");
}

/// Guards against a broker that stops sending for a whole outage although refused connections prove that discovery is
/// down.
#[test]
fn service_goes_on_while_discovery_refuses_connections_however_long() {
    for terms in TERMS {
        let mut world = World::new(terms, 300 * S, 9);
        world.run(200 * S, &|now| if now < 4 * S { Behavior::Answers } else { Behavior::Refuses });
        assert_eq!((world.violation, world.suspended), (None, 0), "{terms:?}");
    }
}

/// Guards against calls so far apart that the six seconds after the return of discovery pass between two of them.
#[test]
fn failed_calls_are_repeated_well_within_the_silence_limit() {
    for terms in TERMS {
        let mut validity = ListValidity::new(0, terms, false, 5);
        let (mut now, mut last) = (0, 0);
        while now < 120 * S {
            if let Step::Call(_) = validity.step(now) {
                assert!(now - last <= SILENCE / 2, "{terms:?}: {}", now - last);
                last = now;
                validity.failed(now, Failure::Rejected);
            }
            now += 5 * MS;
        }
    }
}

/// Guards against extending the validity by calls that never reach discovery: a cut-off broker knows of no change.
#[test]
fn a_cut_off_broker_stops_sending_when_its_list_expires() {
    for terms in TERMS {
        let mut world = World::new(terms, 30 * S, 5);
        world.run(200 * S, &|now| if now < 4 * S { Behavior::Answers } else { Behavior::TimesOut });
        let until = world.validity.send_until();
        assert!(until <= 4 * S + terms.ask_every.max(SILENCE) + terms.grace, "{terms:?}: {until}");
    }
}

/// Guards against trusting an old list for too long after a start, a change of the discovery address or an upgrade.
#[test]
fn a_start_an_address_change_and_an_upgrade_have_their_own_limits() {
    let [asked, .., pushed] = TERMS;
    let until = |validity: &ListValidity| validity.valid_until();
    assert_eq!(until(&ListValidity::new(0, asked, false, 1)), 6 * S);
    assert_eq!(until(&ListValidity::new(0, asked, true, 1)), 2 * S);
    assert_eq!(until(&ListValidity::new(0, pushed, false, 1)), 0);
    for terms in [asked, pushed] {
        let mut validity = ListValidity::new(0, terms, false, 1);
        validity.step(0);
        validity.answered(S);
        validity.step(S);
        validity.endpoint_changed(2 * S);
        assert_eq!(until(&validity), 6 * S);
        assert!(matches!(validity.step(2 * S), Step::Call(_)), "immediately");
        // A failed call delivers no change.
        validity.failed(3 * S, Failure::Rejected);
        assert_eq!(until(&validity), 6 * S);
        validity.step(5 * S);
        validity.answered(5 * S);
        validity.step(5 * S);
        assert_eq!(until(&validity), 11 * S, "a watch is open");
    }
}

/// Guards against treating a truncated or unreadable list as a call that merely failed: the list was sent, so its changes
/// count as delivered until a complete answer arrives.
#[test]
fn a_malformed_list_counts_as_delivered() {
    for terms in TERMS {
        let mut validity = ListValidity::new(0, terms, false, 1);
        validity.step(0);
        validity.answered(S);
        validity.step(S);
        validity.failed(2 * S, Failure::Malformed);
        assert_eq!(validity.valid_until(), 2 * S);
        assert!(validity.next_deadline() <= 2 * S + IMMEDIATE, "immediately");
        validity.step(3 * S);
        validity.failed(3 * S, Failure::Malformed);
        assert!(validity.next_deadline() > 3 * S + IMMEDIATE, "the next call is delayed");
        validity.step(6 * S);
        validity.failed(6 * S, Failure::Rejected);
        assert_eq!(validity.valid_until(), 2 * S);
        validity.step(9 * S);
        validity.answered(9 * S);
        assert!(validity.send_until() >= 9 * S);
    }
}

/// Guards against a storm of calls: many brokers detect silence at the same time, and discovery serves few calls a second
/// and rejects those that exceed its queue. No broker calls more often than its gap allows, and all are served.
#[test]
fn many_brokers_get_their_lists_without_a_call_storm() {
    const BROKERS: usize = 350;
    let terms = TERMS[0];
    let mut all: Vec<ListValidity> =
        (0..BROKERS).map(|i| ListValidity::new(0, terms, false, 7 + i as u64)).collect();
    for validity in &mut all {
        validity.step(0);
        validity.answered(S);
        validity.step(S);
    }
    // All watches are silent now. Discovery serves one call every 15 ms and queues the calls of one second.
    let (mut queue, mut free_at, mut calls, mut done) = (Vec::new(), S, 0, vec![None; BROKERS]);
    let mut now = S;
    while now < 12 * S {
        for (i, validity) in all.iter_mut().enumerate().filter(|(i, _)| done[*i].is_none()) {
            if let Step::Call(_) = validity.step(now) {
                calls += 1;
                match free_at < now + S {
                    true => {
                        free_at = free_at.max(now) + 15 * MS;
                        queue.push((free_at, i));
                    }
                    false => validity.failed(now, Failure::Rejected),
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
