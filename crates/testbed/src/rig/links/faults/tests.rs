//! Tests of `faults`.

use super::*;
use crate::common::control;

fn word(text: &str) -> Result<Word, String> {
    Word::read(&control::parse_target(&format!("/set?{text}")).1)
}

#[test]
fn a_one_way_cut_is_one_way_seen_from_either_end() {
    let word = word("from=a&to=b&both=1&way=there&cut=1").expect("sound");
    assert!(word.means("a", "b") && word.means("b", "a") && !word.means("a", "c"));
    let (mut there, mut back) = (Faults::default(), Faults::default());
    word.on("a", &mut there);
    word.on("b", &mut back);
    // What b sends on its own links to a passes; the answers that a sends on them do not.
    assert_eq!([there.ways[0].cut, there.ways[1].cut], [true, false]);
    assert_eq!([back.ways[0].cut, back.ways[1].cut], [false, true]);
}

#[test]
fn heal_takes_all_away_and_nonsense_is_named() {
    let mut faults = Faults::default();
    word("loss=0.5&delay_ms=3&cut=1")
        .expect("sound")
        .on("a", &mut faults);
    assert_eq!((faults.ways[0].delay, faults.ways[1].cut), (3_000, true));
    word("heal=1").expect("sound").on("a", &mut faults);
    assert_eq!(faults, Faults::default());
    for (text, named) in [
        ("loss=2", "loss"),
        ("cut=x", "cut"),
        ("way=up", "way"),
        ("fire=1", "fire"),
    ] {
        assert!(word(text).expect_err("nonsense").contains(named));
    }
}
