//! Tests of the estimated wait in the accept queue.

use super::*;

/// Guards against requests whose time is counted from the accept although they waited in the queue before it.
#[test]
fn waiting_connections_count_from_the_moment_when_accepting_stopped() {
    let mut queue = AcceptQueue::of_own_socket();
    assert_eq!((queue.earliest_arrival(500), queue.pressure(500)), (500, AcceptPressure::Normal));
    queue.mark_waiting(1_000);
    queue.mark_waiting(50_000);
    assert_eq!(queue.earliest_arrival(60_000), 1_000, "the earlier of two marks holds");
    assert_eq!(queue.pressure(1_000 + LONG_WAIT), AcceptPressure::Normal);
    assert_eq!(queue.pressure(1_001 + LONG_WAIT), AcceptPressure::High);
    assert_eq!(queue.pressure(1_001 + CRITICAL_WAIT), AcceptPressure::Urgent);
    queue.mark_empty();
    assert_eq!(queue.earliest_arrival(200_000), 200_000);
}

/// Guards against counting the wait from the start of this process when the queue is older than the process.
#[test]
fn a_shared_queue_is_unattended_until_it_was_seen_empty() {
    let mut queue = AcceptQueue::of_shared_socket(7_000);
    queue.mark_waiting(9_000);
    assert!(queue.is_unattended());
    assert_eq!(queue.earliest_arrival(9_000), 7_000);
    queue.mark_empty();
    assert!(!queue.is_unattended());
    queue.resume(20_000);
    assert!(queue.is_unattended());
}
