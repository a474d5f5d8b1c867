//! Tests of `settings`.

use super::*;

#[test]
fn text_fills_in_and_errors_name_their_place() {
    let set = Settings::parse("tries: 2\nbackoff_first_ms: 50").expect("it is sound");
    assert_eq!(
        (set.tries, set.backoff_first, set.queue),
        (2, 50_000, Settings::default().queue)
    );
    assert_eq!(
        Settings::parse("tries: 2\ntires: 3")
            .expect_err("no such field")
            .line,
        2
    );
    let error = Settings::parse("backoff_first_ms: 9000").expect_err("above the longest");
    assert!(error.what.contains("backoff_first"));
    assert!(Settings::parse("spread: -1").is_err() && Settings::parse("budget: nan").is_err());
}
