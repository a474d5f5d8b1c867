//! Tests of `site_overrides`.

use super::*;

#[test]
fn overrides_survive_a_restart_and_the_error_of_an_invalid_file_names_the_line() {
    let file =
        std::env::temp_dir().join(format!("chalkdeck-overrides-{}.txtpb", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let mut overrides = SiteOverrides::load(Some(&file)).expect("no file yet");
    overrides
        .persist("north", SiteServiceState::OutOfService)
        .expect("written");
    overrides
        .persist("south", SiteServiceState::OutOfService)
        .expect("written");
    overrides
        .persist("north", SiteServiceState::InService)
        .expect("written");
    let reloaded = SiteOverrides::load(Some(&file)).expect("a valid file");
    assert_eq!(reloaded.out_of_service().collect::<Vec<_>>(), ["south"]);
    std::fs::write(&file, "sites: 4").expect("written");
    let error = SiteOverrides::load(Some(&file))
        .err()
        .expect("an invalid file")
        .to_string();
    assert!(error.contains(":1: "), "{error}");
    let _ = std::fs::remove_file(&file);
}
