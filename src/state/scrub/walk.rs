//! Position and schedule of the scrubber in the blocks of one export.

use crate::interface::Time;

/// Blocks per read: 64 KiB, the size of one unit of work.
const READ_BLOCKS: u64 = 16;
/// Number of blocks after which the position is stored for a restart. A restart repeats at most this many blocks.
const STORE_INTERVAL_BLOCKS: u64 = 4_096;
/// Factor by which reading is faster than the period requires, so that yielding to client requests does not put it
/// behind schedule.
const SPEEDUP: f64 = 1.25;
/// Additional factor while the export is behind schedule.
const CATCH_UP_FACTOR: f64 = 4.0;

/// A range of blocks to read with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockRange {
    /// Number of the first block.
    pub first: u64,
    /// Number of blocks.
    pub count: u64,
}

/// The repeated walk through all blocks of an export: its position and its schedule.
#[derive(Debug)]
pub struct Walk {
    blocks: u64,
    period: Time,
    next: u64,
    /// Time and block at which the current round began.
    began: (Time, u64),
    stored: u64,
    rounds: u64,
    late: bool,
}

impl Walk {
    /// Creates a walk through `blocks` blocks that reads all of them once per `period`, starting at block `from`, or
    /// at 0 if `from` lies beyond the end.
    pub fn new(now: Time, blocks: u64, period: Time, from: u64) -> Self {
        let from = if from < blocks { from } else { 0 };
        Walk { blocks, period, next: from, began: (now, from), stored: from, rounds: 0, late: false }
    }

    /// Returns the blocks to read next.
    pub fn next_range(&self) -> BlockRange {
        BlockRange { first: self.next, count: READ_BLOCKS.min(self.blocks - self.next) }
    }

    /// Returns the time from the start of one read to the start of the next that the schedule asks for.
    pub fn interval(&self) -> Time {
        let reads = self.blocks.div_ceil(READ_BLOCKS).max(1) as f64;
        let speedup = if self.late { SPEEDUP * CATCH_UP_FACTOR } else { SPEEDUP };
        (self.period as f64 / reads / speedup) as Time
    }

    /// Moves the position by `blocks` blocks that have been read. Returns the new position if it should be stored for
    /// a restart.
    pub fn advance(&mut self, now: Time, blocks: u64) -> Option<u64> {
        self.next += blocks;
        let round_done = self.next >= self.blocks;
        if round_done {
            self.rounds += 1;
            (self.next, self.began) = (0, (now, 0));
        }
        self.late = self.behind(now) > 0;
        let far = self.next.abs_diff(self.stored) >= STORE_INTERVAL_BLOCKS;
        (round_done || far).then(|| {
            self.stored = self.next;
            self.next
        })
    }

    /// Returns the number of completed rounds.
    pub fn rounds(&self) -> u64 {
        self.rounds
    }

    /// Returns by how much the walk is behind schedule; 0 if the delay is at most a tenth of the period.
    pub fn behind(&self, now: Time) -> Time {
        let part = (self.next - self.began.1) as f64 / self.blocks.max(1) as f64;
        let due = self.began.0 + (part * self.period as f64) as Time;
        // A delay of up to a tenth of the period is tolerated.
        (now - due).max(0) * Time::from(now - due > self.period / 10)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn starts_over_after_the_last_block_and_resumes_at_a_stored_position() {
        let mut walk = Walk::new(0, 40, 1_000_000, 24);
        assert_eq!(walk.next_range(), BlockRange { first: 24, count: 16 });
        assert_eq!(walk.advance(10, 16), Some(0));
        assert_eq!((walk.next_range(), walk.rounds()), (BlockRange { first: 0, count: 16 }, 1));
        walk.advance(20, 16);
        walk.advance(30, 16);
        assert_eq!(walk.next_range(), BlockRange { first: 32, count: 8 });
        assert_eq!(
            Walk::new(0, 40, 1, 40).next_range().first,
            0,
            "the stored position lies beyond the end of an export that shrank"
        );
        let mut long = Walk::new(0, 1 << 20, 1_000_000, 0);
        let stored = (0..1024).filter(|i| long.advance(*i, 16).is_some()).count();
        assert_eq!(stored, 4);
    }

    #[test]
    fn tolerates_a_small_delay_and_reads_faster_after_a_large_one() {
        let mut walk = Walk::new(0, 1_600, 1_000_000, 0);
        assert_eq!((walk.behind(90_000), walk.behind(300_000)), (0, 300_000));
        let interval = walk.interval();
        walk.advance(300_000, 16);
        assert!(walk.interval() < interval / 3);
    }
}
