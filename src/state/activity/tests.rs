use super::*;

const S: Time = 1_000_000;

#[test]
fn the_first_command_and_the_idle_time_between_commands_are_limited() {
    let mut activity = Activity::new(10 * S);
    let silent = activity.deadline(10 * S, true, false).expect("a deadline");
    assert!((12 * S..13 * S).contains(&silent), "{silent}");
    // A first command that arrives byte by byte does not extend the timeout.
    for (at, before, after) in [(11 * S, 0, 1), (12 * S, 1, 2)] {
        activity.read(at, after, after.max(before), 0);
    }
    let dripping = activity.deadline(12 * S, true, false).expect("a deadline");
    assert!(dripping < 13 * S, "{dripping}");
    activity.read(12 * S, 3, 0, 1);
    assert_eq!(activity.deadline(12 * S, false, false), None, "no timeout while a request is open");
    activity.wrote(20 * S);
    assert!(activity.deadline(20 * S, true, false) >= Some(22 * S));
    // The next command begins just before the idle timeout and still gets its own timeout.
    activity.read(22 * S, 1, 1, 0);
    assert!(activity.deadline(22 * S, true, false) >= Some(24 * S));
}

#[test]
fn a_slow_reader_is_tolerated_only_up_to_the_unread_timeout() {
    let mut activity = Activity::new(0);
    // The first answer arrives long after the connection was accepted: the timeout starts when the answer is ready.
    assert_eq!(activity.deadline(60 * S, false, true), Some(60 * S + UNREAD_TIMEOUT));
    assert_eq!(activity.deadline(62 * S, false, true), Some(60 * S + UNREAD_TIMEOUT));
    activity.wrote(63 * S);
    assert_eq!(activity.deadline(63 * S, false, true), Some(63 * S + UNREAD_TIMEOUT));
    assert_eq!(activity.deadline(64 * S, false, false), None);
    assert_eq!(activity.deadline(99 * S, false, true), Some(99 * S + UNREAD_TIMEOUT));
}

/// Guards against closing a connection after the first command of a batch while the rest of the batch is still arriving.
#[test]
fn the_connection_waits_for_the_rest_of_a_batch() {
    let mut activity = Activity::new(0);
    assert_eq!(activity.batch_until(0), None, "nothing has been received");
    activity.read(1_000, 1, 0, 1);
    assert_eq!(
        activity.batch_until(1_000),
        Some(1_000 + REST_OF_BATCH),
        "the command may be the first of a batch"
    );
    activity.read(REST_OF_BATCH, 1, 0, 1);
    assert_eq!(
        activity.batch_until(REST_OF_BATCH),
        None,
        "a single command on a connection that is no longer new"
    );
    activity.read(S, 2, 0, 2);
    assert_eq!(activity.batch_until(S), Some(S + REST_OF_BATCH));
    assert_eq!(activity.batch_until(S + REST_OF_BATCH), None);
}
