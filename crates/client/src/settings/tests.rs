//! Tests of `settings`.

use super::*;

#[test]
fn text_is_sound_then_it_replaces_the_defaults() {
    let settings = Settings::parse("tries: 2\nbackoff_first_ms: 50").expect("it is sound");
    assert_eq!(
        (
            settings.max_attempts,
            settings.initial_backoff,
            settings.max_pending
        ),
        (
            2,
            TimeDelta::from_millis(50),
            Settings::default().max_pending
        )
    );
}

#[test]
fn text_is_wrong_then_error_names_the_line_or_the_field() {
    let error = Settings::parse("tries: 2\ntires: 3").expect_err("no such field");
    assert_eq!(error.line, 2);
    let error = Settings::parse("backoff_first_ms: 9000").expect_err("above the longest");
    assert!(error.message.contains("backoff_first"));
    assert!(Settings::parse("spread: -1").is_err() && Settings::parse("budget: nan").is_err());
}
