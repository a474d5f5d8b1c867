//! Tests of `command`.

use super::*;

fn parse_line(line: &str) -> Result<Command, String> {
    let words: Vec<Bytes> = line
        .split(' ')
        .map(|word| Bytes::from(word.to_string()))
        .collect();
    parse(&words)
}

#[test]
fn commands_are_parsed_and_errors_name_what_was_expected() {
    let throttle = Command::Throttle {
        customer: "a".into(),
        units: 2.0,
    };
    assert_eq!(parse_line("cl.throttle a 15 30 60 2"), Ok(throttle));
    let take = Command::Take {
        customer: "a".into(),
        units: 3.0,
        lease: Some(500_000),
    };
    assert_eq!(parse_line("CHALK.TAKE a units 3 LEASE 500"), Ok(take));
    assert_eq!(
        parse_line("CHALK.GIVE t UNITS 1.5"),
        Ok(Command::Give {
            ticket: "t".into(),
            units: Some(1.5)
        })
    );
    assert_eq!(
        parse_line("HELLO 3 AUTH default secret SETNAME me"),
        Ok(Command::Hello {
            uses_resp3: Some(true),
            password: Some(Bytes::from_static(b"secret"))
        })
    );
    for (line, expected) in [
        (
            "CL.THROTTLE a 15 30",
            "wrong number of arguments for 'cl.throttle'",
        ),
        (
            "CL.THROTTLE a x 30 60",
            "max_burst: expected a number, found 'x'",
        ),
        ("CL.THROTTLE a 1 30 60 nan", "quantity"),
        ("CHALK.TAKE a LEASE 0", "LEASE"),
        ("CHALK.TAKE a UNITS", "syntax"),
        ("HELLO 4", "NOPROTO"),
        ("SELECT 1", "out of range"),
        ("FLUSHALL", "unknown command 'FLUSHALL'"),
        ("CLIENT KILL", "unknown subcommand"),
    ] {
        let error = parse_line(line).expect_err(line);
        assert!(error.contains(expected), "{line}: {error}");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn arbitrary_words_never_panic(words in proptest::collection::vec(proptest::prelude::any::<Vec<u8>>(), 1..6)) {
        let words: Vec<Bytes> = words.into_iter().map(Bytes::from).collect();
        let _ = parse(&words);
    }
}
