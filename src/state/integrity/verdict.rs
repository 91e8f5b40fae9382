//! Which sums a block may have, given what all brokers say of it.

use super::entry::{Entry, Slot};

/// What a sum of data that was read means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The data is that of the last acknowledged write, or of one that nothing acknowledged came after.
    Good,
    /// Nothing acknowledged stands here with a sum: the data cannot be checked.
    Unsummed,
    /// The data is that of a write in doubt beside which another was acknowledged: its broker may settle it
    /// yet, or it has run too late.
    Unsettled,
    /// The data is nothing that may stand here.
    Wrong,
    /// What a broker says of the block is damaged.
    Damaged,
}

/// Whether a settled write of another broker began after write `number` of broker `of` was there to be seen.
fn is_past(slots: &[Slot], of: usize, number: u32) -> bool {
    slots.iter().enumerate().any(|(other, slot)| {
        let above = |e: &Entry| e.settled.is_some() && !e.adopted;
        let place = Entry::place_of(other as u8, of as u8);
        slot.ok().filter(above).zip(place).is_some_and(|(e, place)| e.seen[place] >= number)
    })
}

/// Judges the sum of data that was read, given what each broker says of the block, in the brokers' order.
pub fn judge(slots: &[Slot], sum: u32) -> Verdict {
    let mut settled = false;
    let written = slots.iter().flatten().any(|e| e.settled.is_some() && !e.adopted);
    let mut verdict = Verdict::Wrong;
    for (broker, slot) in slots.iter().enumerate() {
        let Ok(entry) = slot else {
            let covers = |e: &Entry| e.settled.is_some() && e.covers & (1 << broker) != 0;
            if slots.iter().flatten().any(covers) {
                continue;
            }
            return Verdict::Damaged;
        };
        // Data found there is past as soon as anything was written.
        let past = |n: u32| (entry.adopted && written) || is_past(slots, broker, n);
        if let Some((_, s)) = entry.settled.filter(|(n, _)| !past(*n)) {
            settled = true;
            if s == sum {
                verdict = Verdict::Good;
            }
        }
        for (number, s) in entry.pending() {
            if *s == sum {
                match is_past(slots, broker, *number) {
                    false => verdict = Verdict::Good,
                    true if verdict == Verdict::Wrong => verdict = Verdict::Unsettled,
                    true => {}
                }
            }
        }
    }
    let lost = slots.iter().flatten().any(|e| e.lost);
    match (settled, verdict) {
        (false, Verdict::Wrong) if lost => Verdict::Damaged,
        (false, Verdict::Wrong) => Verdict::Unsummed,
        (_, verdict) => verdict,
    }
}

/// Whether the block is known to be bad.
pub fn is_bad(slots: &[Slot]) -> bool {
    let bad = |(broker, slot): (usize, &Slot)| slot.is_ok_and(|e| e.bad && !is_past(slots, broker, e.last));
    slots.iter().enumerate().any(bad)
}

/// What can be said of a block without its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It has this sum.
    Sound(u32),
    /// Nothing acknowledged stands there with a sum.
    Unsummed,
    /// It is known to be bad, or its sums are damaged.
    Bad,
    /// Several sums may be right: a write is under way, or was interrupted.
    Doubt,
}

/// What can be said of a block without its data, given what each broker says of it.
pub fn state(slots: &[Slot]) -> State {
    if is_bad(slots) {
        return State::Bad;
    }
    let mut sums: Vec<u32> = Vec::new();
    for entry in slots.iter().flatten() {
        let all = entry.settled.iter().chain(entry.pending()).map(|(_, sum)| *sum);
        sums.extend(all.filter(|sum| judge(slots, *sum) == Verdict::Good));
    }
    sums.sort_unstable();
    sums.dedup();
    let in_doubt = slots.iter().flatten().any(|e| !e.pending().is_empty());
    match (sums.as_slice(), in_doubt) {
        ([sum], false) => State::Sound(*sum),
        (_, true) | ([_, _, ..], _) => State::Doubt,
        // No sum is right: all of them are, or none can be known to be.
        ([], false) if judge(slots, 0) == Verdict::Unsummed => State::Unsummed,
        ([], false) => State::Bad,
    }
}

/// A number that is another one as soon as what is said of the block changes.
pub fn stamp(slots: &[Slot]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut mix = |n: u32| hash = (hash ^ u64::from(n)).wrapping_mul(0x0000_0100_0000_01b3).rotate_left(23);
    for slot in slots {
        match slot {
            Err(_) => mix(u32::MAX),
            Ok(e) => {
                mix(e.last);
                mix(e.settled.map_or(0, |s| s.0));
                mix(e.pending().len() as u32);
                mix(u32::from(e.bad));
            }
        }
    }
    hash
}

#[cfg(test)]
mod tests {
    use super::super::entry::Damaged;
    use super::*;
    use Verdict::{Good, Unsettled, Unsummed, Wrong};

    /// Brokers that write to one block, step by step.
    struct Block(Vec<Slot>);

    impl Block {
        fn new(brokers: usize) -> Self {
            Block(vec![Ok(Entry::default()); brokers])
        }
        /// What a write of a broker begins with: what it sees of the others.
        fn look(&self, own: u8) -> ([u32; 4], u8) {
            let (mut seen, mut covers) = ([0; 4], 0);
            for (other, slot) in self.0.iter().enumerate() {
                match (Entry::place_of(own, other as u8), slot) {
                    (Some(place), Ok(e)) => seen[place] = e.last,
                    (Some(_), Err(_)) => covers |= 1 << other,
                    _ => {}
                }
            }
            (seen, covers)
        }
        fn entry(&mut self, own: u8) -> &mut Entry {
            self.0[usize::from(own)].as_mut().expect("not damaged")
        }
        fn write(&mut self, own: u8, sum: u32) {
            let (seen, covers) = self.look(own);
            let number = self.entry(own).begin(sum, 0);
            self.entry(own).settle(number, sum, seen, covers);
        }
        fn judge(&self, sum: u32) -> Verdict {
            judge(&self.0, sum)
        }
    }

