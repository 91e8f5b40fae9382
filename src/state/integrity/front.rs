//! The page at the front of a companion in which a broker says who it is and whether it ended in order.

use super::entry::{Damaged, Seal};
use super::geometry::{Geometry, PAGE};
use bytes::Bytes;
use winnow::binary::{le_u32, le_u64, le_u8};
use winnow::error::ContextError;
use winnow::Parser;

const MAGIC: u32 = 0x5357_4c43;
const VERSION: u32 = 1;

/// What the page says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Front {
    /// The shape that the companion was made for.
    pub shape: Geometry,
    /// How many times the broker has opened it.
    pub life: u64,
    /// Nothing was out when the broker ended.
    pub clean: bool,
    /// Groups from the first on of which the broker's page has been written.
    pub sealed: u64,
    /// The block from which the export is to be read on by the scrubber.
    pub scrubbed: u64,
}

impl Front {
    /// Its page.
    pub fn encode(&self, seal: Seal, broker: u8) -> Bytes {
        let mut rest = Vec::with_capacity(PAGE as usize - 4);
        rest.extend(MAGIC.to_le_bytes());
        rest.extend(VERSION.to_le_bytes());
        rest.push(self.shape.brokers);
        rest.extend(self.shape.blocks.to_le_bytes());
        rest.extend(self.life.to_le_bytes());
        rest.push(u8::from(self.clean));
        rest.extend(self.sealed.to_le_bytes());
        rest.extend(self.scrubbed.to_le_bytes());
        rest.resize(PAGE as usize - 4, 0);
        let mut page = seal.page_sum(broker, &rest).to_le_bytes().to_vec();
        page.extend(rest);
        page.into()
    }

    /// Reads it; nothing where the broker has never been.
    pub fn decode(seal: Seal, broker: u8, page: &[u8]) -> Result<Option<Self>, Damaged> {
        if page.iter().all(|b| *b == 0) {
            return Ok(None);
        }
        let (sum, rest) = page.split_first_chunk::<4>().ok_or(Damaged)?;
        if page.len() != PAGE as usize || u32::from_le_bytes(*sum) != seal.page_sum(broker, rest) {
            return Err(Damaged);
        }
        let head = (le_u32::<_, ContextError>.verify(|m| *m == MAGIC), le_u32.verify(|v| *v == VERSION));
        let parsed = (head, le_u8, le_u64, le_u64, le_u8, le_u64, le_u64)
            .parse_next(&mut &rest[..])
            .map_err(|_| Damaged)?;
        let (_, brokers, blocks, life, clean, sealed, scrubbed) = parsed;
        Ok(Some(Front { shape: Geometry { blocks, brokers }, life, clean: clean != 0, sealed, scrubbed }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_is_read_as_it_was_written_and_only_by_its_broker() {
        let (seal, shape) = (Seal::of("disk"), Geometry { blocks: 9, brokers: 2 });
        let front = Front { shape, life: 3, clean: true, sealed: 1, scrubbed: 5 };
        let page = front.encode(seal, 1);
        assert_eq!(Front::decode(seal, 1, &page), Ok(Some(front)));
        assert_eq!(Front::decode(seal, 0, &page), Err(Damaged));
        assert_eq!(Front::decode(seal, 1, &[0; PAGE as usize]), Ok(None));
        assert_eq!(Front::decode(seal, 1, &page[..100]), Err(Damaged));
    }
}
