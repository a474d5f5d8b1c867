//! Tests of `hot_names`.

use super::*;

#[test]
fn one_name_is_hot_in_a_flood_of_others_then_it_is_listed_first() {
    let mut hot_names = HotNames::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for increment in 0..100_000_u64 {
        let name = if increment % 20 == 0 {
            7
        } else {
            rng.u64(100..)
        };
        hot_names.record(NameId(name));
    }
    assert_eq!(hot_names.hottest(1)[0].name, NameId(7));
    assert!(hot_names.counts.len() <= CAPACITY);
}
