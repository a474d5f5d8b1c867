//! Tests of `settings`.

use super::*;

#[test]
fn invalid_settings_are_rejected_with_the_line_or_the_field() {
    let parse = |text: &str| Settings::parse(text, "keeper.txtpb", Path::new("/x"));
    let sound = "slot: 2 keepers: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'] folder: 'log'";
    let settings = parse(sound).expect("sound");
    assert_eq!(
        (settings.listen.port(), settings.folder.as_path()),
        (2, Path::new("/x/log"))
    );
    assert_eq!(
        (settings.terms.lease, settings.tick_interval),
        (TimeDelta::from_secs(6), TimeDelta::from_millis(20))
    );
    for (text, named) in [
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
        (&format!("{sound} lease_ms: 100"), "lease_ms"),
        (&format!("{sound} drift_ppm: 200000"), "drift_ppm"),
        (&format!("{sound} lease_ms: 200 tick_ms: 20"), "tick_ms"),
    ] {
        let error = parse(text).expect_err(text).to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}
