use super::*;

fn content(queue: &ByteQueue) -> Vec<u8> {
    queue.slices(usize::MAX).iter().flat_map(|slice| slice.to_vec()).collect()
}

/// Guards against memory that grows with the number of pieces, whatever their length.
#[test]
fn the_memory_follows_the_content_for_pieces_of_any_length() {
    for piece in [1, 7, 512, 1_023, 1_024, 5_000, 16_384, 100_000] {
        let mut queue = ByteQueue::default();
        for _ in 0..400_000 / piece {
            queue.push(Bytes::from(vec![b'x'; piece]));
        }
        assert!(queue.memory() >= queue.len(), "{piece}");
        assert!(queue.memory() <= queue.len() + queue.len() / 8 + SEGMENT, "{piece}: {}", queue.memory());
        queue.advance(queue.len());
        assert_eq!((queue.memory(), queue.is_empty()), (0, true));
    }
}

/// Guards against bytes that are lost, changed or out of order where copied and kept pieces meet.
#[test]
fn bytes_come_out_in_the_order_in_which_they_went_in() {
    let mut queue = ByteQueue::default();
    let mut expected = Vec::new();
    for number in 0..300_usize {
        let piece = vec![number as u8; number * 37 % 3_000];
        expected.extend_from_slice(&piece);
        match number % 2 {
            0 => queue.push(Bytes::from(piece)),
            _ => queue.extend(&piece),
        }
        if number % 5 == 0 {
            let gone = queue.len() / 3;
            queue.advance(gone);
            expected.drain(..gone);
        }
        if number % 7 == 0 {
            let gone = queue.len() / 4;
            queue.truncate(gone);
            expected.truncate(expected.len() - gone);
        }
        assert!(content(&queue) == expected && queue.len() == expected.len(), "{number}");
    }
    let mut popped = Vec::new();
    while let Some(chunk) = queue.pop() {
        popped.extend_from_slice(&chunk);
    }
    assert!(popped == expected && queue.memory() == 0);
}
