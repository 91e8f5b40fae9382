//! Answers inside which a node pauses, on real sockets: which of them end before they are whole, and when.

mod common;

use common::net::*;
use common::paused_node::*;
use common::site::{site, Site};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// An answer whose first byte comes later than this after its time counts as lost; every time limit is 50 ms longer.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// Guards against a long value that is cut off while its node pauses across the end of its client's time.
#[test]
fn a_long_value_with_a_pause_across_its_clients_time_is_not_cut_off() {
    let (_seen, node) = paused_node();
    let site = site("pause-across", &node);
    let pause = Some(Duration::from_millis(800));
    let answering = Answering { length: 200_000, place: Place::AfterFirstPart, pause };
    let came = ask(&site.broker.listen, answering, "across", Duration::from_millis(500));
    assert_eq!(came.kind, Kind::Whole, "{came:?}");
}

/// Guards against a short answer that is cut off, and asked for again, at each pause of its node.
#[test]
fn a_short_answer_with_pauses_is_served_by_its_first_attempt() {
    let (seen, node) = paused_node();
    let site = site("short-pauses", &node);
    let answering = Answering { length: 30_000, place: Place::Even, pause: Some(Duration::from_millis(400)) };
    let came = ask(&site.broker.listen, answering, "short", Duration::from_millis(3_000));
    assert_eq!(came.kind, Kind::Whole, "{came:?}");
    assert_eq!(seen.lock().expect("what was seen").attempts["short"].len(), 1);
}

/// Guards against a value that is held back until it is whole, long past its client's time, since others stand behind it.
#[test]
fn a_long_value_before_other_answers_is_not_held_back_past_its_time() {
    let (_seen, node) = paused_node();
    let site = site("held-back", &node);
    let wait = Duration::from_millis(500);
    let pause = Some(Duration::from_millis(800));
    let long = Answering { length: 200_000, place: Place::AfterFirstPart, pause };
    let short = Answering { length: 5, place: Place::AfterHead, pause: Some(Duration::ZERO) };
    let mut client = connect(&site.broker.listen);
    let commands = [read_command(long, "long", wait), read_command(short, "short", wait)];
    client.write_all(commands.concat().as_bytes()).expect("asks");
    let sent = Instant::now();
    let first = receive(&mut client, sent, "long");
    assert!(first.first.expect("an answer") < wait + LOST_AFTER, "{first:?}");
    let second = receive(&mut client, sent, "short");
    assert_eq!(second.kind, Kind::Whole, "{second:?}");
    assert!(second.ended < wait + LOST_AFTER, "{second:?}");
}

/// How many answers of a sweep are under way at once.
const AT_ONCE: usize = 6;
/// The longest time that any limit in `src/state/reply_clock.rs` may be exceeded by on a busy machine.
const SLACK: Duration = Duration::from_millis(400);
/// How long a node may say nothing inside an answer: what is held back for so long counts as lost.
const NODE_SILENCE: Duration = Duration::from_secs(2);

/// The longest value that goes to its client only whole, in bytes.
const MAX_BUFFERED: usize = 64 * 1024;

/// Longer than any client waits.
const FOR_EVER: Duration = Duration::from_secs(3_600);

/// A read and how long its client waits.
#[derive(Debug, Clone, Copy)]
struct Case {
    answering: Answering,
    wait: Duration,
}

/// All cases of these sizes and pauses at all places. Clients wait for 0.5 s, so that pauses lie across their time, or 3.6 s.
fn cases(lengths: &[usize], pauses: &[Option<u64>], waits: &[u64]) -> Vec<Case> {
    let mut cases = Vec::new();
    for (length, place) in lengths.iter().flat_map(|length| PLACES.map(|place| (*length, place))) {
        for (pause, wait) in pauses.iter().flat_map(|pause| waits.iter().map(move |wait| (*pause, *wait))) {
            let pause = pause.map(Duration::from_millis);
            cases.push(Case {
                answering: Answering { length, place, pause },
                wait: Duration::from_millis(wait),
            });
        }
    }
    cases
}

