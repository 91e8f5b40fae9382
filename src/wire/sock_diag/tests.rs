//! Tests of the encoding of queries and the decoding of replies, without a kernel.

use super::*;

/// Returns a reply that has another attribute before `INET_DIAG_INFO`.
fn reply(sequence: u32, kind: u16, last_data_ms: u32) -> Vec<u8> {
    let mut info = vec![0; 104];
    info[LAST_DATA_RECEIVED..LAST_DATA_RECEIVED + 4].copy_from_slice(&last_data_ms.to_ne_bytes());
    let attribute = |kind: u16, content: &[u8]| {
        let mut bytes = ((ATTRIBUTE + content.len()) as u16).to_ne_bytes().to_vec();
        bytes.extend(kind.to_ne_bytes());
        bytes.extend(content);
        bytes.resize(bytes.len().next_multiple_of(ATTRIBUTE), 0);
        bytes
    };
    let body = [vec![0; MESSAGE], attribute(8, &[1]), attribute(INFO, &info)].concat();
    let mut bytes = ((HEAD + body.len()) as u32).to_ne_bytes().to_vec();
    bytes.extend(kind.to_ne_bytes());
    bytes.extend([0; 2]);
    bytes.extend(sequence.to_ne_bytes());
    bytes.extend([0; 4]);
    bytes.extend(body);
    bytes
}

#[test]
fn decode_skips_other_attributes() {
    assert_eq!(decode(7, &reply(7, BY_FAMILY, 700)), Some(Duration::from_millis(700)));
    assert_eq!(decode(8, &reply(7, BY_FAMILY, 700)), None, "the reply to another query");
    assert_eq!(decode(7, &reply(7, 2, 700)), None, "a reply of another message type");
}

#[test]
fn a_truncated_reply_decodes_to_none_and_a_corrupt_one_terminates() {
    let complete = reply(7, BY_FAMILY, 700);
    (0..complete.len()).for_each(|end| assert_eq!(decode(7, &complete[..end]), None));
    let mut random = 1_u64;
    for _ in 0..20_000 {
        let mut bytes = complete.clone();
        for _ in 0..3 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let index = (random >> 40) as usize % bytes.len();
            bytes[index] = (random >> 32) as u8;
        }
        let _ = decode(7, &bytes);
    }
}

#[test]
fn a_query_names_both_addresses() {
    let bytes = encode(
        9,
        "127.0.0.1:80".parse().expect("a socket address"),
        "127.0.0.2:4000".parse().expect("a socket address"),
    );
    assert_eq!(bytes.len(), HEAD + 56);
    assert_eq!(u32_at(&bytes, 0), Some(bytes.len() as u32));
    assert_eq!(&bytes[HEAD + 8..HEAD + 16], [0, 80, 15, 160, 127, 0, 0, 1]);
}
