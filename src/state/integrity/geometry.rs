//! Where the sums of a block lie in the companion.

/// Bytes of a block: what one sum stands for, and the smallest request that such an export takes.
pub const BLOCK: u64 = 4096;
/// Bytes of a page of sums: one broker's entries for a group of blocks. Only that broker writes it.
pub const PAGE: u64 = 4096;
/// Blocks whose entries fill a page.
pub const GROUP: u64 = 64;

/// The shape of an export with its companion: first a page for each broker that says who it is, then for each
/// group of blocks a page for each broker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Geometry {
    /// Blocks of the export.
    pub blocks: u64,
    /// Brokers that serve it.
    pub brokers: u8,
}

impl Geometry {
    /// Groups of blocks, the last of which may be short.
    pub fn groups(&self) -> u64 {
        self.blocks.div_ceil(GROUP)
    }

    /// Bytes that the companion must have.
    pub fn companion_bytes(&self) -> u64 {
        (1 + self.groups()) * u64::from(self.brokers) * PAGE
    }

    /// Where a broker's page about itself lies.
    pub fn front_page(&self, broker: u8) -> u64 {
        u64::from(broker) * PAGE
    }

    /// Where the pages of a group lie, and how many bytes they are.
    pub fn pages(&self, group: u64) -> (u64, u32) {
        let row = u64::from(self.brokers) * PAGE;
        ((1 + group) * row, row as u32)
    }

    /// Where a broker's page of a group lies.
    pub fn page(&self, group: u64, broker: u8) -> u64 {
        self.pages(group).0 + u64::from(broker) * PAGE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pages_do_not_overlap_and_fill_the_companion() {
        let shape = Geometry { blocks: 3 * GROUP + 1, brokers: 3 };
        let mut places: Vec<u64> = (0..3).map(|b| shape.front_page(b)).collect();
        places.extend((0..shape.groups()).flat_map(|g| (0..3).map(move |b| shape.page(g, b))));
        let expected: Vec<u64> = (0..places.len() as u64).map(|i| i * PAGE).collect();
        assert_eq!(places, expected);
        assert_eq!(shape.companion_bytes(), places.len() as u64 * PAGE);
    }
}
