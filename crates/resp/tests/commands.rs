//! Decoding of commands: fragmented input, pipelines, invalid lengths, arbitrary bytes.

use bytes::BytesMut;
use chalkdeck_resp::{take_command, MessageLimits, ParsedCommand};

const LIMITS: MessageLimits = MessageLimits {
    max_elements: 64,
    max_element_bytes: 4 << 10,
    max_line_bytes: 0,
    max_message_bytes: 64 << 10,
    accepts_inline: true,
};

fn words(command: ParsedCommand) -> Vec<String> {
    let ParsedCommand::Complete(words) = command else {
        panic!("expected a command, found {command:?}")
    };
    words
        .iter()
        .map(|w| String::from_utf8_lossy(w).into_owned())
        .collect()
}

#[test]
fn fragmented_pipelined_or_inline_commands_then_all_decoded() {
    let mut bytes = BytesMut::new();
    let input = b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\nPING  there\r\n\r\n*0\r\n*1\r\n$4\r\nQUIT\r\n";
    let mut decoded = Vec::new();
    for byte in input {
        bytes.extend_from_slice(&[*byte]);
        match take_command(&mut bytes, &LIMITS) {
            ParsedCommand::Incomplete => {}
            command => decoded.push(words(command)),
        }
    }
    assert_eq!(
        decoded,
        [vec!["PING", "hi"], vec!["PING", "there"], vec!["QUIT"]]
    );
}

#[test]
fn invalid_length_or_nested_array_then_rejected_at_once() {
    for (bytes, expected) in [
        (&b"*1000000\r\n"[..], "multibulk"),
        (b"*-5\r\n", "multibulk"),
        (b"*99999999999999999999999999", "multibulk"),
        (b"*1\r\n$999999999\r\n", "bulk length"),
        (b"*1\r\n$-1\r\n", "bulk length"),
        (b"*1\r\n*1\r\n", "expected '$'"),
        (b"*1\r\n:5\r\n", "expected '$'"),
        (b"*1\r\n$2\r\nabcd", "expected CRLF"),
    ] {
        let ParsedCommand::Invalid(error) = take_command(&mut BytesMut::from(bytes), &LIMITS)
        else {
            panic!("{bytes:?} was accepted")
        };
        assert!(error.to_string().contains(expected), "{error}");
    }
    let ParsedCommand::Invalid(_) = take_command(&mut BytesMut::from(&[b'x'; 5_000][..]), &LIMITS)
    else {
        panic!("an inline command longer than the limit was not rejected")
    };
}

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Decodes input that arrives in these pieces; returns the commands before the first protocol error.
fn commands(pieces: &[&[u8]]) -> Vec<ParsedCommand> {
    let (mut bytes, mut out) = (BytesMut::new(), Vec::new());
    for piece in pieces {
        bytes.extend_from_slice(piece);
        loop {
            match take_command(&mut bytes, &LIMITS) {
                ParsedCommand::Incomplete => break,
                ParsedCommand::Invalid(_) => return out,
                command => out.push(command),
            }
        }
    }
    out
}

proptest! {
    // A fixed seed, so that each run tests the same cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_in_any_pieces_then_same_result(
        parts in proptest::collection::vec(
            prop_oneof![
                any::<Vec<u8>>(),
                Just(b"*2\r\n$4\r\nPING\r\n$2\r\nhi\r\n".to_vec()),
                Just(b"*1\r\n$".to_vec()),
                Just(b"\r\n".to_vec()),
                Just(b"PING\n".to_vec()),
                "[*$:+0-9\\r\\n]{0,12}".prop_map(String::into_bytes),
            ],
            0..8,
        ),
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = parts.concat();
        let cut = cut.index(bytes.len() + 1);
        let whole = commands(&[&bytes]);
        prop_assert_eq!(&whole, &commands(&[&bytes[..cut], &bytes[cut..]]));
        let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(&whole, &commands(&single_bytes));
        for command in whole {
            let ParsedCommand::Complete(words) = command else { unreachable!("`commands` returns complete commands only") };
            prop_assert!(words.len() <= LIMITS.max_elements && words.iter().all(|w| w.len() <= LIMITS.max_element_bytes + 1));
        }
    }
}
