//! Tests of `words`.

use super::*;

#[test]
fn words_outlast_the_gateway_and_a_broken_file_is_named() {
    let file = std::env::temp_dir().join(format!("chalkdeck-words-{}.txtpb", std::process::id()));
    let _ = std::fs::remove_file(&file);
    let mut words = SiteOverrides::read(Some(&file)).expect("none yet");
    words.keep("north", true).expect("written");
    words.keep("south", true).expect("written");
    words.keep("north", false).expect("written");
    let again = SiteOverrides::read(Some(&file)).expect("sound");
    assert_eq!(again.held().collect::<Vec<_>>(), ["south"]);
    std::fs::write(&file, "sites: 4").expect("written");
    let error = SiteOverrides::read(Some(&file))
        .err()
        .expect("broken")
        .to_string();
    assert!(error.contains(":1: "), "{error}");
    let _ = std::fs::remove_file(&file);
}
