use super::*;

const S: Time = 1_000_000;

fn guard_with_request(repeats: Repeats) -> Guard {
    let guard = Guard::default();
    guard.take(1, 10 * S);
    assert!(guard.admit(1, 10 * S, repeats, false));
    guard
}

fn begin(guard: &Guard, attempt: u32, now: Time) -> Result<(), Denied> {
    guard.begin((1, attempt), now, 10 * S, 10 * S)
}

#[test]
fn no_attempt_begins_for_a_request_that_is_over() {
    let guard = guard_with_request(Repeats::Harmless);
    assert_eq!(begin(&guard, 0, 10 * S), Err(Denied::Late));
    guard.settle(1);
    assert_eq!(begin(&guard, 0, S), Err(Denied::Over), "the answer is on its way to the session");
    guard.answer(1, S);
    assert_eq!(begin(&guard, 0, S), Err(Denied::Over));
    let guard = guard_with_request(Repeats::Harmless);
    guard.close(&[1], S, CloseReason::ClientGone);
    assert_eq!(begin(&guard, 0, S), Err(Denied::Over));
    assert!(
        !guard.admit(1, 10 * S, Repeats::Harmless, false),
        "the request reaches the planner after its client has disconnected"
    );
    assert_eq!((guard.violations().total(), guard.pending()), (0, 0));
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_if_that_is_harmless() {
    let guard = guard_with_request(Repeats::Harmful);
    assert_eq!(begin(&guard, 0, S), Ok(()));
    assert_eq!(begin(&guard, 1, S), Err(Denied::MayHaveRun));
    guard.ended((1, 0), Ending::Unreachable);
    assert_eq!(begin(&guard, 1, S), Ok(()), "the first attempt never ran");
    guard.ended((1, 1), Ending::Reset);
    assert_eq!(begin(&guard, 2, S), Err(Denied::MayHaveRun));
    let guard = guard_with_request(Repeats::Harmless);
    assert_eq!((begin(&guard, 0, S), begin(&guard, 1, S)), (Ok(()), Ok(())));
}

/// Guards against a violation that is never detected: the test breaks each rule once.
#[test]
fn every_broken_rule_is_counted() {
    let check = |violation, break_it: fn(&Guard)| {
        let guard = guard_with_request(Repeats::Harmless);
        break_it(&guard);
        assert_eq!((guard.violations().of(violation), guard.violations().total()), (1, 1), "{violation:?}");
        assert_eq!(guard.violations().to_string(), format!("1 {violation:?}=1"));
    };
    check(Violation::TakenTwice, |guard| guard.take(1, 10 * S));
    check(Violation::AnsweredTwice, |guard| (0..2).for_each(|_| guard.answer(1, S)));
    check(Violation::ClosedUnderRequest, |guard| guard.close(&[1], S, CloseReason::Idle));
    check(Violation::ToldTooMuch, |guard| {
        assert_eq!(guard.begin((1, 0), S, 10 * S, 10 * S + DEADLINE_SLACK), Ok(()));
        assert_eq!(guard.begin((1, 1), S, 10 * S, 10 * S + DEADLINE_SLACK + 1), Ok(()));
    });
    check(Violation::BegunAfterClose, |guard| {
        assert_eq!(begin(guard, 0, 2 * S), Ok(()));
        guard.close(&[1], 2 * S - AFTER_CLOSE - 1, CloseReason::ClientGone);
    });
    check(Violation::Unanswered, |guard| {
        guard.sweep(10 * S + LATE_ANSWER);
        (0..2).for_each(|_| guard.sweep(10 * S + LATE_ANSWER + 1));
        guard.answer(1, 20 * S);
    });
    check(Violation::Unanswered, |guard| guard.answer(1, 10 * S + LATE_ANSWER + 1));
}

#[test]
fn a_request_handled_in_time_breaks_no_rule_and_leaves_no_entry() {
    let guard = guard_with_request(Repeats::Harmless);
    assert_eq!(begin(&guard, 0, 9 * S), Ok(()));
    guard.retime(1, 20 * S);
    guard.sweep(15 * S);
    guard.answer(1, 20 * S + LATE_ANSWER);
    guard.take(2, 10 * S);
    assert_eq!(guard.begin((2, 0), S, 10 * S, 10 * S), Ok(()));
    guard.close(&[2], S - AFTER_CLOSE, CloseReason::ClientGone);
    assert!(guard.admit(3, 10 * S, Repeats::Harmful, true), "a request that the broker makes itself");
    guard.settle(3);
    guard.sweep(100 * S);
    assert_eq!((guard.violations().total(), guard.pending()), (0, 0));
    assert!(guard.0.borrow().lost_at.is_empty());
}
