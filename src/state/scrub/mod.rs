//! The scrubber: reads all blocks of the exports in the background to find corrupted blocks that no client reads,
//! and yields to client requests. It decides which blocks to read next and when, from the open client requests and
//! the durations of its own reads. It does no I/O and reads no clock: the caller passes the current time.

mod pace;
mod walk;

pub use pace::{HoldReason, NodeStatus, Pace};
pub use walk::{BlockRange, Walk};

use crate::interface::{ShardId, Time};
use std::collections::BTreeMap;

/// Identifies an export by its number.
pub type VolumeId = u32;

/// What the scrubber needs to know about an export.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExportInfo {
    /// Size of the export in blocks.
    pub blocks: u64,
    /// The shard whose node stores the export.
    pub shard: ShardId,
    /// The time within which every block of the export should be read once.
    pub period: Time,
}

/// Result of a read by the scrubber.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// All blocks read are valid.
    Valid,
    /// The block with this number is corrupted.
    Bad(u64),
    /// The read was refused or failed, so the blocks were not checked.
    Failed,
}

/// Event counts since the last call of [`Scrub::take_counts`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Blocks read and checked.
    pub blocks: u64,
    /// Blocks found corrupted.
    pub bad: u64,
    /// Reads that were refused or failed.
    pub nothing: u64,
    /// Times that a read was postponed because client requests were open at the node.
    pub yielded: u64,
    /// Times that a read was postponed because the node was cold, drained or stalled.
    pub held: u64,
    /// Completed rounds, counted over all exports: a round ends with the last block of its export.
    pub rounds: u64,
}

#[derive(Debug)]
struct Export {
    info: ExportInfo,
    walk: Walk,
}

/// A read of the scrubber that has been sent and has not ended.
#[derive(Debug, Clone, Copy)]
struct PendingRead {
    volume: VolumeId,
    range: BlockRange,
    sent: Time,
}

/// The scrubber of all exports of one NBD front.
#[derive(Debug, Default)]
pub struct Scrub {
    exports: BTreeMap<VolumeId, Export>,
    /// The pace at each node that stores an export; removed with the last export of the node.
    paces: BTreeMap<ShardId, Pace>,
    /// The reads that have not ended, at most one per node.
    pending: BTreeMap<ShardId, PendingRead>,
    /// The export read last at each node, for round-robin among the exports of the node.
    last: BTreeMap<ShardId, VolumeId>,
    counts: Counts,
}

impl Scrub {
    /// Adds an export to scrub, starting at block `from`. An export that is already known with the same `info`
    /// keeps its position.
    pub fn add(&mut self, now: Time, volume: VolumeId, info: ExportInfo, from: u64) {
        match self.exports.get_mut(&volume) {
            Some(export) if export.info == info => {}
            _ => {
                let walk = Walk::new(now, info.blocks, info.period, from);
                self.exports.insert(volume, Export { info, walk });
                self.paces.entry(info.shard).or_insert_with(|| Pace::new(now));
            }
        }
    }

    /// Removes the exports for which `keep` returns `false`, and the state of nodes that store no other export.
    pub fn retain(&mut self, keep: impl Fn(VolumeId) -> bool) {
        self.exports.retain(|volume, _| keep(*volume));
        let used = |shard: &ShardId| self.exports.values().any(|e| e.info.shard == *shard);
        self.paces.retain(|shard, _| used(shard));
        self.last.retain(|shard, _| used(shard));
    }

    /// Returns when to call [`Scrub::poll`] next, or `None` if every node has a pending read or no export is known.
    pub fn next_deadline(&self) -> Option<Time> {
        let idle = self.paces.iter().filter(|(shard, _)| !self.pending.contains_key(shard));
        idle.map(|(_, pace)| pace.next()).min()
    }

    /// Returns the reads to send now, at most one per node; `status` gives the status of a shard's node.
    pub fn poll(&mut self, now: Time, status: impl Fn(ShardId) -> NodeStatus) -> Vec<(VolumeId, BlockRange)> {
        let mut reads = Vec::new();
        for (shard, pace) in &mut self.paces {
            if self.pending.contains_key(shard) || pace.next() > now {
                continue;
            }
            // Round-robin among the exports of the node: the next higher number, or the lowest.
            let last = self.last.get(shard).copied();
            let mut here = self.exports.iter().filter(|(_, e)| e.info.shard == *shard);
            let first = here.clone().next();
            let Some((volume, export)) = here.find(|(v, _)| last.is_none_or(|l| **v > l)).or(first) else {
                continue;
            };
            match pace.check(now, status(*shard)) {
                Ok(()) => {
                    let range = export.walk.next_range();
                    self.last.insert(*shard, *volume);
                    self.pending.insert(*shard, PendingRead { volume: *volume, range, sent: now });
                    reads.push((*volume, range));
                }
                Err(HoldReason::Busy) => self.counts.yielded += 1,
                Err(HoldReason::NotReady) => self.counts.held += 1,
            }
        }
        reads
    }

