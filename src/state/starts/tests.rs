//! Tests of start times with a wall clock that is right, wrong at the start of the process, or stepped.

use super::*;

const S: Time = 1_000_000;
const HOUR: Time = 3_600 * S;
/// When the process started, by its own clock.
const PROCESS_START: Time = 100 * HOUR;

fn list(starts: &mut StartTimes, now: Time, step: Time, reported: &[(NodeId, Time)]) -> Vec<Option<Time>> {
    starts.begin_list(step);
    let adopted = reported.iter().map(|(node, at)| starts.adopt(now, *node, Some(*at))).collect();
    starts.end_list(now);
    adopted
}

#[test]
fn a_right_wall_clock_is_trusted() {
    let mut starts = StartTimes::new(PROCESS_START);
    let reported = [(1, PROCESS_START - 30 * S), (2, PROCESS_START - 2 * S)];
    assert_eq!(
        list(&mut starts, PROCESS_START, 0, &reported),
        [Some(PROCESS_START - 30 * S), Some(PROCESS_START - 2 * S)]
    );
    assert_eq!(
        list(&mut starts, PROCESS_START + 10 * S, 0, &[(2, PROCESS_START + 9 * S)]),
        [Some(PROCESS_START + 9 * S)]
    );
    assert_eq!(starts.adopt(PROCESS_START + 10 * S, 1, None), None);
    // The same start reported again, with a small correction of the clock, changes nothing.
    assert_eq!(
        list(&mut starts, PROCESS_START + 20 * S, S / 2, &[(2, PROCESS_START + 9 * S)]),
        [Some(PROCESS_START + 9 * S)]
    );
}

/// Guards against cold nodes that are treated as warm: a node that starts between two lists is young, however wrong the
/// wall clock of this machine was when the process started.
#[test]
fn a_start_between_two_lists_lies_between_them() {
    for off in [-HOUR, HOUR] {
        let mut starts = StartTimes::new(PROCESS_START);
        list(&mut starts, PROCESS_START, 0, &[(1, PROCESS_START - 2 * HOUR)]);
        let now = PROCESS_START + 10 * S;
        let reported = now - S + off;
        let adopted = list(&mut starts, now, 0, &[(7, reported)])[0].expect("it has started");
        assert!((PROCESS_START..=now).contains(&adopted), "{off}: {}", now - adopted);
    }
}

/// Guards against nodes that stay cold for an hour because the wall clock of this machine was an hour behind.
#[test]
fn a_wall_clock_that_was_behind_puts_no_start_in_the_future() {
    let mut starts = StartTimes::new(PROCESS_START);
    let reported = [(1, PROCESS_START + HOUR - 30 * S), (2, PROCESS_START + HOUR - 2 * S)];
    let adopted = list(&mut starts, PROCESS_START, 0, &reported);
    assert_eq!(adopted, [Some(PROCESS_START); 2], "the nodes count as just started");
    // The clock is corrected, which shows how old the nodes were.
    let again = list(&mut starts, PROCESS_START + 5 * S, HOUR, &reported);
    assert_eq!(again, [Some(PROCESS_START - 30 * S), Some(PROCESS_START - 2 * S)]);
    // A clock that was right is stepped ahead, which makes no node older.
    let mut starts = StartTimes::new(PROCESS_START);
    let reported = [(1, PROCESS_START - 2 * S)];
    list(&mut starts, PROCESS_START, 0, &reported);
    assert_eq!(list(&mut starts, PROCESS_START + 5 * S, HOUR, &reported), [Some(PROCESS_START - 2 * S)]);
}

#[test]
fn a_wall_clock_that_was_ahead_is_detected_when_it_is_corrected() {
    let mut starts = StartTimes::new(PROCESS_START);
    // The clock was an hour ahead: a node that started two seconds ago is reported with a time an hour earlier.
    let reported = [(1, PROCESS_START - HOUR - 2 * S), (2, PROCESS_START - 9 * HOUR)];
    list(&mut starts, PROCESS_START, 0, &reported);
    let again = list(&mut starts, PROCESS_START + 3 * S, -HOUR, &reported);
    assert_eq!(again, [Some(PROCESS_START - 2 * S), Some(PROCESS_START - 8 * HOUR)]);
    // Another step moves no start past the start of the process.
    let again = list(&mut starts, PROCESS_START + 4 * S, -3 * HOUR, &reported);
    assert_eq!(again[0], Some(PROCESS_START));
}

#[test]
fn nodes_missing_from_all_lists_are_removed() {
    let mut starts = StartTimes::new(PROCESS_START);
    for i in 0..50_000 {
        list(&mut starts, PROCESS_START + i * S, 0, &[(i as NodeId, PROCESS_START + i * S - 1)]);
    }
    assert!(starts.starts.len() <= 2 * (RETENTION / S) as usize);
}
