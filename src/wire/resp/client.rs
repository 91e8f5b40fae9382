//! The client's side of RESP2: a connection to a node.

use super::*;
use crate::interface::Ending;
use crate::state::planner::{End, Tag};
use crate::wire::link::{broken_at, Ended, Exchange};
use std::collections::VecDeque;

/// A connection to a node.
#[derive(Debug, Default)]
pub struct Node {
    outbox: Outbox,
    /// What is out, in the order of the answers, each with the position behind its last byte.
    out: VecDeque<(Tag, u64)>,
}

/// The figures on use in a text such as `used=37,cost=4`: use as a part of the plan's rate, and units.
fn figures(text: &[u8]) -> (Option<f64>, f64) {
    let pairs = fields(text).unwrap_or_default();
    let find = |name: &[u8]| pairs.iter().find(|(n, _)| *n == name).and_then(|(_, v)| number::<f64>(v));
    let sane = |v: &f64| v.is_finite() && *v >= 0.0;
    (find(b"used").filter(sane).map(|v| v / 100.0), find(b"cost").filter(sane).unwrap_or(0.0))
}

/// How busy a load report says the cores are.
fn busy(text: &[u8]) -> Option<f64> {
    let find = |(name, value): &(&[u8], &[u8])| (*name == b"busy").then(|| number(value)).flatten();
    fields(text)?.iter().find_map(find).filter(|v: &f64| v.is_finite())
}

fn ending_of(value: Value) -> Result<End<Bytes>, Broken> {
    match value {
        Value::Array(Some(items)) => {
            let mut texts = items.into_iter().map(|i| if let Value::Bulk(text) = i { text } else { None });
            let value = texts.next().flatten();
            let (used, elsewhere) = texts.next().flatten().map_or((None, 0.0), |text| figures(&text));
            let util = texts.next().flatten().and_then(|text| busy(&text));
            // A null value is nothing to serve a client with, but the node ran the request.
            let ending = if value.is_some() { Ending::Served } else { Ending::Error };
            Ok(End { ending, reply: value, used, elsewhere, util })
        }
        Value::Error(text) => {
            let busy = text.strip_prefix(b"BUSY").is_some_and(|rest| rest.first().is_none_or(|b| *b == b' '));
            let figures_at = text.iter().rposition(|b| *b == b' ').map_or(text.len(), |at| at + 1);
            let (used, elsewhere) = figures(&text[figures_at..]);
            let ending = if busy { Ending::Full } else { Ending::Error };
            Ok(End { ending, reply: None, used, elsewhere, util: None })
        }
        _ => Err(Broken("not a reply to a request")),
    }
}

impl Exchange<Resp> for Node {
    fn send(&mut self, tag: Tag, left: Time, request: Command) {
        request.write(left, &mut self.outbox);
        self.out.push_back((tag, self.outbox.end()));
    }

    fn outbox(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    fn receive(&mut self, read: &mut BytesMut, ended: &mut Vec<Ended<Bytes>>) -> Result<(), Broken> {
        while let Some(value) = decode(read)? {
            let end = ending_of(value)?;
            let (tag, _) = self.out.pop_front().ok_or(Broken("a reply that nothing asked for"))?;
            ended.push((tag, end));
        }
        Ok(())
    }

    fn lost(&mut self) -> Vec<Ended<Bytes>> {
        let outbox = &self.outbox;
        self.out.drain(..).map(|(tag, at)| (tag, End::bare(broken_at(outbox, at)))).collect()
    }
}
