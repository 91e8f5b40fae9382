//! Who is to be cut: a leading voter's judgement of the edges that observers call down. Follows the idea of
//! low and high watermarks of Rapid (see `rings.rs`), with accusers that are not to be trusted left out.

use super::rings::Rings;
use super::{Name, View};
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// What was told counts for so many of the observers' repeats, in microseconds: one may be lost.
const COUNTS_FOR: Time = 3_500_000;
/// Trust goes so many steps from the voter that judges: further than any two are apart on the rings.
const ROUNDS: usize = 16;
/// A set that does not stand still is cut after so many times the wait for it.
const AT_MOST: Time = 3;

/// Subjects that are called down, by name, with the incarnation that is meant.
pub type Down = BTreeMap<Name, u64>;

/// What observers have told, and the set that is to be cut.
#[derive(Debug, Default)]
pub struct Cut {
    /// By observer; as many as the view has members. Ends when it is no longer repeated, and with the observer.
    told: BTreeMap<Name, (Time, Down)>,
    set: BTreeSet<Name>,
    first: Time,
    since: Time,
}

impl Cut {
    /// Forgets what these said: they are gone, or others have come in their place.
    pub fn forget<'a>(&mut self, names: impl Iterator<Item = &'a Name>) {
        names.for_each(|name| drop(self.told.remove(name)));
    }

    /// Whether anyone has told anything.
    pub fn is_quiet(&self) -> bool {
        self.told.is_empty() && self.set.is_empty()
    }

    /// Forgets all: another leader, or a view that did not follow the last.
    pub fn clear(&mut self) {
        *self = Cut::default();
    }

    /// Takes what a member says of those it watches.
    pub fn told(&mut self, now: Time, by: &str, down: Down) {
        self.told.retain(|_, (at, _)| now - *at <= COUNTS_FOR);
        if down.is_empty() {
            self.told.remove(by);
        } else {
            self.told.insert(by.to_string(), (now, down));
        }
    }

    /// Those that more than half of their trusted observers call down, two at least. Trust begins with the voter that
    /// judges, `own`, and goes on to each that no more than half of those trusted call down: of two sides that
    /// accuse each other, its own is believed.
    fn accused(&self, now: Time, own: &str, view: &View, rings: &Rings) -> BTreeSet<Name> {
        let n = view.members.len();
        let mut accusers = vec![BTreeSet::new(); n];
        for (by, (_, down)) in self.told.iter().filter(|(_, (at, _))| now - at <= COUNTS_FOR) {
            let Some(i) = view.place(by) else { continue };
            let called = |s: &usize| down.get(&view.members[*s].name) == Some(&view.members[*s].incarnation);
            for s in rings.subjects[i].iter().filter(|s| called(s)) {
                accusers[*s].insert(i);
            }
        }
        let first = view.place(own);
        let mut trusted: Vec<bool> = (0..n).map(|i| first.is_none_or(|f| f == i)).collect();
        let count = |set: &BTreeSet<usize>, of: &[bool]| set.iter().filter(|o| of[**o]).count();
        for _ in 0..ROUNDS {
            let by = |i: usize| (count(&accusers[i], &trusted), count(&rings.observers[i], &trusted));
            let stands =
                |i: usize| Some(i) == first || matches!(by(i), (down, all) if all > 0 && 2 * down <= all);
            let next: Vec<bool> = (0..n).map(stands).collect();
            if std::mem::replace(&mut trusted, next) == trusted {
                break;
            }
        }
        let out = |i: &usize| {
            let (down, all) = (count(&accusers[*i], &trusted), count(&rings.observers[*i], &trusted));
            down >= rings.observers[*i].len().clamp(1, 2) && 2 * down > all
        };
        (0..n).filter(out).map(|i| view.members[i].name.clone()).collect()
    }

    /// Whether anyone is suspected, and by so many that he is to be cut.
    pub fn suspects(&self) -> &BTreeSet<Name> {
        &self.set
    }

    /// The set to cut now: it has stood still for `settle`, or has been long enough on its way.
    pub fn judge(
        &mut self,
        now: Time,
        settle: Time,
        own: &str,
        view: &View,
        rings: &Rings,
    ) -> Option<BTreeSet<Name>> {
        // A last word that nothing is down may have been lost: what is not repeated ends here, too.
        self.told.retain(|_, (at, _)| now - *at <= COUNTS_FOR);
        let set = if self.told.is_empty() { BTreeSet::new() } else { self.accused(now, own, view, rings) };
        if self.set.is_empty() {
            self.first = now;
        }
        if set != self.set {
            self.set = set;
            self.since = now;
        }
        let ripe = now - self.since >= settle || now - self.first >= AT_MOST * settle;
        (ripe && !self.set.is_empty()).then(|| self.set.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::super::Member;
    use super::*;

    fn view(names: &str) -> View {
        let member =
            |c: char| Member { name: c.to_string(), address: String::new(), incarnation: 1, life: 0 };
        View { number: 1, members: names.chars().map(member).collect(), ..View::default() }
    }

    /// Who is cut when each of the letters before `>` calls down those after it.
    fn cut(names: &str, told: &[&str]) -> String {
        let (view, mut cut) = (view(names), Cut::default());
        let rings = Rings::of(&view);
        for t in told {
            let (by, down) = t.split_once('>').unwrap();
            by.chars().for_each(|b| {
                cut.told(
                    0,
                    &b.to_string(),
                    down.chars().filter(|d| *d != b).map(|d| (d.to_string(), 1)).collect(),
                );
            });
        }
        assert_eq!(cut.judge(0, 10, "a", &view, &rings), None);
        cut.judge(10, 10, "a", &view, &rings).unwrap_or_default().into_iter().collect()
    }

    #[test]
    fn one_dead_is_cut_and_two_that_cannot_hear_each_other_are_not() {
        assert_eq!(cut("abcde", &["abcd>e"]), "e");
        assert_eq!(cut("abcde", &["a>b", "b>a"]), "");
        assert_eq!(cut("abc", &["a>b", "b>a"]), "");
        // More than half of the others, whichever way the loss lies.
        assert_eq!(cut("abcde", &["abc>e"]), "e");
        assert_eq!(cut("abcde", &["ab>e"]), "");
    }

    /// Guards against a broker that is cut off and throws out those it can no longer hear.
    #[test]
    fn one_that_hears_nobody_accuses_in_vain() {
        assert_eq!(cut("abcde", &["e>abcd", "abcd>e"]), "e");
        assert_eq!(cut("abcde", &["e>abcd"]), "");
        assert_eq!(cut("abcdefg", &["fg>abcde", "abcde>fg"]), "fg");
        // Two halves that accuse each other: the side of the voter that judges is believed.
        assert_eq!(cut("abcdef", &["def>abc", "abc>def"]), "def");
    }

    /// Guards against a count of accusers that waits for some that are lost as well.
    #[test]
    fn several_lost_at_once_go_in_one_set() {
        assert_eq!(cut("abcdefg", &["abcd>efg"]), "efg");
        assert_eq!(cut("abcd", &["ab>cd"]), "cd");
    }

    #[test]
    fn what_was_told_long_ago_does_not_count() {
        let (view, mut cut) = (view("abc"), Cut::default());
        let rings = Rings::of(&view);
        cut.told(0, "a", Down::from([("c".into(), 1)]));
        cut.told(COUNTS_FOR, "b", Down::from([("c".into(), 1)]));
        assert!(!cut.accused(COUNTS_FOR, "a", &view, &rings).is_empty());
        assert!(cut.accused(COUNTS_FOR + 1, "a", &view, &rings).is_empty());
    }
}
