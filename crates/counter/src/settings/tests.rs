//! Tests of `settings`.

use super::*;

#[test]
fn errors_name_the_field_or_line() {
    let parse = |text: &str| Settings::parse(text, Path::new("/x"));
    let set = parse("listen: '127.0.0.1:0' listen: '127.0.0.1:0' folder: 'log' horizon_ms: 5")
        .expect("sound");
    assert_eq!(
        set.parts[1].folder.as_deref(),
        Some(Path::new("/x/log/part-1"))
    );
    assert_eq!((set.limits.horizon, set.limits.callers), (5_000, 1_024));
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
        let error = parse(text).expect_err(text);
        assert!(error.contains(named), "{text}: {error}");
    }
}
