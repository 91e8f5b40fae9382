//! Priority queue of requests that wait for one shard, or of requests for new objects. It is split into
//! blocks with known totals, so that the units ahead of a request are found without visiting every request.

use crate::interface::{RequestId, Time};
use std::cmp::Reverse;

/// Sort key of a queued request: highest value per unit first, then earliest due time, then lowest request
/// id.
pub(super) type Rank = (Reverse<u64>, Time, RequestId);

/// Maximum number of requests in a block; a larger block is split in two.
const MAX_BLOCK_LEN: usize = 64;

/// A run of consecutive requests in rank order, with the sum of their units.
#[derive(Debug, Default)]
struct Block {
    ranks: Vec<(Rank, f64)>,
    units: f64,
}

impl Block {
    fn new(ranks: Vec<(Rank, f64)>) -> Self {
        let units = ranks.iter().map(|(_, units)| units).sum();
        Block { ranks, units }
    }

    /// Returns the index of a rank, or as an error the index at which it would be inserted.
    fn find(&self, rank: &Rank) -> Result<usize, usize> {
        self.ranks.binary_search_by(|(r, _)| r.cmp(rank))
    }

    fn last(&self) -> Option<&Rank> {
        self.ranks.last().map(|(rank, _)| rank)
    }
}

/// A priority queue of requests. It contains no empty block.
#[derive(Debug, Default)]
pub(super) struct RankedQueue {
    blocks: Vec<Block>,
    len: usize,
}

impl RankedQueue {
    /// Number of requests in the queue.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the rank of the request that goes first.
    pub(super) fn first(&self) -> Option<Rank> {
        self.blocks.first()?.ranks.first().map(|(rank, _)| *rank)
    }

    /// Returns the index of the block that contains a rank, or would contain it.
    fn block_of(&self, rank: &Rank) -> usize {
        let at = self.blocks.partition_point(|block| block.last().is_some_and(|last| last < rank));
        at.min(self.blocks.len().saturating_sub(1))
    }

    /// Adds a request with its units; does nothing if the rank is already in the queue.
    pub(super) fn insert(&mut self, rank: Rank, units: f64) {
        if self.blocks.is_empty() {
            self.blocks.push(Block::default());
        }
        let at = self.block_of(&rank);
        let block = &mut self.blocks[at];
        let Err(index) = block.find(&rank) else { return };
        block.ranks.insert(index, (rank, units));
        block.units += units;
        self.len += 1;
        if block.ranks.len() > MAX_BLOCK_LEN {
            let rest = block.ranks.split_off(MAX_BLOCK_LEN / 2);
            *block = Block::new(std::mem::take(&mut block.ranks));
            self.blocks.insert(at + 1, Block::new(rest));
        }
    }

    /// Removes a request if it is in the queue.
    pub(super) fn remove(&mut self, rank: &Rank) {
        if self.blocks.is_empty() {
            return;
        }
        let at = self.block_of(rank);
        let block = &mut self.blocks[at];
        let Ok(index) = block.find(rank) else { return };
        block.ranks.remove(index);
        self.len -= 1;
        match block.ranks.is_empty() {
            true => drop(self.blocks.remove(at)),
            // Recomputed instead of subtracted, so that rounding errors do not accumulate.
            false => block.units = block.ranks.iter().map(|(_, units)| units).sum(),
        }
    }

    /// Returns the total units of the requests that precede a rank.
    pub(super) fn units_before(&self, rank: &Rank) -> f64 {
        let at = self.block_of(rank);
        let previous: f64 = self.blocks.iter().take(at).map(|block| block.units).sum();
        let Some(block) = self.blocks.get(at) else { return previous };
        previous + block.ranks.iter().take_while(|(r, _)| r < rank).map(|(_, units)| units).sum::<f64>()
    }
}

#[cfg(test)]
mod tests;
