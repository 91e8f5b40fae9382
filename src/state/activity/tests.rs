use super::*;

const S: Time = 1_000_000;

#[test]
fn a_client_has_so_long_for_its_first_command_and_between_commands() {
    let mut activity = Activity::new(10 * S);
    let silent = activity.deadline(10 * S, true, false).expect("a deadline");
    assert!((12 * S..13 * S).contains(&silent), "{silent}");
    // It drips its first command: the time is not drawn out.
    for (at, before, after) in [(11 * S, 0, 1), (12 * S, 1, 2)] {
        activity.read(at, after, after.max(before), 0);
    }
    let dripping = activity.deadline(12 * S, true, false).expect("a deadline");
    assert!(dripping < 13 * S, "{dripping}");
    activity.read(12 * S, 3, 0, 1);
    assert_eq!(activity.deadline(12 * S, false, false), None, "never while a request is open");
    activity.wrote(20 * S);
    assert!(activity.deadline(20 * S, true, false) >= Some(22 * S));
    // The next command begins late and is waited for.
    activity.read(22 * S, 1, 1, 0);
    assert!(activity.deadline(22 * S, true, false) >= Some(24 * S));
}

#[test]
fn answers_may_wait_for_a_client_that_reads_them_slowly_but_not_for_good() {
    let mut activity = Activity::new(0);
    // The first answer comes long after the last write: its own time begins when it is there.
    assert_eq!(activity.deadline(60 * S, false, true), Some(60 * S + UNREAD));
    assert_eq!(activity.deadline(62 * S, false, true), Some(60 * S + UNREAD));
    activity.wrote(63 * S);
    assert_eq!(activity.deadline(63 * S, false, true), Some(63 * S + UNREAD));
    assert_eq!(activity.deadline(64 * S, false, false), None);
    assert_eq!(activity.deadline(99 * S, false, true), Some(99 * S + UNREAD));
}

/// Guards against an end behind the first of several commands that were sent at once, while the rest is on its way.
#[test]
fn the_rest_of_commands_sent_at_once_is_waited_for() {
    let mut activity = Activity::new(0);
    assert_eq!(activity.batch_until(0), None, "nothing has come");
    activity.read(1_000, 1, 0, 1);
    assert_eq!(activity.batch_until(1_000), Some(1_000 + REST_OF_BATCH), "it may be the first of several");
    activity.read(REST_OF_BATCH, 1, 0, 1);
    assert_eq!(
        activity.batch_until(REST_OF_BATCH),
        None,
        "one at a time, on one that has been there for a while"
    );
    activity.read(S, 2, 0, 2);
    assert_eq!(activity.batch_until(S), Some(S + REST_OF_BATCH));
    assert_eq!(activity.batch_until(S + REST_OF_BATCH), None);
}
