use super::*;

const S: Time = 1_000_000;

#[test]
fn a_client_has_so_long_for_its_first_command_and_between_commands() {
    let mut pace = Pace::new(10 * S);
    let silent = pace.deadline(10 * S, true, false).expect("a deadline");
    assert!((12 * S..13 * S).contains(&silent), "{silent}");
    // It drips its first command: the time is not drawn out.
    for (at, before, after) in [(11 * S, 0, 1), (12 * S, 1, 2)] {
        pace.read(at, after, after.max(before), 0);
    }
    let dripping = pace.deadline(12 * S, true, false).expect("a deadline");
    assert!(dripping < 13 * S, "{dripping}");
    pace.read(12 * S, 3, 0, 1);
    assert_eq!(pace.deadline(12 * S, false, false), None, "never while a request is open");
    pace.wrote(20 * S);
    assert!(pace.deadline(20 * S, true, false) >= Some(22 * S));
    // The next command begins late and is waited for.
    pace.read(22 * S, 1, 1, 0);
    assert!(pace.deadline(22 * S, true, false) >= Some(24 * S));
}

#[test]
fn answers_may_wait_for_a_client_that_reads_them_slowly_but_not_for_good() {
    let mut pace = Pace::new(0);
    // The first answer comes long after the last write: its own time begins when it is there.
    assert_eq!(pace.deadline(60 * S, false, true), Some(60 * S + UNREAD));
    assert_eq!(pace.deadline(62 * S, false, true), Some(60 * S + UNREAD));
    pace.wrote(63 * S);
    assert_eq!(pace.deadline(63 * S, false, true), Some(63 * S + UNREAD));
    assert_eq!(pace.deadline(64 * S, false, false), None);
    assert_eq!(pace.deadline(99 * S, false, true), Some(99 * S + UNREAD));
}
