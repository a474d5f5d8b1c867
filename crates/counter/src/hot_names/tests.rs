//! Tests of `hot_names`.

use super::*;

#[test]
fn one_name_is_hot_in_a_flood_of_others_then_it_is_listed_first() {
    let mut sketch = HotNameSketch::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for increment in 0..100_000_u64 {
        let name = if increment % 20 == 0 {
            7
        } else {
            rng.u64(100..)
        };
        sketch.record(NameId(name));
    }
    assert_eq!(sketch.hottest(1)[0].name, NameId(7));
    assert!(sketch.counts.len() <= CAPACITY);
}
