//! Tests of `counters`.

use super::*;

fn answer(incarnation: u64, epoch: u64, position: u64) -> AddResponse {
    AddResponse {
        incarnation,
        epoch,
        position,
        ..AddResponse::default()
    }
}

#[test]
fn a_recovered_counter_is_told_from_an_emptied_and_a_restored_one() {
    let mut standing = Standing::default();
    for (answer, news) in [
        (answer(0, 0, 0), None),
        (answer(7, 1, 10), None),
        (answer(7, 1, 12), None),
        (answer(7, 2, 12), Some(News::Recovered)),
        (answer(7, 3, 4), Some(News::WentBack)),
        (answer(9, 1, 1), Some(News::Emptied)),
        (answer(0, 0, 0), None),
        (answer(9, 1, 2), None),
    ] {
        assert_eq!(standing.heard(&answer), news, "{answer:?}");
    }
}
