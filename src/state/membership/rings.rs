//! Who watches whom: K rings of all members, each in an order of its own. Source: Suresh et al., "Stable and
//! Consistent Membership at Scale with Rapid", USENIX ATC 2018, section 4.1.

use super::{mix, Member, View};
use std::collections::BTreeSet;

/// Rings, and so observers of each member.
pub const RINGS: usize = 8;

/// The observers of one view, by place in its list of members.
#[derive(Debug, Clone, Default)]
pub struct Rings {
    /// Of each member, those that it watches.
    pub subjects: Vec<BTreeSet<usize>>,
    /// Of each member, those that watch it.
    pub observers: Vec<BTreeSet<usize>>,
}

/// A member's place on a ring.
fn place(m: &Member, ring: u64) -> u64 {
    mix(m.name.as_bytes(), m.incarnation.wrapping_mul(64) + ring)
}

/// Those that one member watches, ring after ring, without the rings of all others.
pub fn subjects(view: &View, own: usize) -> Vec<usize> {
    let n = view.members.len();
    if n <= RINGS + 1 {
        return (1..n).map(|i| (own + i) % n).collect();
    }
    let mut subjects = Vec::with_capacity(RINGS);
    for ring in 0..RINGS as u64 {
        let place = |i: usize| (place(&view.members[i], ring), i);
        let from = place(own);
        // The next behind it, or the first of all.
        let next = (0..n).map(place).filter(|p| *p != from).min_by_key(|p| (*p < from, *p));
        subjects.extend(next.map(|(_, i)| i).filter(|i| !subjects.contains(i)));
    }
    subjects
}

impl Rings {
    /// The rings of a view: the same wherever they are computed.
    pub fn of(view: &View) -> Rings {
        let n = view.members.len();
        let mut rings = Rings { subjects: vec![BTreeSet::new(); n], observers: vec![BTreeSet::new(); n] };
        let mut watch = |observer: usize, subject: usize| {
            if observer != subject {
                rings.subjects[observer].insert(subject);
                rings.observers[subject].insert(observer);
            }
        };
        if n <= RINGS + 1 {
            (0..n).for_each(|a| (0..n).for_each(|b| watch(a, b)));
            return rings;
        }
        for ring in 0..RINGS as u64 {
            let mut order: Vec<(u64, usize)> =
                view.members.iter().enumerate().map(|(i, m)| (place(m, ring), i)).collect();
            order.sort_unstable();
            for pair in order.windows(2) {
                watch(pair[0].1, pair[1].1);
            }
            watch(order[n - 1].1, order[0].1);
        }
        rings
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(n: usize) -> View {
        let member =
            |i| Member { name: format!("b{i:03}"), address: String::new(), incarnation: 1 + i % 3, life: 0 };
        View { members: (0..n as u64).map(member).collect(), ..View::default() }
    }

    /// Guards against brokers that nobody watches, and against a watch that grows with the cluster.
    #[test]
    fn each_is_watched_by_several_and_watches_no_more_than_the_rings() {
        for n in [1, 2, 5, 9, 10, 25, 100, 300] {
            let rings = Rings::of(&view(n));
            let least = if n <= RINGS + 1 { n - 1 } else { RINGS / 2 };
            for i in 0..n {
                assert!(rings.observers[i].len() >= least, "{n}: {:?}", rings.observers[i]);
                assert!(rings.subjects[i].len() <= RINGS && !rings.subjects[i].contains(&i));
                let alone: BTreeSet<usize> = subjects(&view(n), i).into_iter().collect();
                assert_eq!(alone, rings.subjects[i], "{n}: what one computes alone");
            }
        }
    }
}
