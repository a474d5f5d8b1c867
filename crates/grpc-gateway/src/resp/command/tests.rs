//! Tests of `command`.

use super::*;

fn of(line: &str) -> Result<Command, String> {
    let words: Vec<Bytes> = line
        .split(' ')
        .map(|w| Bytes::from(w.to_string()))
        .collect();
    read(&words)
}

#[test]
fn words_are_read_and_errors_name_what_was_expected() {
    let throttle = Command::Throttle {
        customer: "a".into(),
        units: 2.0,
    };
    assert_eq!(of("cl.throttle a 15 30 60 2"), Ok(throttle));
    let take = Command::Take {
        customer: "a".into(),
        units: 3.0,
        lease: Some(500_000),
    };
    assert_eq!(of("CHALK.TAKE a units 3 LEASE 500"), Ok(take));
    assert_eq!(
        of("CHALK.GIVE t UNITS 1.5"),
        Ok(Command::Give {
            ticket: "t".into(),
            units: Some(1.5)
        })
    );
    assert_eq!(
        of("HELLO 3 AUTH default secret SETNAME me"),
        Ok(Command::Hello {
            resp3: Some(true),
            password: Some(Bytes::from_static(b"secret"))
        })
    );
    for (line, why) in [
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
        let error = of(line).expect_err(line);
        assert!(error.contains(why), "{line}: {error}");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    })]

    #[test]
    fn any_words_end_well(words in proptest::collection::vec(proptest::prelude::any::<Vec<u8>>(), 1..6)) {
        let words: Vec<Bytes> = words.into_iter().map(Bytes::from).collect();
        let _ = read(&words);
    }
}
