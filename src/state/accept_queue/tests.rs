//! What a front knows of its accept queue.

use super::*;

/// Guards against requests whose time is counted from the accept though they waited for it.
#[test]
fn what_waits_counts_from_when_nothing_was_accepted_any_more() {
    let mut queue = AcceptQueue::of_own_socket();
    assert_eq!((queue.arrived(500), queue.press(500)), (500, Press::Usual));
    queue.waits(1_000);
    queue.waits(50_000);
    assert_eq!(queue.arrived(60_000), 1_000, "the first moment holds");
    assert_eq!(queue.press(1_000 + LONG_WAIT), Press::Usual);
    assert_eq!(queue.press(1_001 + LONG_WAIT), Press::High);
    assert_eq!(queue.press(1_001 + TOO_LONG_WAIT), Press::Urgent);
    queue.is_empty_now();
    assert_eq!(queue.arrived(200_000), 200_000);
}

/// Guards against the clock of this process being taken for that of a queue which is older than the process.
#[test]
fn a_shared_queue_is_unattended_until_it_was_seen_empty() {
    let mut queue = AcceptQueue::of_shared_socket(7_000);
    queue.waits(9_000);
    assert!(queue.is_unattended());
    assert_eq!(queue.arrived(9_000), 7_000);
    queue.is_empty_now();
    assert!(!queue.is_unattended());
    queue.taken_back(20_000);
    assert!(queue.is_unattended());
}
