use super::*;

const S: Time = 1_000_000;

fn walk(moves: &[(Time, Transition)]) -> Phase {
    let step = |phase: Phase, (at, what): &(Time, Transition)| phase.after(*what, *at).unwrap_or(phase);
    moves.iter().fold(Phase::default(), step)
}

/// Guards against a repeated call that draws the drain out, and a way back from stopping.
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
    assert_eq!((walk(&yields[..2]), walk(&yields)), (Phase::Yielding, Phase::Serving), "the new one died");
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
    assert_eq!(walk(&[started, (2 * S, Transition::Close)]), Phase::Serving, "it was not told to stop");
}

#[test]
fn what_it_says_and_takes_follows_from_the_phase() {
    assert!(
        Phase::HandingOver(0, 1).accepts_as_only_listener()
            && !Phase::Closing(0, 1).accepts_as_only_listener()
    );
    let told = |p: Phase| (p.answers_ping(), p.is_healthy(), p.accepts_connections());
    assert_eq!(told(Phase::Starting), (false, false, true));
    assert_eq!(told(Phase::Serving), (true, true, true));
    assert_eq!(told(Phase::Leaving(S)), (false, false, true), "fronts learn of it late");
    assert_eq!(told(Phase::Stopping(0, S)), (true, false, true));
    assert_eq!(told(Phase::HandingOver(S, 3 * S)), (false, false, false), "the next process takes them");
    assert_eq!(told(Phase::Yielding), (true, true, false));
}

/// Guards against a connection that is held on, idle or with a late request, four seconds after the call.
#[test]
fn a_connection_closes_after_an_answer_and_none_stays_long() {
    assert_eq!(Phase::Serving.closes_at(0, true), None);
    let leaving = Phase::Leaving(10 * S);
    assert_eq!(leaving.closes_at(12 * S, true), Some(12 * S), "right after its answer");
    assert_eq!(leaving.closes_at(2 * S, true), Some(10 * S + QUIET), "it was idle before");
    assert_eq!(leaving.closes_at(10 * S + 100_000, false), Some(10 * S + 100_000 + QUIET), "just come");
    assert_eq!(leaving.closes_at(11 * S + 500_000, false), Some(10 * S + LATEST));
    assert_eq!(leaving.closes_at(13 * S, false), Some(13 * S + FRESH), "it comes all the same");
    assert_eq!(
        (leaving.answer_deadline(11 * S), leaving.answer_deadline(13 * S)),
        (None, Some(13 * S)),
        "refused at once"
    );
    assert!(leaving.reads_idle_connections(13 * S), "and never closed unread");
    assert!(leaving.stops_reading_at() < Some(12 * S), "what is read has two seconds to be answered");
    // What is read has its answer before the process may be ended, however short its time is.
    for grace in [1_900_000, 3_700_000] {
        let handing = Phase::HandingOver(10 * S, grace);
        for ending in [handing, Phase::Closing(10 * S, grace)] {
            assert!(ending.stops_reading_at() <= ending.last_answer_at(), "{grace}");
            assert!(ending.last_answer_at() < Some(10 * S + grace), "{grace}");
        }
        assert_eq!(Phase::Stopping(10 * S, grace).last_answer_at(), handing.last_answer_at());
        assert_eq!(handing.answer_deadline(10 * S), handing.last_answer_at());
        assert_eq!(handing.closes_at(9 * S, true), Some(10 * S + QUIET_HANDING.min(last_read(grace))));
    }
}
