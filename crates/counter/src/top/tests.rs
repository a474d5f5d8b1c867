//! Tests of `top`.

use super::*;

#[test]
fn hot_names_stand_out_of_a_flood_of_others() {
    let mut top = Top::default();
    let mut rng = fastrand::Rng::with_seed(1);
    for i in 0..100_000_u64 {
        top.hit(if i % 20 == 0 { 7 } else { rng.u64(100..) });
    }
    assert_eq!(top.hottest(1)[0].0, 7);
    assert!(top.heat.len() <= FOLLOWED);
}
