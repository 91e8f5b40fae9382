//! What one broker has to say of one block, and its 64 bytes on the disk.

/// Bytes of an entry.
pub const ENTRY: usize = 64;
/// Writes of one broker to one block that may be in doubt at once.
pub const MOST_PENDING: usize = 3;
/// Brokers that may serve one export: an entry has room to say what it has seen of four others.
pub const MOST_BROKERS: u8 = 5;

const SETTLED: u8 = 1;
const ADOPTED: u8 = 2;
const SEALED: u8 = 4;
const LOST: u8 = 8;
const BAD: u8 = 64;
const PENDING_SHIFT: u8 = 4;
const PENDING_MASK: u8 = 3;

/// An entry that holds something else than this program wrote there: a flip, or a page that belongs elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("damaged entry")]
pub struct Damaged;

/// What is known of an entry.
pub type Slot = Result<Entry, Damaged>;

/// Binds entries to an export, a block and a broker: one that is read in another place is damaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seal(u32);

impl Seal {
    /// For the export of this name.
    pub fn of(export: &str) -> Self {
        Seal(crc32c::crc32c(export.as_bytes()))
    }

    fn sum(self, block: u64, broker: u8, rest: &[u8]) -> u32 {
        let place = crc32c::crc32c_append(self.0, &block.to_le_bytes());
        crc32c::crc32c_append(crc32c::crc32c_append(place, &[broker]), rest)
    }

    /// The sum of a page of another kind, bound to the broker and the export.
    pub fn page_sum(self, broker: u8, rest: &[u8]) -> u32 {
        self.sum(u64::MAX, broker, rest)
    }
}

/// What one broker has to say of one block. Writes of a broker to a block are numbered from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Entry {
    /// Number of the last write that was begun.
    pub last: u32,
    /// Number and sum of the last write that was acknowledged.
    pub settled: Option<(u32, u32)>,
    /// The settled sum is that of data found there, which nobody wrote through a broker with sums.
    pub adopted: bool,
    /// Numbers and sums of later writes, each of which may have run, may yet run, or may not.
    pending: [(u32, u32); MOST_PENDING],
    pendings: u8,
    /// Of each other broker, the number of its last write that stood here when the settled one began.
    pub seen: [u32; MOST_BROKERS as usize - 1],
    /// Brokers (a bit each) whose entries were damaged when the settled write began: it stands above them.
    pub covers: u8,
    /// What was settled here was damaged: until a write settles, data that no write in doubt has brought cannot
    /// be told from spoiled data.
    pub lost: bool,
    /// What stands in the block was found to be nothing that may stand there, and nothing was written since.
    pub bad: bool,
    /// The place was written though nothing is to be said: zeroes there are damage from then on.
    pub sealed: bool,
    /// Unix second at which the last pending write was begun or given up.
    pub stamp: u32,
}

fn word(bytes: &[u8], at: usize) -> u32 {
    bytes[at..at + 4].iter().rev().fold(0, |n, b| n << 8 | u32::from(*b))
}

impl Entry {
    /// An entry in the place of a damaged one, that goes on counting after this number.
    pub fn after(last: u32) -> Self {
        Entry { last, lost: true, sealed: true, ..Entry::default() }
    }

    /// Writes that are in doubt, oldest first.
    pub fn pending(&self) -> &[(u32, u32)] {
        &self.pending[..usize::from(self.pendings)]
    }

    /// Whether it says anything.
    pub fn is_empty(&self) -> bool {
        self.settled.is_none() && self.pendings == 0
    }

    /// Place of another broker in `seen`.
    pub fn place_of(own: u8, other: u8) -> Option<usize> {
        match other.cmp(&own) {
            std::cmp::Ordering::Less => Some(usize::from(other)),
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(usize::from(other) - 1),
        }
    }

    /// Begins a write and gives its number. Where too many are in doubt the oldest makes room: whoever asks
    /// has seen to it that it cannot run any more.
    pub fn begin(&mut self, sum: u32, stamp: u32) -> u32 {
        self.last += 1;
        if usize::from(self.pendings) == MOST_PENDING {
            self.pending.copy_within(1.., 0);
            self.pendings -= 1;
        }
        self.pending[usize::from(self.pendings)] = (self.last, sum);
        self.pendings += 1;
        self.stamp = stamp;
        self.last
    }

    /// Takes the sum of what was found where nobody has written.
    pub fn adopt(&mut self, sum: u32) {
        self.last += 1;
        (self.settled, self.adopted) = (Some((self.last, sum)), true);
    }

    /// Notes that what stands in the block is bad. It counts like a write: one that has seen it ends it.
    pub fn mark_bad(&mut self) {
        self.last += 1;
        self.bad = true;
    }

    /// Takes back a write that provably never ran.
    pub fn undo(&mut self, number: u32) {
        if let Some(place) = self.pending().iter().position(|p| p.0 == number) {
            self.pending.copy_within(place + 1.., place);
            self.pendings -= 1;
            self.pending[usize::from(self.pendings)] = (0, 0);
        }
    }

