//! Starts under a wall clock that is right, off at the start, or stepped.

use super::*;

const S: Time = 1_000_000;
const HOUR: Time = 3_600 * S;
/// When the process began, by its own clock.
const BEGAN: Time = 100 * HOUR;

fn list(starts: &mut StartTimes, now: Time, step: Time, told: &[(NodeId, Time)]) -> Vec<Option<Time>> {
    starts.begin_list(step);
    let adopted = told.iter().map(|(node, at)| starts.adopt(now, *node, Some(*at))).collect();
    starts.end_list(now);
    adopted
}

#[test]
fn a_clock_that_is_right_is_believed() {
    let mut starts = StartTimes::new(BEGAN);
    let told = [(1, BEGAN - 30 * S), (2, BEGAN - 2 * S)];
    assert_eq!(list(&mut starts, BEGAN, 0, &told), [Some(BEGAN - 30 * S), Some(BEGAN - 2 * S)]);
    assert_eq!(list(&mut starts, BEGAN + 10 * S, 0, &[(2, BEGAN + 9 * S)]), [Some(BEGAN + 9 * S)]);
    assert_eq!(starts.adopt(BEGAN + 10 * S, 1, None), None);
    // The same start again, and a small correction of the clock, change nothing.
    assert_eq!(list(&mut starts, BEGAN + 20 * S, S / 2, &[(2, BEGAN + 9 * S)]), [Some(BEGAN + 9 * S)]);
}

/// Guards against cold nodes that are taken for warm ones: a node that starts while lists are taken is young, whatever
/// the clock of this machine was when the process began.
#[test]
fn a_start_between_two_lists_lies_between_them() {
    for off in [-HOUR, HOUR] {
        let mut starts = StartTimes::new(BEGAN);
        list(&mut starts, BEGAN, 0, &[(1, BEGAN - 2 * HOUR)]);
        let now = BEGAN + 10 * S;
        let told = now - S + off;
        let adopted = list(&mut starts, now, 0, &[(7, told)])[0].expect("it has started");
        assert!((BEGAN..=now).contains(&adopted), "{off}: {}", now - adopted);
    }
}

/// Guards against nodes that stay cold for an hour because this machine's clock was an hour behind.
#[test]
fn a_clock_that_was_behind_makes_nobody_start_in_the_future() {
    let mut starts = StartTimes::new(BEGAN);
    let told = [(1, BEGAN + HOUR - 30 * S), (2, BEGAN + HOUR - 2 * S)];
    let adopted = list(&mut starts, BEGAN, 0, &told);
    assert_eq!(adopted, [Some(BEGAN); 2], "they count as just started");
    // The clock is put right: how old they were is known.
    let again = list(&mut starts, BEGAN + 5 * S, HOUR, &told);
    assert_eq!(again, [Some(BEGAN - 30 * S), Some(BEGAN - 2 * S)]);
    // One that was right is stepped ahead: nobody gets older by that.
    let mut starts = StartTimes::new(BEGAN);
    let told = [(1, BEGAN - 2 * S)];
    list(&mut starts, BEGAN, 0, &told);
    assert_eq!(list(&mut starts, BEGAN + 5 * S, HOUR, &told), [Some(BEGAN - 2 * S)]);
}

#[test]
fn a_clock_that_was_ahead_is_seen_when_it_is_put_right() {
    let mut starts = StartTimes::new(BEGAN);
    // It was an hour ahead: a node that started two seconds ago is told with an earlier time.
    let told = [(1, BEGAN - HOUR - 2 * S), (2, BEGAN - 9 * HOUR)];
    list(&mut starts, BEGAN, 0, &told);
    let again = list(&mut starts, BEGAN + 3 * S, -HOUR, &told);
    assert_eq!(again, [Some(BEGAN - 2 * S), Some(BEGAN - 8 * HOUR)]);
    // Stepped once more, it moves nothing later than the process.
    let again = list(&mut starts, BEGAN + 4 * S, -3 * HOUR, &told);
    assert_eq!(again[0], Some(BEGAN));
}

#[test]
fn what_no_list_names_is_forgotten() {
    let mut starts = StartTimes::new(BEGAN);
    for i in 0..50_000 {
        list(&mut starts, BEGAN + i * S, 0, &[(i as NodeId, BEGAN + i * S - 1)]);
    }
    assert!(starts.known.len() <= 2 * (MEMORY / S) as usize);
}
