//! Deltas between views: what they lead to, what does not follow, how many are kept, and snapshots page by page.

use claywinch::state::membership::delta::{Delta, Deltas, Mismatch};
use claywinch::state::membership::snapshot::{Fetch, Page, Served, MOST_PAGES, PAGE, WINDOW};
use claywinch::state::membership::{Member, Seat, View};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::sync::Arc;

fn member(i: u64, incarnation: u64) -> Member {
    Member {
        name: format!("b{i:03}"),
        address: format!("127.0.0.1:{i}"),
        incarnation,
        life: i * 7 + incarnation,
    }
}

fn view(number: u64, members: impl IntoIterator<Item = Member>, drains: &[u8]) -> View {
    let drains = drains.iter().map(|n| format!("n{n}")).collect();
    let mut members: Vec<Member> = members.into_iter().collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    View { number, origin: 9, members, drains, ..View::default() }
}

/// A view of so many, and deltas that each take a node out after it.
fn chain(members: u64, length: u64) -> (Vec<View>, Vec<Arc<Delta>>) {
    let mut views = vec![view(1, (0..members).map(|i| member(i, 1)), &[])];
    let mut deltas = Vec::new();
    for i in 0..length {
        let mut next = views[views.len() - 1].next(&BTreeSet::new(), []);
        next.drains.insert(format!("node-{i}"));
        deltas.push(Arc::new(Delta::between(&views[views.len() - 1], &next)));
        views.push(next);
    }
    (views, deltas)
}

proptest! {
    /// Guards against a delta that loses or invents something.
    #[test]
    fn a_delta_leads_from_any_view_to_any_next(
        old in proptest::collection::btree_map(0u64..40, 1u64..4, 0..30),
        new in proptest::collection::btree_map(0u64..40, 1u64..6, 0..30),
        out in proptest::collection::vec(any::<u8>(), 0..10),
        then in proptest::collection::vec(any::<u8>(), 0..10),
        moved in any::<bool>(),
    ) {
        let old = view(5, old.into_iter().map(|(i, n)| member(i, n)), &out);
        let mut new = view(6, new.into_iter().map(|(i, n)| member(i, n)), &then);
        if moved {
            new.seats.push(Seat { id: 1, name: "b000".into(), address: "a".into(), life: 1 });
        }
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(old.follow(&delta), Ok(new.clone()));
        prop_assert_eq!(new.follow(&delta), Err(Mismatch));
        // Whatever is spoiled in it, it does not lead elsewhere unseen.
        for spoiled in [
            Delta { origin: 8, ..delta.clone() },
            Delta { after: 4, ..delta.clone() },
            Delta { drains: [delta.drains.clone(), vec![("x".into(), true)]].concat(), ..delta.clone() },
            Delta { joined: [delta.joined.clone(), vec![member(77, 2)]].concat(), ..delta.clone() },
            Delta { digest: delta.digest ^ 1, ..delta.clone() },
        ] {
            prop_assert_eq!(old.follow(&spoiled), Err(Mismatch));
        }
    }
}

#[test]
fn deltas_are_kept_one_after_another_up_to_what_a_snapshot_takes() {
    let (views, deltas) = chain(400, 900);
    let mut kept = Deltas::default();
    assert!(kept.since(1, usize::MAX).is_none());
    for (delta, view) in deltas.iter().zip(&views[1..]) {
        kept.push(delta.clone(), view);
    }
    let last = views[900].number;
    assert_eq!(kept.since(last, usize::MAX), Some(vec![]));
    assert_eq!(kept.since(last - 2, usize::MAX), Some(deltas[898..].to_vec()));
    assert_eq!(kept.since(last - 2, 10), None, "it takes more");
    assert_eq!(kept.since(last + 1, usize::MAX), None, "that one is ahead");
    assert!(kept.since(1, usize::MAX).is_none(), "not for ever");
    let bytes: usize = (1..)
        .map_while(|n| kept.since(last - n, usize::MAX))
        .last()
        .map_or(0, |all| all.iter().map(|d| d.weight()).sum());
    assert!(bytes > 0 && bytes <= views[900].weight(), "{bytes}");
    // One that does not follow ends those before it.
    kept.push(deltas[3].clone(), &views[4]);
    assert!(kept.since(last - 2, usize::MAX).is_none() && kept.since(4, usize::MAX).is_some());
}

/// Guards against a snapshot that is put together wrongly, or waits for ever for a page that was lost.
#[test]
fn a_snapshot_is_fetched_whole_whatever_is_lost_doubled_or_late() {
    let (views, _) = chain(3_000, 0);
    let served = Served::of(&views[0]).expect("it fits");
    let first = served.pages(&[]);
    assert_eq!(first.len(), WINDOW);
    assert!(first.iter().all(|p| p.bytes.len() == PAGE));
    let mut fetch = Fetch::begin(0, "a", &first[0]).expect("a page");
    let (mut now, mut window, mut lost) = (0, first.clone(), 0);
    let whole = loop {
        now += 100_000;
        let mut whole = None;
        for (i, page) in window.drain(..).enumerate() {
            assert!(fetch.wants("a", &page) && !fetch.wants("b", &page));
            // Every third is lost, every fifth comes twice.
            if (i + lost) % 3 == 0 {
                lost += 1;
                continue;
            }
            whole = whole.or(fetch.take(now, page.clone()));
            if i % 5 == 0 && whole.is_none() {
                whole = fetch.take(now, page);
            }
        }
        if whole.is_some() {
            break whole;
        }
        if let Some((from, number, pages)) = fetch.asks(now) {
            assert_eq!((from.as_str(), number), ("a", 1));
            window = served.pages(&pages);
        }
        assert!(now < 60_000_000 && !fetch.over(now), "it goes on");
    };
    assert_eq!(whole.as_ref(), Some(&views[0]));
    assert!(lost > 10);
}

#[test]
fn pages_that_cannot_be_are_dropped_and_a_sender_that_is_silent_is_given_up() {
    let page = |number, page, of, bytes: usize| Page { number, page, of, bytes: vec![0xff; bytes] };
    assert!(Fetch::begin(0, "a", &page(3, 0, 0, 1)).is_none());
    assert!(Fetch::begin(0, "a", &page(3, 0, MOST_PAGES as u16 + 1, 1)).is_none());
    let mut fetch = Fetch::begin(0, "a", &page(3, 0, 2, PAGE)).expect("a page");
    assert!(!fetch.wants("a", &page(3, 2, 2, 1)) && !fetch.wants("a", &page(4, 0, 2, 1)));
    assert!(!fetch.wants("a", &page(3, 0, 2, PAGE + 1)) && fetch.outdated("a", &page(4, 0, 2, 1)));
    assert!(!fetch.over(3_000_000) && fetch.over(3_000_001));
    // Garbage is no view: its sender is given up.
    assert_eq!(fetch.take(10, page(3, 0, 2, PAGE)), None);
    assert_eq!(fetch.take(20, page(3, 1, 2, 5)), None);
    assert!(fetch.over(20));
}
