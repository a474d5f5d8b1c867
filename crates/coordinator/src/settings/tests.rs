//! Tests of `settings`.

use super::*;

#[test]
fn errors_of_invalid_settings_name_the_line_or_the_field() {
    let parse = |text: &str| Settings::parse(text, "keeper.txtpb", Path::new("/x"));
    let valid = "slot: 2 keepers: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'] folder: 'log'";
    let settings = parse(valid).expect("valid settings");
    assert_eq!(
        (settings.listen.port(), settings.folder.as_path()),
        (2, Path::new("/x/log"))
    );
    assert_eq!(
        (settings.lease_terms.lease, settings.tick_interval),
        (TimeDelta::from_secs(6), TimeDelta::from_millis(20))
    );
    for (text, expected) in [
        ("slot: 1\nkeeprs: 'x'", "keeper.txtpb:2:"),
        (
            "slot: 1 keepers: 'here' folder: 'log'",
            "keepers: expected ip:port, found here",
        ),
        (
            "slot: 1 keepers: ['127.0.0.1:1', '127.0.0.1:2'] folder: 'log'",
            "found 2",
        ),
        (
            "slot: 2 keepers: '127.0.0.1:1' folder: 'log'",
            "slot: expected",
        ),
        (
            "slot: 1 keepers: '127.0.0.1:1'",
            "folder: expected where the log is kept, found nothing",
        ),
        (&format!("{valid} lease_ms: 100"), "lease_ms"),
        (&format!("{valid} drift_ppm: 200000"), "drift_ppm"),
        (&format!("{valid} lease_ms: 200 tick_ms: 20"), "tick_ms"),
    ] {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
