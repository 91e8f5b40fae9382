use super::*;

const S: Time = 1_000_000;

fn walk(moves: &[(Time, Move)]) -> Phase {
    let step = |phase: Phase, (at, what): &(Time, Move)| phase.after(*what, *at).unwrap_or(phase);
    moves.iter().fold(Phase::default(), step)
}

/// Guards against a repeated call that draws the drain out, and a way back from stopping.
#[test]
fn calls_may_come_in_any_order_and_more_than_once() {
    let started = (0, Move::Started);
    assert_eq!(walk(&[started, (S, Move::Leave), (3 * S, Move::Leave)]), Phase::Leaving(S));
    assert_eq!(walk(&[started, (S, Move::Join)]), Phase::Serving, "without a drain before");
    assert_eq!(walk(&[started, (S, Move::Leave), (2 * S, Move::Join)]), Phase::Serving);
    let again = [started, (S, Move::Leave), (2 * S, Move::Join), (5 * S, Move::Leave)];
    assert_eq!(walk(&again), Phase::Leaving(5 * S));
    assert_eq!(
        walk(&[started, (S, Move::Leave), (2 * S, Move::Stop(3 * S))]),
        Phase::HandingOver(2 * S, 3 * S)
    );
    let yields = [started, (S, Move::Yield(true)), (2 * S, Move::Yield(false))];
    assert_eq!((walk(&yields[..2]), walk(&yields)), (Phase::Yielding, Phase::Serving), "the new one died");
    let stopped =
        [yields[0], yields[1], (S, Move::Stop(3 * S)), (2 * S, Move::Leave), (3 * S, Move::Started)];
    assert_eq!(walk(&stopped), Phase::HandingOver(S, 3 * S));
    assert_eq!(Phase::Stopping(0, S).after(Move::Join, S), Err(NotNow::Stopping));
    assert_eq!(walk(&[started, (S, Move::Stop(3 * S)), (2 * S, Move::Close)]), Phase::Closing(S, 3 * S));
    assert_eq!(walk(&[started, (2 * S, Move::Close)]), Phase::Serving, "it was not told to stop");
}

#[test]
fn what_it_says_and_takes_follows_from_the_phase() {
    assert!(Phase::HandingOver(0, 1).accepts_alone() && !Phase::Closing(0, 1).accepts_alone());
    let told = |p: Phase| (p.welcomes(), p.serves(), p.accepts());
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
        (leaving.answers_by(11 * S), leaving.answers_by(13 * S)),
        (None, Some(13 * S)),
        "refused at once"
    );
    assert!(leaving.reads_between(13 * S), "and never closed unread");
    assert!(leaving.deaf_at() < Some(12 * S), "what is read has two seconds to be answered");
    // What is read has its answer before the process may be ended, however short its time is.
    for grace in [1_900_000, 3_700_000] {
        let handing = Phase::HandingOver(10 * S, grace);
        for ending in [handing, Phase::Closing(10 * S, grace)] {
            assert!(ending.deaf_at() <= ending.ends_at(), "{grace}");
            assert!(ending.ends_at() < Some(10 * S + grace), "{grace}");
        }
        assert_eq!(Phase::Stopping(10 * S, grace).ends_at(), handing.ends_at());
        assert_eq!(handing.answers_by(10 * S), handing.ends_at());
        assert_eq!(handing.closes_at(9 * S, true), Some(10 * S + QUIET_HANDING.min(last_read(grace))));
    }
}