/// Asks for all cases, a number of them at once, and gives how each answer came.
fn sweep(address: &str, cases: &[Case], at_once: usize) -> Vec<(String, Case, Came)> {
    let next = AtomicUsize::new(0);
    let worker = || {
        let take = || {
            let number = next.fetch_add(1, Relaxed);
            cases.get(number).map(|case| (number, *case))
        };
        let ask = |(number, case): (usize, Case)| {
            let id = format!("r{number}x");
            let came = ask(address, case.answering, &id, case.wait);
            (id, case, came)
        };
        std::iter::from_fn(take).map(ask).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..at_once).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a worker")).collect()
    })
}

/// How an answer is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Whole,
    /// The connection ends once the node has been silent for long enough.
    CutAfterSilence,
    /// An error or a refusal in its time.
    Line,
    /// It may come just in time, or not.
    WholeOrLine,
}

impl Case {
    /// How the answer is to end if its attempt came to the node `delay` after the request.
    fn expected(&self, delay: Duration) -> Expected {
        let Case { answering, wait } = *self;
        let wait = wait.saturating_sub(delay);
        let pause = answering.pause.unwrap_or(FOR_EVER);
        let is_silent = pause >= NODE_SILENCE;
        let is_long = answering.length > MAX_BUFFERED;
        let has_begun = answering.place != Place::InsideHead || pause + SLACK < wait;
        match is_long {
            true if answering.place == Place::BeforeFigures => Expected::Whole,
            true if answering.place == Place::InsideHead && is_silent => Expected::Line,
            true if is_silent => Expected::CutAfterSilence,
            true if has_begun => Expected::Whole,
            true if pause > wait => Expected::Line,
            false if is_silent || answering.lasts() > wait => Expected::Line,
            false if answering.lasts() + SLACK < wait => Expected::Whole,
            _ => Expected::WholeOrLine,
        }
    }

    /// What is wrong with how the answer came, whose first attempt came to the node `delay` after the request.
    fn fault(&self, came: &Came, delay: Duration) -> Option<String> {
        let in_time = came.first.is_some_and(|first| first < self.wait + LOST_AFTER);
        let silence = delay + NODE_SILENCE..delay + NODE_SILENCE + SLACK;
        let expected = self.expected(delay);
        let holds = match (expected, &came.kind) {
            (Expected::Whole, Kind::Whole) | (Expected::WholeOrLine, Kind::Whole) => true,
            (Expected::Line | Expected::WholeOrLine, Kind::Line(_)) => true,
            (Expected::CutAfterSilence, Kind::Cut) => silence.contains(&came.ended),
            _ => false,
        };
        (!holds || !in_time).then(|| format!("{self:?}, expected {expected:?} after {delay:?}: {came:?}"))
    }
}

/// Plays all cases before a broker and a node of their own, and gives what is wrong.
fn faults(name: &str, cases: &[Case]) -> Vec<String> {
    let (seen, node) = paused_node();
    let site = site(name, &node);
    let came = sweep(&site.broker.listen, cases, AT_ONCE);
    let mut faults = Vec::new();
    if site.broker.log().contains("rule broken") {
        faults.push(site.broker.log());
    }
    let (attempts, mut unsent) = (&seen.lock().expect("what was seen").attempts, 0);
    for (id, case, came) in &came {
        match attempts.get(id).and_then(|attempts| attempts.first()) {
            Some(attempt) => faults.extend(case.fault(came, attempt.saturating_duration_since(came.sent))),
            // The node is busy with the other cases.
            None if matches!(&came.kind, Kind::Line(line) if line.starts_with("-BUSY")) => unsent += 1,
            None => faults.push(format!("{case:?}, never sent: {came:?}")),
        }
    }
    println!("{name}: {} cases, {unsent} refused unsent", cases.len());
    if unsent > cases.len() / 2 {
        faults.push(format!("{unsent} of {} refused unsent", cases.len()));
    }
    faults
}

