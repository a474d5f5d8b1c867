//! Tests of `settings`.

use super::*;

#[test]
fn text_is_valid_then_its_values_replace_the_defaults() {
    let settings = Settings::parse("tries: 2\nbackoff_first_ms: 50").expect("valid settings");
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
fn text_is_invalid_then_the_error_has_the_line_or_names_the_field() {
    let error = Settings::parse("tries: 2\ntires: 3").expect_err("an unknown field");
    assert_eq!(error.line, 2);
    let error = Settings::parse("backoff_first_ms: 9000")
        .expect_err("an initial backoff above the longest");
    assert!(error.message.contains("backoff_first"));
    assert!(Settings::parse("spread: -1").is_err() && Settings::parse("budget: nan").is_err());
}
