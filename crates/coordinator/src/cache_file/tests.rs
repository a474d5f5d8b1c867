//! Tests of `cache_file`.

use super::*;

fn rule_set(customer: &str, version: u64) -> wire::RuleSet {
    wire::RuleSet {
        customer: customer.into(),
        version,
        otherwise: 1,
        stale: 1,
        ..Default::default()
    }
}
fn event(version: u64, whole: bool, rule_sets: &[wire::RuleSet]) -> WatchEvent {
    let since = version - 1;
    WatchEvent {
        version,
        since,
        whole,
        cluster: 7,
        rules: rule_sets.to_vec(),
        ..WatchEvent::default()
    }
}

#[test]
fn a_written_state_is_read_back_and_only_a_torn_last_record_is_tolerated() {
    let path = std::env::temp_dir().join(format!("chalkdeck-cache-file-{}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let (mut file, mut state) = CacheFile::open(&path).expect("a missing file is an empty state");
    assert_eq!(state.version, 0);
    let rule_sets: Vec<_> = (0..200).map(|i| rule_set(&format!("c{i}"), 1)).collect();
    for change in [
        event(3, true, &rule_sets),
        event(4, false, &[rule_set("c7", 2)]),
        event(5, false, &[rule_set("c8", 2)]),
    ] {
        state.apply(&change);
        file.write(&change, &state).expect("written");
    }
    // An event that changes nothing is not written, so the file skips version 6.
    state.apply(&event(6, false, &[]));
    let last = event(7, false, &[rule_set("c9", 2)]);
    state.apply(&last);
    file.write(&last, &state).expect("written");
    let (_, reread) = CacheFile::open(&path).expect("an intact file");
    assert_eq!(reread, state, "the full state and the changes after it");
    let bytes = std::fs::read(&path).expect("the file exists");
    std::fs::write(&path, &bytes[..bytes.len() - 3]).expect("truncated");
    let (_, torn) = CacheFile::open(&path).expect("a torn last record is ignored");
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
        matches!(
            CacheFile::open(&path),
            Err(CacheFileError::Malformed { .. })
        ),
        "damage before intact records is an error"
    );
    let _ = std::fs::remove_file(&path);
}