/// Guards against any limit that takes a pause of a node for its end.
#[test]
fn answers_with_pauses_end_only_by_their_nodes_silence_or_their_clients_time() {
    let waits = [500, 3_600];
    let (pausing, silent) = ([Some(0), Some(350), Some(800), Some(1_500)], [Some(2_500), None]);
    let lengths = [1, 5_000, MAX_BUFFERED, MAX_BUFFERED + 1, 200_000, 4 << 20];
    // A node that falls silent again and again is sent little: the others have nodes of their own.
    let sweeps: Vec<_> = lengths
        .into_iter()
        .flat_map(|length| {
            let silent = (format!("silent-{length}"), cases(&[length], &silent, &waits));
            [(format!("pausing-{length}"), cases(&[length], &pausing, &waits)), silent]
        })
        .map(|(name, cases)| thread::spawn(move || faults(&name, &cases)))
        .collect();
    let found: Vec<String> = sweeps.into_iter().flat_map(|sweep| sweep.join().expect("a sweep")).collect();
    assert!(found.is_empty(), "{} faults:\n{}", found.len(), found.join("\n"));
}

/// Reads with pauses that are under way while something happens to their broker or their node.
const UNDER_WAY: [Answering; 4] = [
    Answering { length: 200_000, place: Place::AfterFirstPart, pause: Some(Duration::from_millis(900)) },
    Answering { length: 300_000, place: Place::AfterHead, pause: Some(Duration::from_millis(1_500)) },
    Answering { length: 5_000, place: Place::Even, pause: Some(Duration::from_millis(400)) },
    Answering { length: 1, place: Place::AfterHead, pause: Some(Duration::from_millis(1_200)) },
];

/// Begins the reads, lets something happen 0.2 s later, and gives what did not come whole from its first attempt.
fn under_way_while(name: &str, happens: impl FnOnce(&mut Site)) {
    let (seen, node) = paused_node();
    let mut site = site(name, &node);
    let address = site.broker.listen.clone();
    let reads: Vec<_> = (0..2 * UNDER_WAY.len())
        .map(|number| {
            let (answering, address) = (UNDER_WAY[number % UNDER_WAY.len()], address.clone());
            let wait = Duration::from_millis(if answering.length > MAX_BUFFERED { 500 } else { 3_000 });
            thread::spawn(move || (answering, ask(&address, answering, &format!("r{number}x"), wait)))
        })
        .collect();
    until("all reads are out", || seen.lock().expect("what was seen").attempts.len() == reads.len());
    thread::sleep(Duration::from_millis(200));
    happens(&mut site);
    for read in reads {
        let (answering, came) = read.join().expect("a client");
        assert_eq!(came.kind, Kind::Whole, "{name}: {answering:?} {came:?}");
    }
    let seen = seen.lock().expect("what was seen");
    assert!(seen.attempts.values().all(|attempts| attempts.len() == 1), "{name}: {seen:?}");
    assert!(!site.broker.log().contains("rule broken"), "{}", site.broker.log());
}

/// Sends an operator's call.
fn call(site: &Site, text: &str) {
    let mut caller = connect(&site.admin);
    caller.write_all(format!("{text}\n").as_bytes()).expect("calls");
    assert!(line(&mut caller).expect("an answer").starts_with("200"));
}

/// Guards against answers that end with whatever their node is told to be.
#[test]
fn answers_with_pauses_outlive_a_change_of_their_node() {
    thread::scope(|scope| {
        scope.spawn(|| under_way_while("draining", |site| site.list_node("draining")));
        scope.spawn(|| under_way_while("gone", |site| site.drop_node()));
        scope.spawn(|| under_way_while("offline", |site| call(site, "OFFLINE s-00000001")));
    });
}

/// Guards against answers that end with a signal or a call to their broker, before it may be killed.
#[test]
fn answers_with_pauses_outlive_a_reload_a_call_and_a_stop() {
    thread::scope(|scope| {
        scope.spawn(|| under_way_while("reload", |site| site.broker.signal("-HUP")));
        scope.spawn(|| under_way_while("leave", |site| call(site, "LEAVE")));
        scope.spawn(|| under_way_while("stop", |site| site.broker.signal("-TERM")));
        let series = |site: &mut Site| {
            ["-HUP", "-TERM", "-INT", "-HUP"].iter().for_each(|signal| site.broker.signal(signal))
        };
        scope.spawn(move || under_way_while("series", series));
    });
}

/// Guards against answers that end for the sake of connections that say nothing.
#[test]
fn answers_with_pauses_outlive_a_crowd() {
    under_way_while("crowd", |site| {
        let crowd: Vec<_> = (0..300).map(|_| TcpStream::connect(&site.broker.listen)).collect();
        thread::sleep(Duration::from_millis(1_500));
        drop(crowd);
    });
}