    #[test]
    fn an_interrupted_write_may_leave_either_block_and_nothing_else() {
        let mut block = Block::new(1);
        assert_eq!(block.judge(1), Unsummed);
        block.entry(0).begin(1, 0);
        assert_eq!((block.judge(1), block.judge(9)), (Good, Unsummed), "what was there has no sum");
        block.write(0, 2);
        assert_eq!([1, 2, 9].map(|s| block.judge(s)), [Wrong, Good, Wrong]);
        let number = block.entry(0).begin(3, 0);
        assert_eq!([2, 3, 9].map(|s| block.judge(s)), [Good, Good, Wrong]);
        block.entry(0).settle(number, 3, [0; 4], 0);
        assert_eq!([2, 3].map(|s| block.judge(s)), [Wrong, Good], "a lost write is seen");
    }

    #[test]
    fn writes_of_two_brokers_at_once_may_end_either_way() {
        let mut block = Block::new(3);
        block.write(0, 1);
        let (a, b) = (block.look(0), block.look(2));
        let (m, n) = (block.entry(0).begin(2, 0), block.entry(2).begin(3, 0));
        assert_eq!([1, 2, 3].map(|s| block.judge(s)), [Good; 3]);
        block.entry(0).settle(m, 2, a.0, a.1);
        assert_eq!([1, 2, 3].map(|s| block.judge(s)), [Wrong, Good, Good]);
        block.entry(2).settle(n, 3, b.0, b.1);
        assert_eq!([1, 2, 3].map(|s| block.judge(s)), [Wrong, Good, Good], "neither saw the other");
        block.write(1, 4);
        assert_eq!([2, 3, 4].map(|s| block.judge(s)), [Wrong, Wrong, Good]);
        block.write(0, 5);
        assert_eq!([2, 3, 4, 5].map(|s| block.judge(s)), [Wrong, Wrong, Wrong, Good]);
    }

    #[test]
    fn a_write_in_doubt_beside_which_another_was_acknowledged_is_unsettled() {
        let mut block = Block::new(2);
        block.write(0, 1);
        let before = block.look(1);
        let number = block.entry(1).begin(7, 0);
        block.write(0, 2);
        assert_eq!([1, 2, 7].map(|s| block.judge(s)), [Wrong, Good, Unsettled]);
        block.entry(1).settle(number, 7, before.0, before.1);
        assert_eq!([2, 7].map(|s| block.judge(s)), [Good, Good], "the other saw it begin, not end");
        block.write(0, 3);
        assert_eq!([2, 7, 3].map(|s| block.judge(s)), [Wrong, Wrong, Good]);
    }

    #[test]
    fn a_block_that_is_known_to_be_bad_stays_so_until_a_write_that_saw_it_settles() {
        let mut block = Block::new(2);
        assert_eq!(state(&block.0), State::Unsummed);
        block.write(0, 1);
        assert_eq!(state(&block.0), State::Sound(1));
        let before = block.look(1);
        block.entry(0).mark_bad();
        assert_eq!((is_bad(&block.0), state(&block.0)), (true, State::Bad));
        let number = block.entry(1).begin(2, 0);
        block.entry(1).settle(number, 2, before.0, before.1);
        assert!(is_bad(&block.0), "it may have been written before that was found");
        block.write(1, 3);
        assert_eq!((is_bad(&block.0), state(&block.0)), (false, State::Sound(3)));
        // Its note is past, which a further write of its own must not undo.
        let bad = is_bad(&block.0);
        block.entry(0).bad = bad;
        block.entry(0).begin(4, 0);
        assert_eq!(state(&block.0), State::Doubt);
        block.write(0, 5);
        block.entry(0).mark_bad();
        block.write(0, 6);
        assert_eq!(state(&block.0), State::Sound(6));
    }

    #[test]
    fn data_that_was_found_counts_until_anything_is_written() {
        let mut block = Block::new(2);
        block.write(0, 1);
        block.entry(0).adopted = true;
        assert_eq!([1, 2].map(|s| block.judge(s)), [Good, Wrong]);
        block.0[1] = Ok(Entry::default());
        let number = block.entry(1).begin(2, 0);
        block.entry(1).settle(number, 2, [0; 4], 0);
        assert_eq!([1, 2].map(|s| block.judge(s)), [Wrong, Good]);
    }

    #[test]
    fn a_damaged_entry_hides_the_block_until_a_write_stands_above_it() {
        let mut block = Block::new(2);
        block.write(0, 1);
        block.0[1] = Err(Damaged);
        assert_eq!(block.judge(1), Verdict::Damaged);
        block.write(0, 2);
        assert_eq!([1, 2].map(|s| block.judge(s)), [Wrong, Good]);
        let mut alone = Block(vec![Ok(Entry::after(4))]);
        alone.entry(0).begin(5, 0);
        assert_eq!([5, 1].map(|s| alone.judge(s)), [Good, Verdict::Damaged], "what was there is not known");
        alone.write(0, 6);
        assert_eq!([5, 6].map(|s| alone.judge(s)), [Wrong, Good]);
        let before = stamp(&block.0);
        block.entry(0).begin(3, 0);
        assert_ne!(stamp(&block.0), before);
    }
}
