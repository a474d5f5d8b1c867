//! Tests of `settings`.

use super::*;

#[test]
fn settings_are_wrong_then_error_names_the_field_or_line() {
    let parse = |text: &str| Settings::parse(text, Path::new("/x"));
    let settings = parse("listen: '127.0.0.1:0' listen: '127.0.0.1:0' folder: 'log' horizon_ms: 5")
        .expect("valid settings");
    assert_eq!(
        settings.partitions[1].folder.as_deref(),
        Some(Path::new("/x/log/part-1"))
    );
    assert_eq!(
        (settings.limits.horizon, settings.limits.callers),
        (TimeDelta::from_millis(5), 1_024)
    );
    for (text, named) in [
        ("folder: 'log'", "listen"),
        ("listen: 'here' folder: 'log'", "found 'here'"),
        ("listen: '127.0.0.1:0'", "folder"),
        (
            "listen: '127.0.0.1:0' promise: MEMORY folder: 'log'",
            "folder",
        ),
        (
            "listen: '127.0.0.1:0' admin: '127.0.0.1:0' admin: '127.0.0.1:0' folder: 'log'",
            "admin",
        ),
        ("listen: '127.0.0.1:0'\nfodler: 'log'", "2"),
    ] {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}
