//! Questions and answers about one connection, without a kernel.

use super::*;

/// An answer with an attribute before the one that is wanted.
fn answer(sequence: u32, kind: u16, last_data_ms: u32) -> Vec<u8> {
    let mut info = vec![0; 104];
    info[LAST_DATA_RECEIVED..LAST_DATA_RECEIVED + 4].copy_from_slice(&last_data_ms.to_ne_bytes());
    let attribute = |kind: u16, content: &[u8]| {
        let mut text = ((ATTRIBUTE + content.len()) as u16).to_ne_bytes().to_vec();
        text.extend(kind.to_ne_bytes());
        text.extend(content);
        text.resize(text.len().next_multiple_of(ATTRIBUTE), 0);
        text
    };
    let body = [vec![0; MESSAGE], attribute(8, &[1]), attribute(INFO, &info)].concat();
    let mut text = ((HEAD + body.len()) as u32).to_ne_bytes().to_vec();
    text.extend(kind.to_ne_bytes());
    text.extend([0; 2]);
    text.extend(sequence.to_ne_bytes());
    text.extend([0; 4]);
    text.extend(body);
    text
}

#[test]
fn the_age_is_found_behind_other_attributes() {
    assert_eq!(decode(7, &answer(7, BY_FAMILY, 700)), Some(Duration::from_millis(700)));
    assert_eq!(decode(8, &answer(7, BY_FAMILY, 700)), None, "the answer to another question");
    assert_eq!(decode(7, &answer(7, 2, 700)), None, "an error");
}

#[test]
fn an_answer_that_is_cut_or_wrong_says_nothing_and_ends() {
    let whole = answer(7, BY_FAMILY, 700);
    (0..whole.len()).for_each(|end| assert_eq!(decode(7, &whole[..end]), None));
    let mut draw = 1_u64;
    for _ in 0..20_000 {
        let mut text = whole.clone();
        for _ in 0..3 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let place = (draw >> 40) as usize % text.len();
            text[place] = (draw >> 32) as u8;
        }
        let _ = decode(7, &text);
    }
}

#[test]
fn a_question_names_both_ends() {
    let text = encode(9, "127.0.0.1:80".parse().expect("an end"), "127.0.0.2:4000".parse().expect("an end"));
    assert_eq!(text.len(), HEAD + 56);
    assert_eq!(u32_at(&text, 0), Some(text.len() as u32));
    assert_eq!(&text[HEAD + 8..HEAD + 16], [0, 80, 15, 160, 127, 0, 0, 1]);
}