    /// Settles a write: it has run, and all that came before it is past. What is settled gets a number of its
    /// own, so that a broker that saw the write begin is not taken to have seen it end.
    pub fn settle(&mut self, number: u32, sum: u32, seen: [u32; MOST_BROKERS as usize - 1], covers: u8) {
        // An earlier one with the same bytes may yet run, after a later write: it is remembered for that.
        let twin = self.pending().iter().rposition(|p| p.0 < number && p.1 == sum);
        let all = self.pending;
        let kept = |(place, p): &(usize, &(u32, u32))| p.0 > number || Some(*place) == twin;
        let later = all[..usize::from(self.pendings)].iter().enumerate().filter(kept);
        (self.pending, self.pendings) = ([(0, 0); MOST_PENDING], 0);
        for (place, (_, p)) in self.pending.iter_mut().zip(later) {
            *place = *p;
            self.pendings += 1;
        }
        self.last += 1;
        (self.lost, self.bad) = (false, false);
        (self.settled, self.adopted, self.seen, self.covers) = (Some((self.last, sum)), false, seen, covers);
    }

    /// Writes it into its place in a page.
    pub fn encode(&self, seal: Seal, block: u64, broker: u8, place: &mut [u8]) {
        place.fill(0);
        if self.last == 0 && !self.sealed {
            return;
        }
        let adopted = if self.adopted { ADOPTED } else { 0 };
        let settled = if self.settled.is_some() { SETTLED } else { 0 };
        let sealed = if self.sealed { SEALED } else { 0 };
        let lost = if self.lost { LOST } else { 0 };
        let bad = if self.bad { BAD } else { 0 };
        place[4] = settled | adopted | sealed | lost | bad | self.pendings << PENDING_SHIFT;
        place[5] = self.covers;
        let (number, sum) = self.settled.unwrap_or_default();
        let pending = self.pending.iter().flat_map(|(number, sum)| [*number, *sum]);
        let words = [self.last, number, sum].into_iter().chain(pending).chain(self.seen).chain([self.stamp]);
        for (place, word) in place[8..].chunks_exact_mut(4).zip(words) {
            place.copy_from_slice(&word.to_le_bytes());
        }
        let sum = seal.sum(block, broker, &place[4..]);
        place[..4].copy_from_slice(&sum.to_le_bytes());
    }

    /// Reads it from its place in a page. Zeroes say nothing, unless the page is `written` for certain.
    pub fn decode(seal: Seal, block: u64, broker: u8, place: &[u8], written: bool) -> Slot {
        if !written && place.iter().all(|b| *b == 0) {
            return Ok(Entry::default());
        }
        if place.len() != ENTRY || word(place, 0) != seal.sum(block, broker, &place[4..]) {
            return Err(Damaged);
        }
        let pendings = place[4] >> PENDING_SHIFT & PENDING_MASK;
        let at = |i: usize| word(place, 8 + 4 * i);
        let mut entry = Entry {
            last: at(0),
            settled: (place[4] & SETTLED != 0).then(|| (at(1), at(2))),
            adopted: place[4] & ADOPTED != 0,
            sealed: place[4] & SEALED != 0,
            lost: place[4] & LOST != 0,
            bad: place[4] & BAD != 0,
            pendings,
            covers: place[5],
            stamp: at(13),
            ..Entry::default()
        };
        for i in 0..MOST_PENDING {
            entry.pending[i] = (at(3 + 2 * i), at(4 + 2 * i));
        }
        for i in 0..entry.seen.len() {
            entry.seen[i] = at(9 + i);
        }
        Ok(entry)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some() -> Entry {
        let mut entry = Entry::default();
        let number = entry.begin(11, 7);
        entry.settle(number, 11, [1, 2, 3, 4], 0b100);
        entry.begin(12, 8);
        entry.begin(13, 9);
        entry
    }

    #[test]
    fn an_entry_is_read_as_it_was_written_and_only_in_its_place() {
        let (seal, mut bytes) = (Seal::of("tallies"), [0; ENTRY]);
        some().encode(seal, 5, 1, &mut bytes);
        assert_eq!(Entry::decode(seal, 5, 1, &bytes, true), Ok(some()));
        let elsewhere = [(seal, 6, 1), (seal, 5, 2), (Seal::of("tallied"), 5, 1)];
        for (seal, block, broker) in elsewhere {
            assert_eq!(Entry::decode(seal, block, broker, &bytes, false), Err(Damaged));
        }
        for bit in 0..ENTRY * 8 {
            let mut flipped = bytes;
            flipped[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Entry::decode(seal, 5, 1, &flipped, false), Err(Damaged), "bit {bit}");
        }
        assert_eq!(Entry::decode(seal, 5, 1, &[0; ENTRY], false), Ok(Entry::default()));
        assert_eq!(Entry::decode(seal, 5, 1, &[0; ENTRY], true), Err(Damaged));
        let empty = Entry { sealed: true, ..Entry::default() };
        empty.encode(seal, 5, 1, &mut bytes);
        assert_eq!(Entry::decode(seal, 5, 1, &bytes, true), Ok(empty));
    }

    #[test]
    fn a_write_that_settles_leaves_only_what_came_after_it() {
        let mut entry = some();
        assert_eq!((entry.settled, entry.pending()), (Some((2, 11)), &[(3, 12), (4, 13)][..]));
        entry.settle(3, 12, [0; 4], 0);
        assert_eq!((entry.settled, entry.pending()), (Some((5, 12)), &[(4, 13)][..]));
        entry.undo(4);
        assert!(entry.pending().is_empty() && entry.last == 5, "a number is never used again");
        let numbers: Vec<u32> = (0..4).map(|i| entry.begin(20 + i, 0)).collect();
        assert_eq!(numbers, [6, 7, 8, 9]);
        assert_eq!(entry.pending(), [(7, 21), (8, 22), (9, 23)]);
    }
}