    /// Records the result of a read. Returns the block at which scrubbing of the export resumes after a restart, if
    /// the caller should store that position now.
    pub fn read_ended(&mut self, now: Time, volume: VolumeId, result: ReadResult) -> Option<u64> {
        let shard = self.pending.iter().find(|(_, read)| read.volume == volume).map(|(shard, _)| *shard)?;
        let pending = self.pending.remove(&shard)?;
        let pace = self.paces.get_mut(&shard)?;
        let export = self.exports.get_mut(&volume)?;
        pace.read_ended(now, now - pending.sent, result != ReadResult::Failed, export.walk.interval());
        let read = match result {
            ReadResult::Valid => pending.range.count,
            ReadResult::Bad(block) => {
                self.counts.bad += 1;
                // The next read starts after the corrupted block: the blocks after it are not checked yet.
                (block + 1).saturating_sub(pending.range.first).clamp(1, pending.range.count)
            }
            ReadResult::Failed => {
                self.counts.nothing += 1;
                return None;
            }
        };
        self.counts.blocks += read;
        let rounds = export.walk.rounds();
        let position = export.walk.advance(now, read);
        self.counts.rounds += export.walk.rounds() - rounds;
        position
    }

    /// Records that a client request at a node was slow: scrubbing there pauses so that the client requests queued
    /// behind it are served first.
    pub fn slow_request(&mut self, now: Time, shard: ShardId) {
        if let Some(pace) = self.paces.get_mut(&shard) {
            pace.slow_request(now);
        }
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the exports that are behind schedule, each with its delay.
    pub fn behind(&self, now: Time) -> Vec<(VolumeId, Time)> {
        let all = self.exports.iter().map(|(volume, export)| (*volume, export.walk.behind(now)));
        all.filter(|(_, behind)| *behind > 0).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Time = 1_000_000;
    const IDLE: NodeStatus = NodeStatus { open: 0, ready: true };

    fn scrub(shards: &[ShardId]) -> Scrub {
        let mut scrub = Scrub::default();
        for (volume, shard) in (0..).zip(shards) {
            scrub.add(0, volume, ExportInfo { blocks: 256, shard: *shard, period: 10 * SECOND }, 0);
        }
        scrub
    }

    /// Runs the scrubber from `from` until `end` with a node that answers each read after `takes`. Returns the
    /// number of blocks read.
    fn run(
        scrub: &mut Scrub,
        from: Time,
        end: Time,
        takes: Time,
        status: impl Fn(Time) -> NodeStatus,
    ) -> u64 {
        let (mut now, mut read) = (from, 0);
        while now < end {
            let reads = scrub.poll(now, |_| status(now));
            for (volume, range) in reads {
                now += takes;
                read += range.count;
                scrub.read_ended(now, volume, ReadResult::Valid);
            }
            now = scrub.next_deadline().expect("no pending read, so a deadline is set").max(now + 1);
        }
        read
    }

    #[test]
    fn reads_an_export_within_its_period_without_client_requests() {
        let mut scrub = scrub(&[0]);
        let read = run(&mut scrub, 0, 10 * SECOND, 500, |_| IDLE);
        assert!((256..400).contains(&read), "{read}");
        assert_eq!(scrub.behind(10 * SECOND), []);
        assert!(scrub.take_counts().rounds >= 1);
    }

    #[test]
    fn reads_nothing_while_client_requests_are_open_or_the_node_is_not_ready() {
        let mut scrub = scrub(&[0]);
        let busy = NodeStatus { open: 1, ready: true };
        assert_eq!(run(&mut scrub, 0, 5 * SECOND, 500, |_| busy), 0);
        let not_ready = NodeStatus { open: 0, ready: false };
        assert_eq!(run(&mut scrub, 5 * SECOND, 9 * SECOND, 500, |_| not_ready), 0);
        let counts = scrub.take_counts();
        assert!(counts.yielded > 0 && counts.held > 0, "{counts:?}");
        let behind = scrub.behind(9 * SECOND);
        assert!(behind.len() == 1 && behind[0].1 > 8 * SECOND, "{behind:?}");
        // The scrubber catches up once reads are allowed again.
        let read = run(&mut scrub, 9 * SECOND, 60 * SECOND, 500, |_| IDLE);
        assert!(read > 256, "{read}");
    }

    #[test]
    fn sends_one_read_per_node_and_rotates_among_its_exports() {
        let mut scrub = scrub(&[0, 0, 1]);
        let first = scrub.poll(SECOND, |_| IDLE);
        assert_eq!(first.iter().map(|(v, _)| *v).collect::<Vec<_>>(), [0, 2]);
        assert_eq!(scrub.poll(2 * SECOND, |_| IDLE), []);
        scrub.read_ended(2 * SECOND, 0, ReadResult::Bad(3));
        let second = scrub.poll(9 * SECOND, |_| IDLE);
        assert_eq!(second.iter().map(|(v, _)| *v).collect::<Vec<_>>(), [1]);
        scrub.read_ended(9 * SECOND, 1, ReadResult::Valid);
        let third = scrub.poll(20 * SECOND, |_| IDLE);
        assert_eq!(third[0].1.first, 4, "the next read starts after the bad block");
        scrub.retain(|volume| volume == 2);
        assert_eq!(scrub.paces.len(), 1);
    }
}
