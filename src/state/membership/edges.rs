//! What one broker sees of those it watches: which of them answer its probes. An edge is down when none of the
//! probes of the last while was answered, whichever way the loss lies.

use super::Name;
use crate::interface::Time;
use std::collections::BTreeMap;

#[derive(Debug)]
struct Edge {
    incarnation: u64,
    address: String,
    /// When the latest probe that has been answered was sent.
    answered: Time,
    next: Time,
    down: bool,
    near: bool,
}

/// One that is watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Subject {
    /// Its name.
    pub name: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it is reached.
    pub address: String,
    /// Whether news are handed on to it.
    pub near: bool,
}

/// The edges to all that this broker watches. An entry ends with the view that names it.
#[derive(Debug)]
pub struct Edges {
    edges: BTreeMap<Name, Edge>,
    probe: Time,
    silence: Time,
    turned: Option<Time>,
}

impl Edges {
    /// No edges yet. `probe` and `silence` as in [`super::Settings`].
    pub fn new(probe: Time, silence: Time) -> Edges {
        Edges { edges: BTreeMap::new(), probe, silence, turned: None }
    }

    /// Watches these from now on. One that was watched before keeps what is known of it.
    pub fn watch(&mut self, now: Time, subjects: impl IntoIterator<Item = Subject>) {
        let mut old = std::mem::take(&mut self.edges);
        for s in subjects {
            let known = old.remove(&s.name).filter(|e| e.incarnation == s.incarnation);
            let new = Edge {
                incarnation: s.incarnation,
                address: s.address,
                answered: now,
                next: now,
                down: false,
                near: s.near,
            };
            self.edges.insert(s.name, known.map_or(new, |e| Edge { near: s.near, ..e }));
        }
    }

    /// Takes an answer to the probe sent at `sent`. One that cannot be is dropped.
    pub fn answered(&mut self, now: Time, name: &str, incarnation: u64, sent: Time) {
        if let Some(edge) = self.edges.get_mut(name).filter(|e| e.incarnation == incarnation && sent <= now) {
            edge.answered = edge.answered.max(sent);
        }
    }

    /// Lets time pass: gives the addresses to probe, and whether an edge went down or came up. If the turn
    /// comes late this process was paused itself, and nobody could be heard: each gets that time on top.
    pub fn turn(&mut self, now: Time) -> (Vec<String>, bool) {
        let gap = now - self.turned.unwrap_or(now);
        let paused = gap > 2 * self.probe;
        self.turned = Some(now);
        let (mut probes, mut changed) = (Vec::new(), false);
        for edge in self.edges.values_mut() {
            if paused {
                edge.answered = (edge.answered + gap).min(now);
            }
            let down = now - edge.answered > self.silence;
            changed |= down != edge.down;
            edge.down = down;
            if now >= edge.next {
                edge.next = now + self.probe;
                probes.push(edge.address.clone());
            }
        }
        (probes, changed)
    }

    /// Those whose edge is down, with their incarnation.
    pub fn down(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.edges.iter().filter(|(_, e)| e.down).map(|(n, e)| (n, e.incarnation))
    }

    /// The addresses of those to whom news are handed on.
    pub fn near(&self) -> impl Iterator<Item = &str> {
        self.edges.values().filter(|e| e.near).map(|e| e.address.as_str())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn edges() -> Edges {
        let mut edges = Edges::new(500, 4000);
        let subject = Subject { name: "b".into(), incarnation: 3, address: "b:1".into(), near: true };
        edges.watch(0, [subject]);
        edges
    }

    #[test]
    fn one_that_answers_nothing_is_down_and_up_again_with_its_first_answer() {
        let mut e = edges();
        (0..=40).for_each(|i| drop(e.turn(i * 100)));
        assert_eq!(e.down().count(), 0);
        assert!(e.turn(4100).1);
        assert_eq!(e.down().count(), 1);
        e.answered(4200, "b", 2, 4100); // A former life.
        assert!(!e.turn(4200).1);
        e.answered(4300, "b", 3, 4100);
        assert!(e.turn(4300).1);
        assert_eq!(e.down().count(), 0);
    }

    /// Guards against a broker that wakes late and blames all others for the silence it slept through.
    #[test]
    fn one_that_was_paused_itself_blames_nobody() {
        let mut e = edges();
        (0..=30).for_each(|i| drop(e.turn(i * 100)));
        assert!(!e.turn(23_000).1);
        // What was missing before the pause still counts.
        (0..=10).for_each(|i| drop(e.turn(23_000 + i * 100)));
        assert!(e.turn(24_100).1);
    }
}
