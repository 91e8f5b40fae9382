use super::*;

const S: Time = 1_000_000;

fn walk(moves: &[(Time, Transition)]) -> Phase {
    let step = |phase: Phase, (at, what): &(Time, Transition)| phase.after(*what, *at).unwrap_or(phase);
    moves.iter().fold(Phase::default(), step)
}

/// Guards against a repeated call that prolongs the drain, and against a stopping broker that returns to service.
#[test]
fn calls_may_come_in_any_order_and_more_than_once() {
    let started = (0, Transition::Started);
    assert_eq!(walk(&[started, (S, Transition::Leave), (3 * S, Transition::Leave)]), Phase::Leaving(S));
    assert_eq!(walk(&[started, (S, Transition::Join)]), Phase::Serving, "without a drain before");
    assert_eq!(walk(&[started, (S, Transition::Leave), (2 * S, Transition::Join)]), Phase::Serving);
    let again = [started, (S, Transition::Leave), (2 * S, Transition::Join), (5 * S, Transition::Leave)];
    assert_eq!(walk(&again), Phase::Leaving(5 * S));
    assert_eq!(
        walk(&[started, (S, Transition::Leave), (2 * S, Transition::Stop(3 * S))]),
        Phase::HandingOver(2 * S, 3 * S)
    );
    let yields = [started, (S, Transition::Yield(true)), (2 * S, Transition::Yield(false))];
    assert_eq!(
        (walk(&yields[..2]), walk(&yields)),
        (Phase::Yielding, Phase::Serving),
        "the new process has died"
    );
    let stopped = [
        yields[0],
        yields[1],
        (S, Transition::Stop(3 * S)),
        (2 * S, Transition::Leave),
        (3 * S, Transition::Started),
    ];
    assert_eq!(walk(&stopped), Phase::HandingOver(S, 3 * S));
    assert_eq!(Phase::Stopping(0, S).after(Transition::Join, S), Err(TransitionError::Stopping));
    assert_eq!(
        walk(&[started, (S, Transition::Stop(3 * S)), (2 * S, Transition::Close)]),
        Phase::Closing(S, 3 * S)
    );
    assert_eq!(walk(&[started, (2 * S, Transition::Close)]), Phase::Serving, "no stop signal has come");
}

#[test]
fn the_phase_determines_ping_health_and_accepting() {
    assert!(
        Phase::HandingOver(0, 1).accepts_as_only_listener()
            && !Phase::Closing(0, 1).accepts_as_only_listener()
    );
    let reported = |p: Phase| (p.answers_ping(), p.is_healthy(), p.accepts_connections());
    assert_eq!(reported(Phase::Starting), (false, false, true));
    assert_eq!(reported(Phase::Serving), (true, true, true));
    assert_eq!(reported(Phase::Leaving(S)), (false, false, true), "load balancers learn of the drain late");
    assert_eq!(reported(Phase::Stopping(0, S)), (true, false, true));
    assert_eq!(
        reported(Phase::HandingOver(S, 3 * S)),
        (false, false, false),
        "the next process accepts them"
    );
    assert_eq!(reported(Phase::Yielding), (true, true, false));
}

/// Guards against a connection that is still open, idle or with a late request, four seconds after the drain call.
#[test]
fn a_draining_broker_closes_connections_after_an_answer_or_a_short_time() {
    assert_eq!(Phase::Serving.closes_at(0, true), None);
    let leaving = Phase::Leaving(10 * S);
    assert_eq!(leaving.closes_at(12 * S, true), Some(12 * S), "directly after its answer");
    assert_eq!(
        leaving.closes_at(2 * S, true),
        Some(10 * S + DRAIN_IDLE),
        "the connection was idle before the drain"
    );
    assert_eq!(
        leaving.closes_at(10 * S + 100_000, false),
        Some(10 * S + 100_000 + DRAIN_IDLE),
        "the connection has just been opened"
    );
    assert_eq!(leaving.closes_at(11 * S + 500_000, false), Some(10 * S + DRAIN_READ));
    assert_eq!(
        leaving.closes_at(13 * S, false),
        Some(13 * S + NEW_CONNECTION_GRACE),
        "the connection was opened long after the drain call"
    );
    assert_eq!(
        (leaving.answer_deadline(11 * S), leaving.answer_deadline(13 * S)),
        (None, Some(13 * S)),
        "refused immediately"
    );
    assert!(leaving.reads_idle_connections(13 * S), "bytes are read before the connection is closed");
    assert!(
        leaving.stops_reading_at() < Some(12 * S),
        "requests that are read have two seconds to be answered"
    );
    // Requests that are read are answered before the process may be ended, even with the shortest grace period.
    for grace in [1_900_000, 3_700_000] {
        let handing = Phase::HandingOver(10 * S, grace);
        for ending in [handing, Phase::Closing(10 * S, grace)] {
            assert!(ending.stops_reading_at() <= ending.last_answer_at(), "{grace}");
            assert!(ending.last_answer_at() < Some(10 * S + grace), "{grace}");
        }
        assert_eq!(Phase::Stopping(10 * S, grace).last_answer_at(), handing.last_answer_at());
        assert_eq!(handing.answer_deadline(10 * S), handing.last_answer_at());
        assert_eq!(handing.closes_at(9 * S, true), Some(10 * S + HANDOVER_IDLE.min(last_read(grace))));
    }
}
