//! Requests that wait for a shard, or for any node, in the order in which they are to go. How much stands
//! before one of them is told without looking at each that does.

use crate::interface::{RequestId, Time};
use std::cmp::Reverse;

/// Place in a queue: worth per unit first, then the time it is wanted, then the number.
pub(super) type Rank = (Reverse<u64>, Time, RequestId);

/// Requests of a block at most; a block that grows over it is cut in two.
const MOST_IN_BLOCK: usize = 64;

/// Requests that stand behind one another, and the units of all of them.
#[derive(Debug, Default)]
struct Block {
    ranks: Vec<(Rank, f64)>,
    units: f64,
}

impl Block {
    fn of(ranks: Vec<(Rank, f64)>) -> Self {
        let units = ranks.iter().map(|(_, units)| units).sum();
        Block { ranks, units }
    }

    fn place(&self, rank: &Rank) -> Result<usize, usize> {
        self.ranks.binary_search_by(|(r, _)| r.cmp(rank))
    }

    fn last(&self) -> Option<&Rank> {
        self.ranks.last().map(|(rank, _)| rank)
    }
}

/// A queue. No block is empty.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    blocks: Vec<Block>,
    len: usize,
}

impl Waiting {
    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The one that goes first.
    pub(super) fn first(&self) -> Option<Rank> {
        self.blocks.first()?.ranks.first().map(|(rank, _)| *rank)
    }

    /// The block that holds a rank, or would.
    fn block_of(&self, rank: &Rank) -> usize {
        let at = self.blocks.partition_point(|block| block.last().is_some_and(|last| last < rank));
        at.min(self.blocks.len().saturating_sub(1))
    }

    /// Adds a request of so many units.
    pub(super) fn insert(&mut self, rank: Rank, units: f64) {
        if self.blocks.is_empty() {
            self.blocks.push(Block::default());
        }
        let at = self.block_of(&rank);
        let block = &mut self.blocks[at];
        let Err(place) = block.place(&rank) else { return };
        block.ranks.insert(place, (rank, units));
        block.units += units;
        self.len += 1;
        if block.ranks.len() > MOST_IN_BLOCK {
            let rest = block.ranks.split_off(MOST_IN_BLOCK / 2);
            *block = Block::of(std::mem::take(&mut block.ranks));
            self.blocks.insert(at + 1, Block::of(rest));
        }
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, rank: &Rank) {
        if self.blocks.is_empty() {
            return;
        }
        let at = self.block_of(rank);
        let block = &mut self.blocks[at];
        let Ok(place) = block.place(rank) else { return };
        block.ranks.remove(place);
        self.len -= 1;
        match block.ranks.is_empty() {
            true => drop(self.blocks.remove(at)),
            // Summed anew, so that rounding does not add up.
            false => block.units = block.ranks.iter().map(|(_, units)| units).sum(),
        }
    }

    /// Units of the requests that go before a rank.
    pub(super) fn units_before(&self, rank: &Rank) -> f64 {
        let at = self.block_of(rank);
        let whole: f64 = self.blocks.iter().take(at).map(|block| block.units).sum();
        let Some(block) = self.blocks.get(at) else { return whole };
        whole + block.ranks.iter().take_while(|(r, _)| r < rank).map(|(_, units)| units).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
