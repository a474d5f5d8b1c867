//! Tests of `site_overrides`.

use super::*;

#[test]
fn gateway_restarts_then_overrides_are_kept_and_a_broken_file_is_named() {
    let file = std::env::temp_dir().join(format!("chalkdeck-words-{}.txtpb", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let mut overrides = SiteOverrides::load(Some(&file)).expect("none yet");
    overrides
        .persist("north", SitePlacement::OutOfService)
        .expect("written");
    overrides
        .persist("south", SitePlacement::OutOfService)
        .expect("written");
    overrides
        .persist("north", SitePlacement::InService)
        .expect("written");
    let reloaded = SiteOverrides::load(Some(&file)).expect("sound");
    assert_eq!(reloaded.out_of_service().collect::<Vec<_>>(), ["south"]);
    std::fs::write(&file, "sites: 4").expect("written");
    let error = SiteOverrides::load(Some(&file))
        .err()
        .expect("broken")
        .to_string();
    assert!(error.contains(":1: "), "{error}");
    let _ = std::fs::remove_file(&file);
}
