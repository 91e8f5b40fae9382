//! Divides the limits of a broker, such as the rates of plans, among the processes of the broker.
//!
//! Each process records the part that it holds, a fraction of the limits. The parts of all live processes never sum to
//! more than one. This follows from the order of steps alone and needs no clock: a process uses a smaller part before it
//! records it, and records a larger part before it uses it.

/// Tolerance for rounding errors in a sum of parts.
const ROUNDING: f64 = 1e-9;

/// The next step of a process in changing its part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Keep the part.
    Stay,
    /// Use this smaller part from now on, then record it.
    Lower(f64),
    /// Record this larger part, then use it.
    Raise(f64),
}

/// Returns the next step of a process that uses the part `own`, where `others` are the recorded parts of the other live
/// processes. Each process aims at an equal part: it lowers its part to that immediately, and raises it as far as the
/// others have lowered theirs.
pub fn next(own: f64, others: &[f64]) -> Step {
    let equal = 1.0 / (others.len() + 1) as f64;
    let left = (1.0 - others.iter().sum::<f64>()).max(0.0);
    match equal.min(left) {
        _ if own > equal + ROUNDING => Step::Lower(equal),
        part if part > own + ROUNDING => Step::Raise(part),
        _ => Step::Stay,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A simulated process with its recorded part and the part that it uses.
    #[derive(Clone, Copy)]
    struct Simulated {
        recorded: f64,
        used: f64,
        raising: Option<f64>,
        alive: bool,
    }

    /// Guards against a sum above one at any moment. Processes start, read, write, pause for long and die in random order,
    /// and each step is split in two wherever another process can act in between.
    #[test]
    fn parts_never_sum_to_more_than_one_and_converge_to_equal_parts() {
        for seed in 0..400u64 {
            let mut state = seed;
            let mut draw = |n: u64| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (state >> 33) % n
            };
            let mut all: Vec<Simulated> = Vec::new();
            for round in 0..300 {
                let at = draw(5) as usize;
                if at >= all.len() {
                    if all.iter().filter(|p| p.alive).count() < 4 {
                        all.push(Simulated { recorded: 0.0, used: 0.0, raising: None, alive: true });
                    }
                } else if all[at].alive && draw(40) == 0 {
                    all[at] = Simulated { used: 0.0, raising: None, alive: false, ..all[at] };
                } else if all[at].alive {
                    act(&mut all, at);
                }
                let sum: f64 = all.iter().filter(|p| p.alive).map(|p| p.used).sum();
                assert!(sum <= 1.0 + 1e-6, "seed {seed}, round {round}: {sum}");
            }
            // Without further changes all processes reach equal parts.
            for _ in 0..20 {
                (0..all.len())
                    .filter(|at| all[*at].alive)
                    .collect::<Vec<_>>()
                    .iter()
                    .for_each(|at| act(&mut all, *at));
            }
            let living: Vec<f64> = all.iter().filter(|p| p.alive).map(|p| p.used).collect();
            assert!(living.iter().all(|p| (p - 1.0 / living.len() as f64).abs() < 1e-6), "{living:?}");
        }
    }

    /// Performs half a step: a recorded raise is used one call later, and a lowered part is recorded one call later.
    fn act(all: &mut [Simulated], at: usize) {
        let own = all[at];
        if let Some(part) = own.raising {
            all[at] = Simulated { used: part, raising: None, ..own };
        } else if own.recorded > own.used {
            all[at].recorded = own.used;
        } else {
            let others = all.iter().enumerate().filter(|(i, p)| *i != at && p.alive).map(|(_, p)| p.recorded);
            match next(own.used, &others.collect::<Vec<_>>()) {
                Step::Stay => {}
                Step::Lower(part) => all[at].used = part,
                Step::Raise(part) => (all[at].recorded, all[at].raising) = (part, Some(part)),
            }
        }
    }
}
