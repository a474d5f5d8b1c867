//! Tests of `kept`.

use super::*;

fn set(customer: &str, version: u64) -> wire::RuleSet {
    wire::RuleSet {
        customer: customer.into(),
        version,
        otherwise: 1,
        stale: 1,
        ..Default::default()
    }
}
fn news(version: u64, whole: bool, sets: &[wire::RuleSet]) -> wire::News {
    let since = version - 1;
    wire::News {
        version,
        since,
        whole,
        cluster: 7,
        rules: sets.to_vec(),
        ..wire::News::default()
    }
}

#[test]
fn what_was_kept_is_read_back_and_a_torn_end_forgotten() {
    let path = std::env::temp_dir().join(format!("chalkdeck-kept-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let (mut kept, mut held) = Kept::open(&path).expect("none yet");
    assert_eq!(held.version, 0);
    let many: Vec<_> = (0..200).map(|i| set(&format!("c{i}"), 1)).collect();
    for n in [
        news(3, true, &many),
        news(4, false, &[set("c7", 2)]),
        news(5, false, &[set("c8", 2)]),
    ] {
        held.apply(&n);
        kept.keep(&n, &held).expect("written");
    }
    // A change without anything to be kept lies between.
    held.apply(&news(6, false, &[]));
    let last = news(7, false, &[set("c9", 2)]);
    held.apply(&last);
    kept.keep(&last, &held).expect("written");
    let (_, again) = Kept::open(&path).expect("sound");
    assert_eq!(again, held, "whole and changes");
    let bytes = std::fs::read(&path).expect("there");
    std::fs::write(&path, &bytes[..bytes.len() - 3]).expect("torn");
    let (_, torn) = Kept::open(&path).expect("the last record alone is torn");
    assert_eq!(
        (
            torn.version,
            torn.rules["c8"].version,
            torn.rules["c9"].version
        ),
        (5, 2, 1)
    );
    let mut damaged = bytes.clone();
    damaged[20] ^= 0xff;
    std::fs::write(&path, &damaged).expect("damaged");
    assert!(
        matches!(Kept::open(&path), Err(KeptError::Form { .. })),
        "damage before whole records is told"
    );
    let _ = std::fs::remove_file(&path);
}
