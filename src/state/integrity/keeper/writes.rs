//! Writes: intent, data, settled.

use super::*;

impl Keeper {
    /// Lets writes begin that overlap neither one under way nor an earlier one that waits.
    pub(super) fn admit(&mut self, now: Time, volume: VolumeId, out: &mut Vec<Effect>) {
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        let mut admitted = Vec::new();
        let mut waiting: Vec<(u64, u64)> = Vec::new();
        for id in std::mem::take(&mut kept.queue) {
            let Some(ask) = self.asks.get_mut(&id) else { continue };
            let (first, end) = (ask.first, ask.first + ask.count);
            let before = kept.active.range(..end).next_back();
            let busy = before.is_some_and(|(_, (until, _))| *until > first)
                || waiting.iter().any(|(f, e)| *f < end && first < *e);
            if busy {
                waiting.push((first, end));
                kept.queue.push_back(id);
                continue;
            }
            kept.active.insert(first, (end, id));
            for group in ask.groups() {
                *kept.pins.entry(group).or_default() += 1;
            }
            if let Work::Write { step, .. } = &mut ask.work {
                *step = WriteStep::Looking;
            }
            admitted.push(id);
        }
        for id in admitted {
            self.look(now, id, out);
        }
    }

    /// How long a write must be held off: as long as something that was given up could run after it.
    pub(super) fn hindrance(&self, now: Time, ask: &Ask, sums: &[u32]) -> Option<Time> {
        let kept = self.volumes.get(&ask.volume)?;
        let mut until = if let Opening::Open(from) = kept.opening { from } else { now };
        for group in ask.groups() {
            until = until.max(kept.pages.get(&group)?.doubt);
        }
        let mut soon = false;
        for (block, sum) in (ask.first..).zip(sums) {
            let (slots, n) = self.slots(ask, block)?;
            for (broker, entry) in slots[..n].iter().enumerate().filter_map(|(b, s)| Some((b, s.ok()?))) {
                // The same bytes do no harm whenever they are written.
                let past = Time::from(entry.stamp) * 1_000_000 + kept.facts.late;
                if past > now && entry.pending().iter().any(|p| p.1 != *sum) {
                    match broker == usize::from(kept.facts.broker) {
                        true => until = until.max(past),
                        false => soon = true,
                    }
                }
            }
        }
        (until > now).then(|| until - now).or(soon.then_some(SOON))
    }

    /// Puts the new sums beside the old ones.
    pub(super) fn intend(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get(&id) else { return };
        let Work::Write { sums, .. } = &ask.work else { return };
        let sums = sums.clone();
        let at_hand = (ask.first..ask.first + ask.count).all(|block| self.slots(ask, block).is_some());
        if !at_hand {
            return self.look(now, id, out);
        }
        if let Some(wait) = self.hindrance(now, ask, &sums) {
            self.counts.held_off += 1;
            return self.give_up(now, id, wait, out);
        }
        let mut seen: Vec<Seen> = Vec::with_capacity(sums.len());
        let mut last_seen = Vec::with_capacity(sums.len());
        let Some(own) = self.volumes.get(&ask.volume).map(|v| v.facts.broker) else { return };
        for block in ask.first..ask.first + ask.count {
            let Some((slots, n)) = self.slots(ask, block) else { return };
            let (mut numbers, mut covers, mut last) = ([0; MOST_BROKERS as usize - 1], 0, 0);
            for (other, slot) in slots[..n].iter().enumerate() {
                let Some(place) = Entry::place_of(own, other as u8) else { continue };
                match slot {
                    Ok(entry) => {
                        numbers[place] = entry.last;
                        let about = Entry::place_of(other as u8, own).map_or(0, |p| entry.seen[p]);
                        last = last.max(about);
                    }
                    Err(_) => covers |= 1 << other,
                }
            }
            seen.push((numbers, covers));
            last_seen.push((last, is_bad(&slots[..n])));
        }
        let (volume, first, due) = (ask.volume, ask.first, ask.due);
        // Until then it is waited for: it may be sent so late.
        let stamp = ((due.max(now) + 999_999) / 1_000_000) as u32;
        let Some(kept) = self.volumes.get_mut(&volume) else { return };
        let mut numbers_given = Vec::with_capacity(sums.len());
        for ((block, sum), (last, bad)) in (first..).zip(&sums).zip(last_seen) {
            let Some(page) = kept.pages.get_mut(&(block / GROUP)) else { return };
            let entry = page.change(block, last);
            // A note of this broker that is past stays so, whatever number comes next.
            entry.bad &= bad;
            numbers_given.push(entry.begin(*sum, stamp));
        }
        if let Some(Ask { work: Work::Write { step, numbers, seen: all, .. }, .. }) = self.asks.get_mut(&id) {
            (*step, *numbers, *all) = (WriteStep::Intending, numbers_given, seen);
        }
        // Durable in any case: data that outlives a crash of the node without its sum would look spoiled.
        self.want(now, id, true, out);
    }

    /// Waits until the pages of a write stand on the disk as they are now.
    pub(super) fn want(&mut self, now: Time, id: RequestId, durable: bool, out: &mut Vec<Effect>) {
        let Some(ask) = self.asks.get_mut(&id) else { return };
        let (volume, due, groups) = (ask.volume, ask.due, ask.groups());
        ask.missing = groups.clone().count();
        for group in groups {
            if let Some(page) = self.volumes.get_mut(&volume).and_then(|v| v.pages.get_mut(&group)) {
                page.waiting.insert(id, Waiting { version: page.version, due, durable });
            }
            self.write_page(now, volume, group, out);
        }
    }

    /// The blocks of a write with their numbers and sums, and what was seen when it began.
    pub(super) fn written(&self, id: RequestId) -> Vec<(u64, u32, u32, Seen)> {
        let Some(Ask { first, work: Work::Write { sums, numbers, seen, .. }, .. }) = self.asks.get(&id)
        else {
            return Vec::new();
        };
        let all = (*first..).zip(numbers).zip(sums).zip(seen);
        all.map(|(((block, number), sum), seen)| (block, *number, *sum, *seen)).collect()
    }

    pub(super) fn change(&mut self, id: RequestId, mut how: impl FnMut(&mut Entry, u32, u32, Seen)) {
        let volume = self.asks.get(&id).map(|a| a.volume);
        for (block, number, sum, seen) in self.written(id) {
            let kept = volume.and_then(|v| self.volumes.get_mut(&v));
            if let Some(page) = kept.and_then(|v| v.pages.get_mut(&(block / GROUP))) {
                how(page.change(block, 0), number, sum, seen);
            }
        }
    }

    /// The data stands on the disk: the old sums are dropped before the client hears of it.
    pub(super) fn settle(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        self.change(id, |entry, number, sum, seen| entry.settle(number, sum, seen.0, seen.1));
        let Some(Ask { work: Work::Write { step, durable, .. }, .. }) = self.asks.get_mut(&id) else {
            return;
        };
        *step = WriteStep::Settling;
        let durable = *durable;
        self.want(now, id, durable, out);
    }

    /// Takes back the new sums of a write whose data was never sent.
    pub(super) fn undo(&mut self, id: RequestId) {
        self.change(id, |entry, number, _, _| entry.undo(number));
    }

    /// The data may yet be written: that counts from now.
    pub(super) fn doubt(&mut self, now: Time, id: RequestId) {
        let stamp = (now / 1_000_000 + 1) as u32;
        self.change(id, |entry, _, _, _| entry.stamp = entry.stamp.max(stamp));
    }
}
